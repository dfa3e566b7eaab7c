/// @file Guards against requests to a back end that the platform has listed as leaving for longer than the
/// departure limit. The call for changes of the list waited 5 s. When its connection went silent for good,
/// the gateway learnt of departures only after that wait, up to 5.5 s late, while it was fully connected
/// otherwise.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "platform/platform_translator.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/fault_settings.h"
#include "unit/platform/fake_platform_store.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// As configured in the deployments of the incident.
constexpr Duration kDepartureLimit = 2s;
constexpr char kConfiguration[] = R"({"version":1,"routes":[],"services":[{"name":"lm"}],"tenants":[]})";
constexpr char kRunner[] = "r";

std::string runnerEntry(const std::string& state) {
  return fmt::format(R"({{"service":"lm","address":"10.0.0.1:1","zone":"z","version":"v1","slots":4,)"
                     R"("state":"{}","coldRemainingMs":0,"sequence":1,"born":1000}})",
                     state);
}

class NullLog : public EventLog {
public:
  void write(EventId, const std::vector<LogField>&) override {}
};

/// The platform translator of one gateway, and when it reported the departure of the runner.
class Gateway {
public:
  Gateway(boost::asio::io_context& context, const std::string& store, Duration departure_limit,
          std::uint64_t seed)
      : translator_(context.get_executor(), options(store, departure_limit, seed), log_) {}

  void start() {
    gateway::PlatformCallbacks callbacks;
    callbacks.on_configuration = [](const auto&) {};
    callbacks.on_weights = [](const auto&) {};
    callbacks.on_backend = [this](const gateway::ListedBackend& listed) {
      if (listed.draining && !departed_at_) departed_at_ = clock_.now();
    };
    callbacks.on_backend_removed = [](const auto&) {};
    callbacks.on_full_list = [](const auto&) {};
    callbacks.on_failure = [] {};
    callbacks.on_connections_silent = [] {};
    callbacks.on_contact = [](TimePoint) {};
    callbacks.on_list_contact = [](TimePoint) {};
    callbacks.on_list_outage = [] {};
    translator_.start(std::move(callbacks));
  }

  std::optional<TimePoint> departedAt() const { return departed_at_; }
  PlatformTranslator& translator() { return translator_; }

private:
  static TranslatorOptions options(const std::string& store, Duration departure_limit, std::uint64_t seed) {
    TranslatorOptions options;
    options.store_address = store;
    options.departure_limit = departure_limit;
    options.random_seed = seed;
    return options;
  }

  NullLog log_;
  SteadyClock clock_;
  std::optional<TimePoint> departed_at_;
  PlatformTranslator translator_;
};

/// Gateways, each of which reaches the store through a route of its own that can fail.
class Site {
public:
  static constexpr std::size_t kReaders = 2;

  explicit Site(Duration departure_limit = kDepartureLimit) : departure_limit_(departure_limit) {
    store_.put("op", "config", kConfiguration);
    store_.put("servers", kRunner, runnerEntry("ready"));
  }

  Gateway& addGateway() {
    const std::string route = fmt::format("store-{}", gateways_.size());
    REQUIRE_FALSE(proxy_.addRoute({route, "127.0.0.1:0", store_.address()}));
    gateways_.push_back(
        std::make_unique<Gateway>(context_, lastPort(), departure_limit_, gateways_.size() + 1));
    gateways_.back()->start();
    return *gateways_.back();
  }

  /// Adds gateways that read the store, and four on standby that read its tables from them.
  void addReadersAndStandbys(std::size_t reader_count = kReaders) {
    std::vector<std::string> readers;
    for (std::size_t index = 0; index < reader_count; ++index) {
      readers.push_back(addReader(addGateway()));
      runFor(400ms);
    }
    for (int standby = 0; standby < 4; ++standby) {
      addGateway().translator().setReaders(readers);
      runFor(300ms);
    }
  }

  /// @return the address at which the gateway serves other gateways.
  std::string addReader(Gateway& gateway) {
    const std::string address = fmt::format("127.0.0.1:{}", freePort());
    REQUIRE_FALSE(gateway.translator().listen(address));
    const std::string route = fmt::format("reader-{}", readers_++);
    REQUIRE_FALSE(proxy_.addRoute({route, "127.0.0.1:0", address}));
    return lastPort();
  }

  void silenceOpenConnections(double share) {
    standin::ControlCommand command;
    command.silence_open = share;
    proxy_.apply(command);
  }

  /// Cuts the gateway with this number off from the store.
  void cutOff(std::size_t gateway) { freeze(fmt::format("store-{}", gateway)); }
  /// The gateway with this number responds to no other gateway any more.
  void freezeReader(std::size_t reader) { freeze(fmt::format("reader-{}", reader)); }

  void announceDeparture() {
    announced_at_ = clock_.now();
    store_.put("servers", kRunner, runnerEntry("draining"));
  }

  void runFor(Duration time) { context_.run_for(std::chrono::microseconds(time)); }

  /// @return the time from the announcement until the gateways from number `first` on know of it; the time
  /// passed if one of them does not.
  Duration slowest(std::size_t first = 0) const {
    Duration slowest{0};
    for (std::size_t index = first; index < gateways_.size(); ++index) {
      slowest = std::max(slowest, gateways_[index]->departedAt().value_or(clock_.now()) - announced_at_);
    }
    return slowest;
  }

private:
  void freeze(const std::string& route) {
    standin::ControlCommand command;
    command.route = route;
    command.freeze = true;
    proxy_.apply(command);
  }
  std::string lastPort() const { return fmt::format("127.0.0.1:{}", proxy_.ports().back()); }
  std::uint16_t freePort() {
    boost::asio::ip::tcp::acceptor acceptor(context_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  Duration departure_limit_;
  boost::asio::io_context context_;
  SteadyClock clock_;
  FakePlatformStore store_{context_};
  standin::FaultProxy proxy_{context_.get_executor(), 1};
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::size_t readers_ = 0;
  TimePoint announced_at_{};
};

}  // namespace

TEST_CASE("a departure is known within its limit at gateways whose open connections went silent",
          "[departures]") {
  const double silenced_share = GENERATE(1.0, 0.5);
  Site site;
  // The calls of the gateways have waited for different times when the connections go silent.
  for (int gateway = 0; gateway < 8; ++gateway) {
    site.addGateway();
    site.runFor(320ms);
  }
  site.silenceOpenConnections(silenced_share);
  site.announceDeparture();
  site.runFor(kDepartureLimit);
  INFO("share of silent connections " << silenced_share);
  CHECK(site.slowest() < kDepartureLimit);
}

TEST_CASE("a departure is known within its limit although the gateway that is read lost the store",
          "[departures]") {
  Site site;
  site.addReadersAndStandbys();
  site.cutOff(0);
  site.announceDeparture();
  site.runFor(kDepartureLimit);
  CHECK(site.slowest(Site::kReaders) < kDepartureLimit);
}

TEST_CASE("a departure is known within its limit at gateways that read others when connections go silent",
          "[departures]") {
  Site site;
  site.addReadersAndStandbys();
  site.silenceOpenConnections(1.0);
  site.announceDeparture();
  site.runFor(kDepartureLimit);
  CHECK(site.slowest(Site::kReaders) < kDepartureLimit);
}

// After the second call in succession that got no response, the next one was sent only when it had timed out.
TEST_CASE("a departure is known within its limit although two of three gateways that are read have stopped",
          "[departures]") {
  constexpr std::size_t kThreeReaders = 3;
  constexpr Duration kLimitOfLargeFleet = 3s;
  Site site(kLimitOfLargeFleet);
  site.addReadersAndStandbys(kThreeReaders);
  site.freezeReader(0);
  site.freezeReader(1);
  site.announceDeparture();
  site.runFor(kLimitOfLargeFleet);
  CHECK(site.slowest(kThreeReaders) < kLimitOfLargeFleet);
}
