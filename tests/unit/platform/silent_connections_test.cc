/// @file Callers were refused for outdated keys while the store was well and new connections reached it.
/// All open connections had gone silent for good, without a reset. A held call to the store was noticed only
/// when its wait and its whole patience were over (3.7 s), and the next call went out on another kept
/// connection, silent as well, and took its whole patience too: keys were outdated after 5 s. That each next
/// call took a connection of before the silence was proved by lines for calls that got no answer (event
/// 1403), all on connections that had served calls before.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "platform/platform_translator.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/fault_proxy/fault_settings.h"
#include "unit/platform/holding_store.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// How long keys stay valid without word from the store, as on the deployments of the incident.
constexpr Duration kKeyValidity = 5s;

class NoLog : public EventLog {
public:
  void write(EventId, const std::vector<LogField>&) override {}
};

/// The platform side of one gateway, and the oldest that its contact with the store ever was.
class Gateway {
public:
  Gateway(boost::asio::io_context& context, const std::string& store, std::uint64_t seed)
      : translator_(context.get_executor(), options(store, seed), log_) {}

  void start() {
    gateway::PlatformCallbacks news;
    news.on_configuration = [](const auto&) {};
    news.on_weights = [](const auto&) {};
    news.on_backend = [](const auto&) {};
    news.on_backend_removed = [](const auto&) {};
    news.on_full_list = [](const auto&) {};
    news.on_trouble = [] {};
    news.on_connections_silent = [] {};
    news.on_contact = [this](TimePoint as_of) {
      noteAge();
      contact_ = std::max(contact_, as_of);
    };
    contact_ = clock_.now();
    translator_.start(std::move(news));
    // As many calls at once leave as many connections that are kept.
    for (int call = 0; call < 4; ++call) translator_.readLease("weights", [](const auto&) {});
  }

  void noteAge() { oldest_ = std::max(oldest_, clock_.now() - contact_); }
  Duration oldestContact() const { return oldest_; }
  PlatformTranslator& translator() { return translator_; }

private:
  static TranslatorOptions options(const std::string& store, std::uint64_t seed) {
    TranslatorOptions options;
    options.store_address = store;
    options.operator_wait = kKeyValidity / 2;
    options.random_seed = seed;
    return options;
  }

  NoLog log_;
  SteadyClock clock_;
  TimePoint contact_{};
  Duration oldest_{0};
  PlatformTranslator translator_;
};

/// Gateways before a store; between all of them a proxy whose open connections can go silent.
class Site {
public:
  Site() { REQUIRE_FALSE(proxy_.addRoute({"store", "127.0.0.1:0", store_.address()})); }

  Gateway& addGateway() {
    const std::string store = "127.0.0.1:" + std::to_string(proxy_.ports().front());
    gateways_.push_back(std::make_unique<Gateway>(context_, store, gateways_.size() + 1));
    gateways_.back()->start();
    return *gateways_.back();
  }

  /// @return the address at which the gateway answers others, behind the proxy.
  std::string reader(Gateway& gateway) {
    const std::uint16_t port = freePort();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    REQUIRE_FALSE(gateway.translator().listen(address));
    REQUIRE_FALSE(proxy_.addRoute({"reader", "127.0.0.1:0", address}));
    return "127.0.0.1:" + std::to_string(proxy_.ports().back());
  }

  /// Their calls are held since different moments when the connections go silent.
  void addGatewaysApart(int count, Duration apart) {
    for (int gateway = 0; gateway < count; ++gateway) {
      addGateway();
      runFor(apart);
    }
  }

  void silenceOpenConnections() { proxy_.apply(silence()); }

  /// As the kernel does once it has probed connections in vain.
  void resetOpenConnections() {
    standin::ControlCommand command;
    command.cut_now = true;
    proxy_.apply(command);
  }

  void runFor(Duration time) { context_.run_for(std::chrono::microseconds(time)); }

  Duration oldestContact() {
    Duration oldest{0};
    for (const auto& gateway : gateways_) {
      gateway->noteAge();
      oldest = std::max(oldest, gateway->oldestContact());
    }
    return oldest;
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
  HoldingStore store_{context_};
  standin::FaultProxy proxy_{context_.get_executor(), 1};
  std::vector<std::unique_ptr<Gateway>> gateways_;
};

}  // namespace

TEST_CASE("keys stay current while new connections reach the store, whatever becomes of open ones",
          "[silent_connections]") {
  Site site;
  site.addGatewaysApart(8, 320ms);
  site.silenceOpenConnections();
  site.runFor(3s);
  site.silenceOpenConnections();
  site.runFor(5500ms);
  CHECK(site.oldestContact() < kKeyValidity);
}

TEST_CASE("keys stay current at gateways that ask others for the store's tables, too",
          "[silent_connections]") {
  Site site;
  std::vector<std::string> readers;
  for (int index = 0; index < 2; ++index) {
    Gateway& gateway = site.addGateway();
    readers.push_back(site.reader(gateway));
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
  CHECK(site.oldestContact() < kKeyValidity);
}

// The kernel's probes ended the silent connections after 3 s, sooner than the patience of some held calls.
// The client took that for a server that closes an idle connection as the request is sent, and made each call
// anew with its whole hold.
TEST_CASE("keys stay current when silent connections are reset in the end", "[silent_connections]") {
  Site site;
  site.addGatewaysApart(8, 320ms);
  site.silenceOpenConnections();
  site.runFor(3s);
  site.resetOpenConnections();
  site.runFor(4s);
  CHECK(site.oldestContact() < kKeyValidity);
}
