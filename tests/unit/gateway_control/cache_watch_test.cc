#include "gateway_control/cache_watch.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "unit/gateway_control/platform_link_fake.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// A watch of the caches of some engines, two by default. The test provides their responses.
class WatchedCaches {
  // Declared first to be destroyed last: pending calls in the platform hold timers of this context.
  boost::asio::io_context context_;

public:
  explicit WatchedCaches(EngineSlot engines = 2) : watch_(context_.get_executor(), platform, callbacks()) {
    Pool pool;
    pool.name = "lm";
    pool.cache_tokens = 1000;
    configuration_.pools = {pool};
    std::vector<Backend> backends;
    for (EngineSlot slot = 1; slot <= engines; ++slot) backends.push_back(engine(slot));
    watch_.update(configuration_, backends, [](const Backend&) { return true; });
  }

  /// Responds to the call that is pending at the engine.
  void respond(const std::string& address, CachedPartsPage page) {
    runUntil([&] { return platform.events_calls.contains(address); });
    const auto call = platform.events_calls.extract(address);
    call.mapped()(std::move(page));
  }
  void respondEmpty(const std::string& address) {
    CachedPartsPage page;
    page.responded = true;
    page.epoch = 1;
    respond(address, std::move(page));
  }
  void failToRespond(const std::string& address) { respond(address, {}); }

  template <typename Condition>
  void runUntil(Condition condition) {
    while (!condition()) REQUIRE(context_.run_one() > 0);
  }

  void runReadyHandlers() { context_.poll(); }

  FakePlatformLink platform;
  std::vector<CachedPartsUpdate> updates;
  std::vector<UnresponsiveCache> unresponsive;
  std::vector<EngineSlot> responsive;

private:
  static Backend engine(EngineSlot slot) {
    Backend backend;
    backend.view.slot = slot;
    backend.view.name = "e" + std::to_string(slot);
    backend.view.address = "a" + std::to_string(slot);
    backend.view.pool = "lm";
    backend.view.incarnation = 1000U + slot;
    return backend;
  }
  CacheWatchCallbacks callbacks() {
    CacheWatchCallbacks callbacks;
    callbacks.on_update = [this](CachedPartsUpdate update) { updates.push_back(std::move(update)); };
    callbacks.on_unresponsive = [this](const UnresponsiveCache& cache) { unresponsive.push_back(cache); };
    callbacks.on_response = [](EngineSlot, std::uint64_t) {};
    callbacks.on_responsive = [this](EngineSlot slot, std::uint64_t) { responsive.push_back(slot); };
    return callbacks;
  }
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{context_.get_executor()};
  Configuration configuration_;
  CacheWatch watch_;
};

}  // namespace

TEST_CASE(
    "an engine that does not respond while another one does is reported as unresponsive, then as responsive",
    "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.respondEmpty("a2");
  caches.failToRespond("a1");
  REQUIRE(caches.unresponsive.size() == 1);
  CHECK(caches.unresponsive[0].slot == 1);
  CHECK(caches.unresponsive[0].others_responded);
  CHECK(caches.responsive.empty());
  caches.respondEmpty("a1");
  CHECK(caches.responsive == std::vector<EngineSlot>{1});
  caches.respondEmpty("a1");
  CHECK(caches.responsive.size() == 1);
}

TEST_CASE("when no engine responds the fault may be this gateway's own", "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.failToRespond("a1");
  caches.failToRespond("a2");
  REQUIRE(caches.unresponsive.size() == 2);
  CHECK_FALSE(caches.unresponsive[0].others_responded);
  CHECK_FALSE(caches.unresponsive[1].others_responded);
}

TEST_CASE("an engine that rejects a call counts as responsive", "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.respondEmpty("a2");
  CachedPartsPage page;
  page.rejected = true;
  caches.respond("a1", page);
  CHECK(caches.unresponsive.empty());
}

TEST_CASE("the first events of a cache are reported as the parts that remain after them", "[cache_watch]") {
  WatchedCaches watched;
  CachedPartsPage page;
  page.responded = true;
  page.epoch = 1;
  page.position = 5;
  page.parts = {
      {"s", "m", 1, 400}, {"s", "m", 2, 300}, {"s", "m", 1, 0}, {"s", "m", 2, 200}, {"t", "m", 1, 100}};
  watched.respond("a1", page);
  REQUIRE(watched.updates.size() == 1);
  CHECK(watched.updates[0].complete);
  REQUIRE(watched.updates[0].parts.size() == 2);
  CHECK(watched.updates[0].parts[0].tokens == 200);
  CHECK(watched.updates[0].parts[1].tokens == 100);
  // Later events are reported as changes, including removals.
  page.parts = {{"s", "m", 2, 100}, {"s", "m", 2, 0}};
  watched.respond("a1", page);
  REQUIRE(watched.updates.size() == 2);
  CHECK_FALSE(watched.updates[1].complete);
  REQUIRE(watched.updates[1].parts.size() == 1);
  CHECK(watched.updates[1].parts[0].tokens == 0);
}

TEST_CASE("the number of concurrent requests for complete caches is limited", "[cache_watch]") {
  WatchedCaches watched(12);
  CHECK(watched.platform.events_calls.size() == 4);
  // The next call is made as soon as one cache has responded.
  watched.respondEmpty("a1");
  CHECK(watched.platform.events_calls.contains("a5"));
  // Slow calls delay the others for a limited time only.
  watched.runUntil([&] { return watched.platform.events_calls.size() == 12; });
}

TEST_CASE("an engine behind a silent connection is called again at once, without a wait for events",
          "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.respondEmpty("a2");
  REQUIRE(caches.platform.events_waits["a1"] == std::chrono::milliseconds(400));
  caches.failToRespond("a1");
  caches.runReadyHandlers();
  REQUIRE(caches.platform.events_calls.contains("a1"));
  CHECK(caches.platform.events_waits["a1"] == Duration(0));
  // If it does not respond on a new connection either, it is called again after the usual delay.
  const auto began = std::chrono::steady_clock::now();
  caches.failToRespond("a1");
  caches.runUntil([&] { return caches.platform.events_calls.contains("a1"); });
  CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(300));
  caches.respondEmpty("a1");
  caches.runUntil([&] { return caches.platform.events_calls.contains("a1"); });
  CHECK(caches.platform.events_waits["a1"] == std::chrono::milliseconds(400));
}
