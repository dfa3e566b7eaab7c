#include <catch2/catch.hpp>

#include "base/hash.h"
#include "engine_driver.h"

namespace crankspur::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a completion streams the expected text in order", "[standin_engine]") {
  EngineDriver engine;
  const CompletionRequest request = EngineDriver::request("r1", 1000, 20);
  const StreamId stream = engine.submit(request);
  engine.advance(seconds(5));
  const StreamLog& log = engine.streams[stream];
  const ExpectedCompletion expected = expectedCompletion("small", "w1", "", request.prompt, 20);
  REQUIRE(log.accepted.size() == 1);
  REQUIRE(log.finished.size() == 1);
  CHECK(log.contiguous);
  CHECK(log.text == expected.text);
  CHECK(log.finished[0].checksum == expected.checksum);
  CHECK(log.finished[0].token_count == expected.token_count);
  CHECK(log.finished[0].finish_reason == expected.finish_reason);
  CHECK(engine.model.inFlight() == 0);
}

TEST_CASE("the generated text depends on model, weights, adapter and prompt", "[standin_engine]") {
  const std::string text = expectedCompletion("m", "w", "a", "prompt", 20).text;
  CHECK(expectedCompletion("n", "w", "a", "prompt", 20).text != text);
  CHECK(expectedCompletion("m", "v", "a", "prompt", 20).text != text);
  CHECK(expectedCompletion("m", "w", "", "prompt", 20).text != text);
  CHECK(expectedCompletion("m", "w", "a", "prompts", 20).text != text);
  CHECK(expectedCompletion("m", "w", "a", "prompt", 10).text == text.substr(0, 40));
}

TEST_CASE("a second request with a cached prefix computes only the remainder", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest first = EngineDriver::request("r1", 1600);
  engine.submit(first);
  engine.advance(seconds(5));
  CompletionRequest second = first;
  second.request_id = "r2";
  second.prompt += std::string(64 * kBytesPerToken, 'q');
  const StreamId stream = engine.submit(second);
  engine.advance(seconds(5));
  CHECK(engine.streams[stream].accepted[0].cached_tokens == 1600);
  CHECK(engine.record("r2").cached_tokens == 1600);
  CHECK(engine.record("r2").recomputed_tokens == 64);
  CHECK(engine.record("r1").recomputed_tokens == 1600);
  REQUIRE(engine.record("r2").used_blocks.size() == 1);
  CHECK(engine.record("r2").used_blocks[0].incarnation == engine.model.incarnation());
  CHECK(engine.record("r2").used_blocks[0].blocks == 100);
}

TEST_CASE("a prompt that continues a completion finds its text cached", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest first = EngineDriver::request("r1", 160, 32);
  const StreamId stream = engine.submit(first);
  engine.advance(seconds(5));
  CompletionRequest second = first;
  second.request_id = "r2";
  second.prompt += engine.streams[stream].text + "and then?";
  engine.submit(second);
  engine.advance(seconds(5));
  CHECK(engine.record("r2").cached_tokens == 192);
}

TEST_CASE("no cache entry serves another tenant, adapter or weights version", "[standin_engine]") {
  EngineDriver engine;
  engine.submit(EngineDriver::request("r1", 1600));
  engine.advance(seconds(5));
  CompletionRequest other_tenant = EngineDriver::request("r2", 1600);
  other_tenant.tenant = "camp";
  CompletionRequest other_adapter = EngineDriver::request("r3", 1600);
  other_adapter.adapter = "franchise";
  engine.submit(other_tenant);
  engine.submit(other_adapter);
  engine.advance(seconds(5));
  CHECK(engine.record("r2").cached_tokens == 0);
  CHECK(engine.record("r3").cached_tokens == 0);
}

TEST_CASE("a cache without scopes is visible in the request record", "[standin_engine]") {
  EngineOptions options = EngineDriver::oneModel();
  options.scope_cache_entries = false;
  EngineDriver engine({}, options);
  engine.submit(EngineDriver::request("r1", 1600));
  engine.advance(seconds(5));
  CompletionRequest other_tenant = EngineDriver::request("r2", 1600);
  other_tenant.tenant = "camp";
  engine.submit(other_tenant);
  engine.advance(seconds(5));
  const RequestRecord& record = engine.record("r2");
  REQUIRE(record.used_blocks.size() == 1);
  CHECK(record.used_blocks[0].scope->tenant == "parts");
  CHECK(record.scope->tenant == "camp");
}

TEST_CASE("unused blocks are evicted when memory is full, blocks in use never", "[standin_engine]") {
  EngineTimings timings;
  timings.cache_blocks = 150;
  EngineDriver engine(timings);
  CompletionRequest first = EngineDriver::request("r1", 1600);
  engine.submit(first);
  engine.advance(seconds(5));
  CompletionRequest other = EngineDriver::request("r2", 1600);
  other.tenant = "camp";
  engine.submit(other);
  engine.advance(seconds(5));
  CHECK(engine.model.totals().evicted_blocks >= 50);
  CompletionRequest again = first;
  again.request_id = "r3";
  engine.submit(again);
  engine.advance(seconds(5));
  CHECK(engine.record("r3").cached_tokens < 1600 - 16);
  CHECK(engine.record("r3").outcome == RunOutcome::Finished);
  CHECK(engine.model.load(engine.now).cache_blocks_used <= 150);
}

TEST_CASE("requests of higher priority are prefilled first", "[standin_engine]") {
  EngineDriver engine;
  const auto submit = [&engine](const std::string& id, std::uint32_t priority) {
    CompletionRequest request = EngineDriver::request(id, 4000);
    request.tenant = id;
    request.priority = priority;
    engine.submit(request);
  };
  submit("running", 1);
  submit("late", 2);
  submit("urgent", 0);
  engine.advance(seconds(10));
  CHECK(engine.record("urgent").first_token < engine.record("running").first_token);
  CHECK(engine.record("running").first_token < engine.record("late").first_token);
}

TEST_CASE("decode steps take longer in a larger batch and the batch is bounded", "[standin_engine]") {
  EngineTimings timings;
  timings.batch_limit = 4;
  EngineDriver engine(timings);
  for (int index = 0; index < 6; ++index) {
    CompletionRequest request = EngineDriver::request("r" + std::to_string(index), 16, 30);
    request.prompt[0] = static_cast<char>('a' + index);
    engine.submit(request);
  }
  engine.advance(milliseconds(300));
  CHECK(engine.model.load(engine.now).running_requests == 4);
  CHECK(engine.model.load(engine.now).queued_requests == 2);
  engine.advance(seconds(5));
  CHECK(engine.model.records().size() == 6);
}

TEST_CASE("a full queue refuses with not_run and a retry delay", "[standin_engine]") {
  EngineTimings timings;
  timings.queue_tokens = 5000;
  EngineDriver engine(timings);
  for (int index = 0; index < 3; ++index) engine.submit(EngineDriver::request(std::to_string(index), 4000));
  const StreamId stream = engine.submit(EngineDriver::request("r9", 4000));
  const StreamLog& log = engine.streams[stream];
  REQUIRE(log.refused.size() == 1);
  CHECK(log.refused[0].code == ErrorCode::Overloaded);
  CHECK(log.refused[0].ran == RanState::NotRun);
  CHECK(log.refused[0].retry_after > Duration{0});
}

TEST_CASE("requests whose expectations do not match are refused", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest request = EngineDriver::request("r1", 100);
  request.expect_incarnation = engine.model.incarnation() + 1;
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::IncarnationMismatch);
  request.expect_incarnation = engine.model.incarnation();
  request.expect_weights = "w0";
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::WeightsMismatch);
  request.expect_weights = "w1";
  request.resume_text = "abc";
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::InvalidRequest);
  request.resume_text.clear();
  request.model = "other";
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::UnknownModel);
  request.model = "small";
  request.max_tokens = 10'000'000;
  CHECK(engine.streams[engine.submit(request)].refused.at(0).code == ErrorCode::TooLarge);
  CHECK(engine.model.records().empty());
}

TEST_CASE("a disconnected stream is resumed at an offset with the same text", "[standin_engine]") {
  EngineDriver engine;
  const CompletionRequest request = EngineDriver::request("r1", 160, 30);
  const ExpectedCompletion expected = expectedCompletion("small", "w1", "", request.prompt, 30);
  const StreamId first = engine.submit(request);
  engine.advance(milliseconds(200));
  const std::uint64_t received = engine.streams[first].next_offset;
  REQUIRE(received > 2);
  engine.model.onStreamClosed(first, engine.now);
  SECTION("while the request runs") {
    engine.advance(milliseconds(100));
  }
  SECTION("after the request finished") {
    engine.advance(seconds(4));
  }
  const StreamId second = engine.resume({"r1", 2, engine.model.incarnation(), received - 1});
  engine.advance(seconds(4));
  const StreamLog& log = engine.streams[second];
  CHECK(log.contiguous);
  CHECK(log.text == expected.text.substr((received - 1) * kBytesPerToken));
  REQUIRE(log.finished.size() == 1);
  CHECK(log.finished[0].checksum == expected.checksum);
}

TEST_CASE("a continuation at another engine generates the same text", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest request = EngineDriver::request("r1", 160, 30);
  const ExpectedCompletion expected = expectedCompletion("small", "w1", "", request.prompt, 30);
  request.resume_offset = 12;
  request.resume_text = expected.text.substr(0, 48);
  const StreamId stream = engine.submit(request);
  engine.advance(seconds(4));
  CHECK(engine.streams[stream].text == expected.text.substr(48));
  CHECK(engine.streams[stream].finished.at(0).checksum == expected.checksum);
  CHECK(engine.streams[stream].finished.at(0).token_count == 30);
}

TEST_CASE("a request without a reader ends after a timeout and is then unknown", "[standin_engine]") {
  EngineTimings timings;
  timings.orphan_timeout = seconds(1);
  EngineDriver engine(timings);
  const StreamId stream = engine.submit(EngineDriver::request("r1", 160, 4000));
  engine.advance(milliseconds(300));
  engine.model.onStreamClosed(stream, engine.now);
  engine.advance(seconds(2));
  CHECK(engine.record("r1").outcome == RunOutcome::Orphaned);
  const StreamId again = engine.resume({"r1", 2, 0, 0});
  CHECK(engine.streams[again].refused.at(0).ran == RanState::Unknown);
}

TEST_CASE("a cancel applies only to the latest attempt", "[standin_engine]") {
  EngineDriver engine;
  const StreamId first = engine.submit(EngineDriver::request("r1", 160, 1000));
  engine.advance(milliseconds(200));
  engine.resume({"r1", 2, 0, 0});
  CHECK(engine.streams[first].aborted);
  engine.model.cancel("r1", 1, engine.now);
  CHECK(engine.model.inFlight() == 1);
  engine.model.cancel("r1", 2, engine.now);
  CHECK(engine.model.inFlight() == 0);
  CHECK(engine.record("r1").outcome == RunOutcome::Cancelled);
}

TEST_CASE("a crash aborts streams, clears the cache and changes the incarnation", "[standin_engine]") {
  EngineDriver engine;
  const std::uint64_t before = engine.model.incarnation();
  engine.submit(EngineDriver::request("r1", 1600));
  engine.advance(seconds(5));
  const StreamId stream = engine.submit(EngineDriver::request("r2", 1600, 1000));
  engine.advance(milliseconds(100));
  engine.model.crash(engine.now);
  engine.collectOutputs();
  CHECK(engine.streams[stream].aborted);
  CHECK(engine.record("r2").outcome == RunOutcome::Crashed);
  CHECK(engine.model.incarnation() != before);
  CHECK(engine.model.cacheDigest(engine.now).blocks.empty());
  CHECK(engine.resume({"r2", 2, 0, 0}) != 0);
  engine.submit(EngineDriver::request("r3", 1600));
  engine.advance(seconds(5));
  CHECK(engine.record("r3").cached_tokens == 0);
}

TEST_CASE("a frozen engine makes no progress until it thaws", "[standin_engine]") {
  EngineDriver engine;
  const StreamId stream = engine.submit(EngineDriver::request("r1", 160, 30));
  engine.advance(milliseconds(200));
  const std::uint64_t received = engine.streams[stream].next_offset;
  engine.model.freeze(engine.now);
  engine.advance(seconds(30));
  CHECK(engine.streams[stream].next_offset == received);
  engine.model.thaw(engine.now);
  engine.advance(milliseconds(50));
  CHECK(engine.streams[stream].next_offset <= received + 3);
  engine.advance(seconds(3));
  CHECK(engine.streams[stream].finished.size() == 1);
}

TEST_CASE("a slowed engine takes longer for prefill and decode", "[standin_engine]") {
  const auto timeOf = [](double slowdown) {
    EngineDriver engine;
    engine.model.setSlowdown(slowdown);
    engine.submit(EngineDriver::request("r1", 1600, 20));
    engine.advance(seconds(60));
    return engine.record("r1").ended - engine.record("r1").arrived;
  };
  CHECK(toSeconds(timeOf(4)) == Approx(4 * toSeconds(timeOf(1))));
}

TEST_CASE("an import avoids the prefill of the blocks that the source has", "[standin_engine]") {
  EngineDriver engine;
  CompletionRequest request = EngineDriver::request("r1", 1600);
  request.import_from = "127.0.0.1:1";
  request.import_blocks = 90;
  engine.submit(request);
  REQUIRE(engine.import_queries.size() == 1);
  CHECK(engine.import_queries[0].blocks.size() == 90);
  SECTION("the source has some of the blocks") {
    engine.model.onImportResponse("r1", 1, 50, 99, engine.now);
    engine.advance(seconds(3));
    CHECK(engine.record("r1").imported_tokens == 800);
    CHECK(engine.record("r1").recomputed_tokens == 800);
    REQUIRE(engine.record("r1").used_blocks.size() == 1);
    CHECK(engine.record("r1").used_blocks[0].incarnation == 99);
    CHECK(engine.record("r1").used_blocks[0].imported);
  }
  SECTION("the source does not respond") {
    engine.advance(seconds(3));
    CHECK(engine.record("r1").recomputed_tokens == 1600);
  }
  CHECK(engine.record("r1").outcome == RunOutcome::Finished);
}

}  // namespace
}  // namespace crankspur::standin
