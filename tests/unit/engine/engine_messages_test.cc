#include "engine/engine_messages.h"

#include <catch2/catch.hpp>

namespace crankspur {
namespace {

const std::string kLoad =
    R"({"incarnation":7,"age_ms":250,"queued_tokens":1,"queued_requests":2,"running_requests":3,"batch_limit":4,)"
    R"("cache_blocks_total":5,"cache_blocks_used":6,"prefill_tokens_per_second":8000.5})";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("an engine's description is decoded", "[engine]") {
  EngineDescription out;
  const std::string text =
      R"({"name":"e1","incarnation":7,"role":"prefill","leaving":true,"models":[{"model":"m",)"
      R"("weights_version":"w","adapters":["a"]}],"batch_limit":32,"cache_blocks_total":6000,"later":1})";
  REQUIRE_FALSE(decodeDescription(text, out));
  CHECK(out.role == EngineRole::Prefill);
  CHECK(out.leaving);
  REQUIRE(out.models.size() == 1);
  CHECK(out.models[0].adapters == std::vector<std::string>{"a"});
  CHECK(decodeDescription(replaceFirst(text, "prefill", "cook"), out) == ErrorCode::Malformed);
  CHECK(decodeDescription(replaceFirst(text, "\"incarnation\":7", "\"incarnation\":-7"), out) ==
        ErrorCode::Malformed);
  CHECK(decodeDescription(replaceFirst(text, "[\"a\"]", "[1]"), out) == ErrorCode::Malformed);
  CHECK(decodeDescription(replaceFirst(text, "[{\"model\"", "[3,{\"model\""), out) == ErrorCode::Malformed);
}

TEST_CASE("the measurement time of a load report accounts for its age", "[engine]") {
  const TimePoint now{std::chrono::seconds(50)};
  EngineLoadResponse out;
  REQUIRE_FALSE(decodeLoad(kLoad, now, out));
  CHECK(out.incarnation == 7);
  CHECK(out.report.measured_at == now - std::chrono::milliseconds(250));
  CHECK(out.report.prefill_tokens_per_second == Approx(8000.5));
}

TEST_CASE("malformed load reports are rejected", "[engine]") {
  EngineLoadResponse out;
  const std::vector<std::string> bad = {
      "",
      "null",
      "[]",
      "{",
      "{}",
      std::string(10'000, '['),
      replaceFirst(kLoad, "\"age_ms\":250", "\"age_ms\":1e300"),
      replaceFirst(kLoad, "\"age_ms\":250", "\"age_ms\":99999999"),
      replaceFirst(kLoad, "\"queued_tokens\":1", "\"queued_tokens\":4294967296"),
      replaceFirst(kLoad, "\"queued_tokens\":1", "\"queued_tokens\":1.5"),
      replaceFirst(kLoad, "\"queued_tokens\":1", "\"queued_tokens\":\"1\""),
      replaceFirst(kLoad, "8000.5", "0"),
      replaceFirst(kLoad, "8000.5", "-1"),
      kLoad + "x",
  };
  for (const std::string& text : bad) CHECK(decodeLoad(text, TimePoint{}, out) == ErrorCode::Malformed);
}

TEST_CASE("cache events must be in order with valid hashes", "[engine]") {
  const auto document = [](const std::string& events) {
    return R"({"incarnation":1,"last_sequence":9,"events":[)" + events + "]}";
  };
  CacheEventsResponse out;
  REQUIRE_FALSE(decodeCacheEvents(
      document(
          R"({"sequence":3,"stored":["00000000000000ff"],"removed":[]},{"sequence":5,"stored":[],"removed":[]})"),
      out));
  REQUIRE(out.events.size() == 2);
  CHECK(out.events[0].stored == std::vector<BlockHash>{255});
  const std::vector<std::string> bad = {
      R"({"sequence":3,"stored":["ff"],"removed":[]})",
      R"({"sequence":3,"stored":["00000000000000FF"],"removed":[]})",
      R"({"sequence":3,"stored":["0x000000000000ff"],"removed":[]})",
      R"({"sequence":3,"stored":[255],"removed":[]})",
      R"({"sequence":3,"stored":[]})",
      R"({"sequence":0,"stored":[],"removed":[]})",
      R"({"sequence":3,"stored":[],"removed":[]},{"sequence":3,"stored":[],"removed":[]})",
  };
  for (const std::string& events : bad) {
    CHECK(decodeCacheEvents(document(events), out) == ErrorCode::Malformed);
  }
}

TEST_CASE("a digest is decoded", "[engine]") {
  CacheDigestResponse out;
  REQUIRE_FALSE(decodeCacheDigest(R"({"incarnation":1,"sequence":4,"blocks":["0000000000000001"]})", out));
  CHECK(out.sequence == 4);
  CHECK(out.blocks == std::vector<BlockHash>{1});
  CHECK(decodeCacheDigest(R"({"incarnation":1,"sequence":4,"blocks":{}})", out) == ErrorCode::Malformed);
}

TEST_CASE("the run state is unknown when an error body does not state it", "[engine]") {
  CHECK(decodeError(R"({"error":{"code":"overloaded","message":"m","ran":"not_run"}})").ran ==
        RunState::NotRun);
  CHECK(decodeError(R"({"error":{"code":"overloaded","message":"m","ran":"not_run"}})").code ==
        ErrorCode::Overloaded);
  CHECK(decodeError(R"({"error":{"code":"overloaded","message":"m"}})").ran == RunState::Unknown);
  CHECK(decodeError(R"({"error":{"code":"novel","ran":"never"}})").ran == RunState::Unknown);
  CHECK(decodeError(R"({"error":{"code":"novel","ran":"never"}})").code == ErrorCode::Internal);
  CHECK(decodeError(R"({"error":{"message":"m","ran":"not_run"}})").ran == RunState::Unknown);
  CHECK(decodeError("<html>").code == ErrorCode::Malformed);
}

TEST_CASE("Retry-After accepts fractional seconds up to a maximum", "[engine]") {
  CHECK(decodeRetryAfter("0.25") == std::chrono::milliseconds(250));
  CHECK(decodeRetryAfter("2") == std::chrono::seconds(2));
  CHECK(decodeRetryAfter("1e30") == std::chrono::hours(1));
  for (const char* bad : {"", "soon", "-1", "nan", "inf", "1 s"}) CHECK(decodeRetryAfter(bad) == Duration{0});
}

}  // namespace
}  // namespace crankspur
