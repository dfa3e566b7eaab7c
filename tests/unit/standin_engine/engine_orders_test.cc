#include <catch2/catch.hpp>

#include "engine_driver.h"

namespace crankspur::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineOrder loadWeights(std::uint64_t token, const std::string& version) {
  EngineOrder order;
  order.token = token;
  order.kind = OrderKind::LoadWeights;
  order.model = "small";
  order.weights_version = version;
  return order;
}

TEST_CASE("orders with a lower token are refused as stale", "[standin_engine]") {
  EngineDriver engine;
  CHECK(engine.model.order(loadWeights(5, "w2"), engine.now) == ErrorCode::Ok);
  CHECK(engine.model.order(loadWeights(4, "w0"), engine.now) == ErrorCode::Stale);
  CHECK(engine.model.orders().size() == 1);
  EngineOrder drain;
  drain.token = 4;
  CHECK(engine.model.order(drain, engine.now) == ErrorCode::Stale);
  CHECK_FALSE(engine.model.info().leaving);
}

TEST_CASE("an order for an earlier incarnation is refused", "[standin_engine]") {
  EngineDriver engine;
  EngineOrder order = loadWeights(5, "w2");
  order.expect_incarnation = engine.model.incarnation();
  engine.model.crash(engine.now);
  CHECK(engine.model.order(order, engine.now) == ErrorCode::IncarnationMismatch);
}

TEST_CASE("new weights are loaded after running requests end and invalidate cached blocks",
          "[standin_engine]") {
  EngineDriver engine;
  const StreamId running = engine.submit(EngineDriver::request("r1", 1600, 50));
  engine.advance(milliseconds(300));
  engine.model.order(loadWeights(1, "w2"), engine.now);
  engine.collectOutputs();
  CHECK(engine.weights_queries.empty());
  CHECK(engine.streams[engine.submit(EngineDriver::request("r2", 100))].refused.at(0).code ==
        ErrorCode::WeightsMismatch);
  CHECK(engine.model.info().models.empty());
  engine.advance(seconds(5));
  CHECK(engine.streams[running].finished.size() == 1);
  REQUIRE(engine.weights_queries.size() == 1);
  engine.model.onWeightsResponse("small", "w2", seconds(8), engine.now);
  engine.advance(seconds(9));
  REQUIRE(engine.model.info().models.size() == 1);
  CHECK(engine.model.info().models[0].weights_version == "w2");
  CHECK(engine.model.cacheDigest(engine.now).blocks.empty());
  const StreamId stream = engine.submit(EngineDriver::request("r3", 1600));
  engine.advance(seconds(5));
  CHECK(engine.record("r3").cached_tokens == 0);
  CHECK(engine.streams[stream].accepted.at(0).weights_version == "w2");
}

TEST_CASE("the weights query is retried if the weight store does not respond", "[standin_engine]") {
  EngineDriver engine;
  engine.model.order(loadWeights(1, "w2"), engine.now);
  engine.collectOutputs();
  REQUIRE(engine.weights_queries.size() == 1);
  engine.model.onWeightsResponse("small", "w2", std::nullopt, engine.now);
  engine.advance(seconds(3));
  CHECK(engine.weights_queries.size() == 2);
}

TEST_CASE("an adapter is served once it is loaded", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest request = EngineDriver::request("r1", 100);
  request.adapter = "holiday";
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::UnknownModel);
  EngineOrder order;
  order.token = 1;
  order.kind = OrderKind::LoadAdapter;
  order.model = "small";
  order.adapter = "holiday";
  CHECK(engine.model.order(order, engine.now) == ErrorCode::Ok);
  engine.advance(seconds(2));
  CHECK(engine.streams[engine.submit(request)].accepted.size() == 1);
}

TEST_CASE("a draining engine finishes its requests and refuses new ones", "[standin_engine]") {
  EngineDriver engine;
  const StreamId running = engine.submit(EngineDriver::request("r1", 160));
  EngineOrder drain;
  drain.token = 1;
  CHECK(engine.model.order(drain, engine.now) == ErrorCode::Ok);
  CHECK(engine.model.info().leaving);
  const StreamId refused = engine.submit(EngineDriver::request("r2", 160));
  CHECK(engine.streams[refused].refused.at(0).code == ErrorCode::Stopping);
  CHECK(engine.streams[refused].refused.at(0).ran == RanState::NotRun);
  engine.advance(seconds(3));
  CHECK(engine.streams[running].finished.size() == 1);
}

TEST_CASE("cache events become visible after a delay and in order", "[standin_engine]") {
  EngineDriver engine;
  engine.submit(EngineDriver::request("r1", 1600));
  engine.advance(milliseconds(150));
  CHECK(engine.model.cacheChanges(0, engine.now).events.empty());
  CHECK(engine.model.nextCacheChange(0).has_value());
  engine.advance(seconds(3));
  const CacheChanges changes = engine.model.cacheChanges(0, engine.now);
  std::vector<BlockHash> stored;
  std::uint64_t expected = 0;
  for (const CacheChange& change : changes.events) {
    CHECK(change.sequence == ++expected);
    stored.insert(stored.end(), change.stored.begin(), change.stored.end());
  }
  CHECK(changes.last_sequence == expected);
  CHECK(stored.size() == 100);
  const CacheDigest digest = engine.model.cacheDigest(engine.now);
  CHECK(digest.sequence == expected);
  std::sort(stored.begin(), stored.end());
  CHECK(digest.blocks == stored);
  CHECK(engine.model.cacheDigest(engine.now).refused);
}

TEST_CASE("lost cache events leave gaps in the sequence", "[standin_engine]") {
  EngineTimings timings;
  timings.event_gap_probability = 0.5;
  EngineDriver engine(timings);
  for (int index = 0; index < 20; ++index) {
    CompletionRequest request = EngineDriver::request("r" + std::to_string(index), 512);
    request.tenant = request.request_id;
    engine.submit(request);
  }
  engine.advance(seconds(10));
  const CacheChanges changes = engine.model.cacheChanges(0, engine.now);
  CHECK(changes.last_sequence >= 20);
  CHECK(changes.events.size() < changes.last_sequence);
  CHECK_FALSE(changes.events.empty());
}

TEST_CASE("the load report lags by the configured time", "[standin_engine]") {
  EngineTimings timings;
  timings.load_lag = milliseconds(500);
  EngineDriver engine(timings);
  engine.advance(seconds(1));
  engine.submit(EngineDriver::request("r1", 4000));
  engine.submit(EngineDriver::request("r2", 4000));
  CHECK(engine.model.load(engine.now).running_requests == 0);
  CHECK(engine.model.load(engine.now).age == milliseconds(500));
  engine.now += milliseconds(500);
  CHECK(engine.model.load(engine.now).running_requests == 1);
  CHECK(engine.model.load(engine.now).queued_tokens == 4000);
}

TEST_CASE("the same seed gives the same run", "[standin_engine]") {
  const auto run = [] {
    EngineTimings timings;
    timings.event_gap_probability = 0.3;
    timings.cache_blocks = 200;
    EngineDriver engine(timings);
    for (int index = 0; index < 10; ++index) {
      CompletionRequest request = EngineDriver::request("r" + std::to_string(index), 1000);
      request.prompt[2000] = static_cast<char>('a' + index);
      engine.submit(request);
      engine.advance(milliseconds(100));
    }
    engine.advance(seconds(10));
    std::vector<std::uint64_t> trace;
    for (const CacheChange& change : engine.model.cacheChanges(0, engine.now).events) {
      trace.push_back(change.sequence);
      trace.insert(trace.end(), change.stored.begin(), change.stored.end());
      trace.insert(trace.end(), change.removed.begin(), change.removed.end());
    }
    return trace;
  };
  CHECK(run() == run());
}

}  // namespace
}  // namespace crankspur::standin
