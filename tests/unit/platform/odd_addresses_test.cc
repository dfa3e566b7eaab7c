/// @file Guards against entries of another writer with addresses that nobody can call: the calls of a gateway
/// to them must end with an error, and not stop it or delay its calls to other back ends.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "gateway_control/cache_watch.h"
#include "http/server.h"
#include "platform/platform_translator.h"
#include "unit/platform/fake_platform_store.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// Longer than the time-out of any call to a back end.
constexpr auto kMaxCallTime = 5s;

/// A back end that responds to all calls.
class SoundRunner {
public:
  explicit SoundRunner(boost::asio::io_context& context) {
    std::error_code error;
    const auto handler = [this](const http::Request& request,
                                const std::shared_ptr<http::ResponseWriter>& writer) {
      ++calls;
      if (request.path() == "/report") {
        return writer->respond(http::jsonResponse(200, R"({"sequence":1,"busy":false,"models":[]})"));
      }
      writer->respond(http::jsonResponse(200, R"({"epoch":1,"nextPageToken":0,"lost":false,"events":[]})"));
    };
    server_ = http::listen(context.get_executor(), "127.0.0.1:0", handler, error);
    REQUIRE_FALSE(error);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

  int calls = 0;

private:
  std::unique_ptr<http::Server> server_;
};

/// A translator, a back end that responds, and one that accepts connections and says nothing.
struct AddressesFixture {
  TranslatorOptions options() const {
    TranslatorOptions result;
    result.store_address = store.address();
    return result;
  }

  std::vector<std::string> oddAddresses() const {
    return {"0.0.0.0:1",    "255.255.255.255:1", "224.0.0.1:1",    "127.0.0.1:0",
            "127.0.0.1:1",  "0.0.0.0:0",         "[::1]:1",        "[::]:0",
            "[ff02::1]:1",  "127.0.0.1:-1",      "not an address", "",
            silentAddress()};
  }
  std::string silentAddress() const { return "127.0.0.1:" + std::to_string(silent.local_endpoint().port()); }

  boost::asio::io_context context;
  FakePlatformStore store{context};
  SoundRunner sound{context};
  boost::asio::ip::tcp::acceptor silent{
      context, {boost::asio::ip::address_v4::loopback(), boost::asio::ip::port_type{0}}};
  NullEventLog log;
  PlatformTranslator translator{context.get_executor(), options(), log};
};

gateway::Backend backendAt(const std::string& address, EngineSlot slot) {
  gateway::Backend backend;
  backend.view.slot = slot;
  backend.view.name = "e" + std::to_string(slot);
  backend.view.address = address;
  backend.view.pool = "lm";
  backend.view.incarnation = slot;
  return backend;
}

}  // namespace

TEST_CASE("calls to addresses that nobody can call end with an error, and others get responses meanwhile",
          "[odd_rows][odd_addresses]") {
  AddressesFixture fixture;
  const std::vector<std::string> addresses = fixture.oddAddresses();
  std::size_t ended = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (const std::string& address : addresses) {
    fixture.translator.readWeights(address, [&](const std::optional<gateway::WeightsReport>& report) {
      CHECK_FALSE(report.has_value());
      ++ended;
    });
    fixture.translator.readCacheEvents(address, 0, 400ms, [&](const gateway::CachedPartsPage& page) {
      CHECK_FALSE(page.responded);
      ++ended;
    });
    gateway::WeightsOrder order;
    order.address = address;
    order.backend = "e1";
    fixture.translator.sendOrder(order, [&](gateway::OrderResponse response) {
      CHECK((response == gateway::OrderResponse::Refused || response == gateway::OrderResponse::Unknown));
      ++ended;
    });
  }
  bool responded = false;
  fixture.translator.readWeights(fixture.sound.address(),
                                 [&](const auto& report) { responded = report.has_value(); });
  runUntil(fixture.context, [&] { return responded; });
  CHECK(ended < 3 * addresses.size());  // The silent back end is still awaited.
  runUntil(fixture.context, [&] { return ended == 3 * addresses.size(); });
  CHECK(std::chrono::steady_clock::now() - begin < kMaxCallTime);
}

TEST_CASE("a cache is followed although the caches before it have addresses that nobody can call",
          "[odd_rows][odd_addresses]") {
  AddressesFixture fixture;
  std::set<EngineSlot> responded;
  std::set<EngineSlot> unresponsive;
  gateway::CacheWatchCallbacks callbacks;
  callbacks.on_update = [](const gateway::CachedPartsUpdate&) {};
  callbacks.on_response = [&](EngineSlot slot, std::uint64_t) { responded.insert(slot); };
  callbacks.on_responsive = [](EngineSlot, std::uint64_t) {};
  callbacks.on_unresponsive = [&](const gateway::UnresponsiveCache& cache) {
    unresponsive.insert(cache.slot);
  };
  gateway::CacheWatch watch(fixture.context.get_executor(), fixture.translator, callbacks);
  gateway::Configuration configuration;
  gateway::Pool pool;
  pool.name = "lm";
  pool.cache_tokens = 1'000;
  configuration.pools = {pool};
  std::vector<gateway::Backend> backends;
  EngineSlot slot = 0;
  for (const std::string& address : fixture.oddAddresses()) backends.push_back(backendAt(address, ++slot));
  backends.push_back(backendAt(fixture.sound.address(), ++slot));
  watch.update(configuration, backends, [](const gateway::Backend&) { return true; });
  runUntil(fixture.context, [&] { return fixture.sound.calls > 3; });
  CHECK(responded == std::set<EngineSlot>{slot});
  runUntil(fixture.context, [&] { return unresponsive.size() == backends.size() - 1; });
  CHECK_FALSE(unresponsive.contains(slot));
}
