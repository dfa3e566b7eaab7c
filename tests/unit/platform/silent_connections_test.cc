/// @file Guards against outdated API keys while the store works and is reachable by new connections. Requests
/// were rejected for outdated keys after all open connections had gone silent for good, without a reset. The
/// failure of a held call to the store was detected only at the end of its wait and timeout (3.7 s), and the
/// next call reused another connection, which was silent as well and had to time out too: keys were outdated
/// after 5 s. The log lines for calls without a response (event 1403) proved that each next call reused a
/// connection opened before the silence.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "platform/platform_translator.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/fault_settings.h"
#include "unit/platform/idle_platform_store.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// Validity of keys without contact with the store, as configured in the deployments of the incident.
constexpr Duration kKeyValidity = 5s;

class NullLog : public EventLog {
public:
  void write(EventId, const std::vector<LogField>&) override {}
};

/// The platform translator of one gateway, and the maximum age of its contact with the store.
class Gateway {
public:
  Gateway(boost::asio::io_context& context, const std::string& store, std::uint64_t seed)
      : translator_(context.get_executor(), options(store, seed), log_) {}

  void start() {
    gateway::PlatformCallbacks callbacks;
    callbacks.on_configuration = [](const auto&) {};
    callbacks.on_weights = [](const auto&) {};
    callbacks.on_backend = [](const auto&) {};
    callbacks.on_backend_removed = [](const auto&) {};
    callbacks.on_full_list = [](const auto&) {};
    callbacks.on_failure = [] {};
    callbacks.on_connections_silent = [] {};
    callbacks.on_list_contact = [](TimePoint) {};
    callbacks.on_list_outage = [] {};
    callbacks.on_contact = [this](TimePoint as_of) {
      recordAge();
      contact_ = std::max(contact_, as_of);
    };
    contact_ = clock_.now();
    translator_.start(std::move(callbacks));
    // Concurrent calls leave several idle connections in the pool.
    for (int call = 0; call < 4; ++call) translator_.readLease("weights", [](const auto&) {});
  }

  void recordAge() { max_age_ = std::max(max_age_, clock_.now() - contact_); }
  Duration maxContactAge() const { return max_age_; }
  PlatformTranslator& translator() { return translator_; }

private:
  static TranslatorOptions options(const std::string& store, std::uint64_t seed) {
    TranslatorOptions options;
    options.store_address = store;
    options.operator_wait = kKeyValidity / 2;
    options.random_seed = seed;
    return options;
  }

  NullLog log_;
  SteadyClock clock_;
  TimePoint contact_{};
  Duration max_age_{0};
  PlatformTranslator translator_;
};

/// Gateways and a store, connected through a proxy that can silence open connections.
class Site {
public:
  Site() { REQUIRE_FALSE(proxy_.addRoute({"store", "127.0.0.1:0", store_.address()})); }

  Gateway& addGateway() {
    const std::string store = "127.0.0.1:" + std::to_string(proxy_.ports().front());
    gateways_.push_back(std::make_unique<Gateway>(context_, store, gateways_.size() + 1));
    gateways_.back()->start();
    return *gateways_.back();
  }

  /// @return the address, behind the proxy, at which the gateway serves other gateways.
  std::string addReader(Gateway& gateway) {
    const std::uint16_t port = freePort();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    REQUIRE_FALSE(gateway.translator().listen(address));
    REQUIRE_FALSE(proxy_.addRoute({"reader", "127.0.0.1:0", address}));
    return "127.0.0.1:" + std::to_string(proxy_.ports().back());
  }

  /// Starts gateways one after the other, so that their calls have waited for different times when the
  /// connections go silent.
  void addGateways(int count, Duration interval) {
    for (int gateway = 0; gateway < count; ++gateway) {
      addGateway();
      runFor(interval);
    }
  }

  void silenceOpenConnections() { proxy_.apply(silence()); }

  /// Resets connections like the kernel after unsuccessful keep-alive probes.
  void resetOpenConnections() {
    standin::ControlCommand command;
    command.cut_now = true;
    proxy_.apply(command);
  }

  void runFor(Duration time) { context_.run_for(std::chrono::microseconds(time)); }

  Duration maxContactAge() {
    Duration max_age{0};
    for (const auto& gateway : gateways_) {
      gateway->recordAge();
      max_age = std::max(max_age, gateway->maxContactAge());
    }
    return max_age;
  }

private:
  static standin::ControlCommand silence() {
    standin::ControlCommand command;
    command.silence_open = 1;
    return command;
  }
  std::uint16_t freePort() {
    boost::asio::ip::tcp::acceptor acceptor(context_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  boost::asio::io_context context_;
  IdlePlatformStore store_{context_};
  standin::FaultProxy proxy_{context_.get_executor(), 1};
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

}  // namespace

TEST_CASE("keys stay current while new connections reach the store, even if open ones go silent",
          "[silent_connections]") {
  Site site;
  site.addGateways(8, 320ms);
  site.silenceOpenConnections();
  site.runFor(3s);
  site.silenceOpenConnections();
  site.runFor(5500ms);
  CHECK(site.maxContactAge() < kKeyValidity);
}

TEST_CASE("keys stay current at gateways that read the store's tables from other gateways",
          "[silent_connections]") {
  Site site;
  std::vector<std::string> readers;
  for (int index = 0; index < 2; ++index) {
    Gateway& gateway = site.addGateway();
    readers.push_back(site.addReader(gateway));
    site.runFor(900ms);
  }
  for (int index = 0; index < 4; ++index) {
    site.addGateway().translator().setReaders(readers);
    site.runFor(700ms);
  }
  site.silenceOpenConnections();
  site.runFor(3s);
  site.silenceOpenConnections();
  site.runFor(5500ms);
  CHECK(site.maxContactAge() < kKeyValidity);
}

// The kernel's keep-alive probes reset the silent connections after 3 s, before some held calls timed out.
// The client mistook the reset for a server that closes an idle connection while a request is sent, and
// repeated each call with its full wait.
TEST_CASE("keys stay current when silent connections are finally reset", "[silent_connections]") {
  Site site;
  site.addGateways(8, 320ms);
  site.silenceOpenConnections();
  site.runFor(3s);
  site.resetOpenConnections();
  site.runFor(4s);
  CHECK(site.maxContactAge() < kKeyValidity);
}
