#include "gateway_control/cache_watch.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "unit/gateway_control/platform_link_fake.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// A watch of the caches of two engines whose answers the test gives.
class WatchedCaches {
  // Goes last: calls that wait in the platform hold timers of it.
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

  /// Answers the call that waits at the engine.
  void answer(const std::string& address, CachedPartsPage page) {
    runUntil([&] { return platform.events_calls.contains(address); });
    const auto call = platform.events_calls.extract(address);
    call.mapped()(std::move(page));
  }
  void answerEmpty(const std::string& address) {
    CachedPartsPage page;
    page.responded = true;
    page.epoch = 1;
    answer(address, std::move(page));
  }
  void dontAnswer(const std::string& address) { answer(address, {}); }

  template <typename Condition>
  void runUntil(Condition condition) {
    while (!condition()) REQUIRE(context_.run_one() > 0);
  }

  void runWhatIsDue() { context_.poll(); }

  FakePlatformLink platform;
  std::vector<CachedPartsNews> news;
  std::vector<CacheSilence> silences;
  std::vector<EngineSlot> heard;

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
    callbacks.on_news = [this](CachedPartsNews told) { news.push_back(std::move(told)); };
    callbacks.on_silent = [this](const CacheSilence& silence) { silences.push_back(silence); };
    callbacks.on_heard = [this](EngineSlot slot, std::uint64_t) { heard.push_back(slot); };
    return callbacks;
  }
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_{context_.get_executor()};
  Configuration configuration_;
  CacheWatch watch_;
};

}  // namespace

TEST_CASE(
    "an engine that does not answer while another one does is told to be silent, once it answers to be heard",
    "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.answerEmpty("a2");
  caches.dontAnswer("a1");
  REQUIRE(caches.silences.size() == 1);
  CHECK(caches.silences[0].slot == 1);
  CHECK(caches.silences[0].others_answer);
  CHECK(caches.heard.empty());
  caches.answerEmpty("a1");
  CHECK(caches.heard == std::vector<EngineSlot>{1});
  caches.answerEmpty("a1");
  CHECK(caches.heard.size() == 1);
}

TEST_CASE("when nobody answers the fault may be this gateway's own", "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.dontAnswer("a1");
  caches.dontAnswer("a2");
  REQUIRE(caches.silences.size() == 2);
  CHECK_FALSE(caches.silences[0].others_answer);
  CHECK_FALSE(caches.silences[1].others_answer);
}

TEST_CASE("an engine that turns a call away answers", "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.answerEmpty("a2");
  CachedPartsPage page;
  page.rejected = true;
  caches.answer("a1", page);
  CHECK(caches.silences.empty());
}

TEST_CASE("the first events of a cache are told as what they leave behind", "[cache_watch]") {
  WatchedCaches watched;
  CachedPartsPage page;
  page.responded = true;
  page.epoch = 1;
  page.position = 5;
  page.parts = {
      {"s", "m", 1, 400}, {"s", "m", 2, 300}, {"s", "m", 1, 0}, {"s", "m", 2, 200}, {"t", "m", 1, 100}};
  watched.answer("a1", page);
  REQUIRE(watched.news.size() == 1);
  CHECK(watched.news[0].complete);
  REQUIRE(watched.news[0].parts.size() == 2);
  CHECK(watched.news[0].parts[0].tokens == 200);
  CHECK(watched.news[0].parts[1].tokens == 100);
  // Later ones are changes, removals among them.
  page.parts = {{"s", "m", 2, 100}, {"s", "m", 2, 0}};
  watched.answer("a1", page);
  REQUIRE(watched.news.size() == 2);
  CHECK_FALSE(watched.news[1].complete);
  REQUIRE(watched.news[1].parts.size() == 1);
  CHECK(watched.news[1].parts[0].tokens == 0);
}

TEST_CASE("whole caches are asked for a few at a time", "[cache_watch]") {
  WatchedCaches watched(12);
  CHECK(watched.platform.events_calls.size() == 4);
  // The next one is asked as soon as one has responded.
  watched.answerEmpty("a1");
  CHECK(watched.platform.events_calls.contains("a5"));
  // Those that take long do not hold up the others for ever.
  watched.runUntil([&] { return watched.platform.events_calls.size() == 12; });
}

TEST_CASE("an engine behind a silent connection is asked again at once, without a wait",
          "[cache_watch][silence]") {
  WatchedCaches caches;
  caches.answerEmpty("a2");
  REQUIRE(caches.platform.events_waits["a1"] == std::chrono::milliseconds(400));
  caches.dontAnswer("a1");
  caches.runWhatIsDue();
  REQUIRE(caches.platform.events_calls.contains("a1"));
  CHECK(caches.platform.events_waits["a1"] == Duration(0));
  // One that does not answer a new connection either is asked in its turn.
  const auto began = std::chrono::steady_clock::now();
  caches.dontAnswer("a1");
  caches.runUntil([&] { return caches.platform.events_calls.contains("a1"); });
  CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(300));
  caches.answerEmpty("a1");
  caches.runUntil([&] { return caches.platform.events_calls.contains("a1"); });
  CHECK(caches.platform.events_waits["a1"] == std::chrono::milliseconds(400));
}
