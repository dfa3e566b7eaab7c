/// @file Tests of the stand-in processes without routers: flags, KV export and import, weight loads, crash
/// and planned stop.

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <csignal>

#include "integration/http_call.h"
#include "integration/process.h"
#include "json/json_reader.h"
#include "prefix_index/block_hash.h"
#include "standins/engine/completion_text.h"

namespace crankspur::testing {
namespace {

std::string addressOf(Process& process) {
  return "127.0.0.1:" + std::to_string(process.port("listening"));
}

boost::json::object completion(const std::string& id, std::uint32_t max_tokens) {
  boost::json::object body;
  body["request_id"] = id;
  body["attempt"] = 1;
  body["tenant"] = "parts";
  body["model"] = "small";
  body["prompt"] = std::string(6400, 'p');
  body["max_tokens"] = max_tokens;
  return body;
}

http::Request completionRequest(const boost::json::object& body) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.body = boost::json::serialize(body);
  return request;
}

boost::json::object lastRecord(const std::string& address) {
  const boost::json::value stats = boost::json::parse(get(address, "/v1/stats").body);
  return stats.at("records").as_array().back().as_object();
}

/// @return number of leading blocks of the prompt that the KV store holds.
std::int64_t heldBlocks(const std::string& store) {
  const CacheScope scope{"parts", "small", "", "w1"};
  const std::string blocks = boost::json::serialize(
      boost::json::object{{"blocks", hashesToJson(hashBlocks(scope.seed(), std::string(6400, 'p')))}});
  return boost::json::parse(testing::post(store, "/v1/kv/get", blocks).body).at("held").as_int64();
}

TEST_CASE("an engine imports from an engine and from the KV store", "[integration]") {
  const std::string folder = makeScratchFolder();
  Process store("standin_kv_store", {"--listen=127.0.0.1:0"}, folder + "/store.log");
  Process first("standin_engine", {"--kv_store=" + addressOf(store)}, folder + "/first.log");
  Process second("standin_engine", {"--name=e2"}, folder + "/second.log");
  REQUIRE(call(addressOf(first), completionRequest(completion("r1", 2))).status == 200);
  std::string source;
  SECTION("from an engine") {
    source = addressOf(first);
  }
  SECTION("from the store") {
    source = addressOf(store);
    REQUIRE(eventually([&] { return heldBlocks(source) >= 90; }));
  }
  boost::json::object body = completion("r2", 2);
  body["import_from"] = source;
  body["import_blocks"] = 90;
  REQUIRE(call(addressOf(second), completionRequest(body)).status == 200);
  CHECK(lastRecord(addressOf(second)).at("imported_tokens").as_int64() == 1440);
  CHECK(lastRecord(addressOf(second)).at("recomputed_tokens").as_int64() == 160);
}

TEST_CASE("an engine takes the duration of a weight load from the weight store", "[integration]") {
  const std::string folder = makeScratchFolder();
  Process platform("standin_platform", {"--weights_bytes=1000000", "--weights_bytes_per_second=1e7"},
                   folder + "/platform.log");
  Process engine("standin_engine", {"--weight_store=" + addressOf(platform)}, folder + "/engine.log");
  const std::string address = addressOf(engine);
  const std::string order = R"({"token":1,"order":"load_weights","model":"small","weights_version":"w2"})";
  REQUIRE(testing::post(address, "/v1/orders", order).status == 200);
  CHECK(eventually([&] { return get(address, "/v1/engine").body.find("\"w2\"") != std::string::npos; }));
}

TEST_CASE("an engine completes its streams on a planned stop and truncates them when killed",
          "[integration]") {
  const std::string folder = makeScratchFolder();
  Process engine("standin_engine", {"--decode_step_ms=5"}, folder + "/engine.log");
  BackgroundCall stream(addressOf(engine), completionRequest(completion("r1", 40)));
  REQUIRE(eventually([&] { return stream.bodySoFar().find("tokens") != std::string::npos; }));
  const standin::ExpectedCompletion expected =
      standin::expectedCompletion("small", "w1", "", std::string(6400, 'p'), 40);
  SECTION("stop") {
    engine.signal(SIGTERM);
    CHECK(engine.wait(std::chrono::seconds(15)) == 0);
    CHECK(stream.result().complete);
    CHECK(stream.bodySoFar().find("\"token_count\":" + std::to_string(expected.token_count)) !=
          std::string::npos);
  }
  SECTION("kill") {
    engine.kill();
    CHECK_FALSE(stream.result().complete);
  }
}

TEST_CASE("an engine rejects an invalid control command and applies no part of it", "[integration]") {
  const std::string folder = makeScratchFolder();
  Process engine("standin_engine", {}, folder + "/engine.log");
  const std::string address = addressOf(engine);
  const std::string state_before = get(address, "/v1/engine").body;
  for (const char* body : {"", "[]", R"({"action":"dance"})", R"({"action":"crash","slowdown":0})",
                           R"({"action":"crash","event_gap_probability":"0"})"}) {
    CHECK(testing::post(address, "/control", body).status == 400);
  }
  CHECK(get(address, "/v1/engine").body == state_before);
  CHECK(testing::post(address, "/control", R"({"action":"crash","slowdown":2})").status == 200);
  CHECK(get(address, "/v1/engine").body != state_before);
}

TEST_CASE("a stand-in with invalid flags exits with an error code", "[integration]") {
  const std::string folder = makeScratchFolder();
  std::string output;
  CHECK(runProgram("standin_engine", {"--models=small"}, output) == 2);
  CHECK(runProgram("standin_engine", {"--prefill_tokens_per_second=0"}, output) == 2);
  CHECK(runProgram("standin_engine", {"--role=cook"}, output) == 2);
  CHECK(runProgram("standin_engine", {"--listen=nowhere"}, output) == 3);
  CHECK(runProgram("standin_app_runner", {"--lose_answer_probability=2"}, output) == 2);
  CHECK(runProgram("standin_kv_store", {"--capacity_blocks=0"}, output) == 2);
}

TEST_CASE("a runner counts executions whose responses were lost, also across a crash", "[integration]") {
  const std::string folder = makeScratchFolder();
  Process runner("standin_app_runner", {"--delay_ms=1"}, folder + "/runner.log");
  const std::string address = addressOf(runner);
  const std::string body =
      R"({"request_id":"r1","attempt":1,"tenant":"camp","operation":"booking","idempotency_key":"k","body":"pad 7"})";
  CHECK(testing::post(address, "/v1/execute", body).complete);
  REQUIRE(testing::post(address, "/control", R"({"lose_answers":1})").status == 200);
  CHECK_FALSE(testing::post(address, "/v1/execute", body).complete);
  REQUIRE(testing::post(address, "/control", R"({"action":"crash"})").status == 200);
  const boost::json::value executions = boost::json::parse(get(address, "/v1/executions").body);
  CHECK(executions.at("executions").at(0).at("count").as_int64() == 2);
  CHECK(testing::post(address, "/control", R"({"action":"dance"})").status == 400);
}

}  // namespace
}  // namespace crankspur::testing
