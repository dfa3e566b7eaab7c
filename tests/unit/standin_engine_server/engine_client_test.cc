#include "engine/engine_client.h"

#include <catch2/catch.hpp>

#include "engine_fixture.h"

namespace crankspur::standin {
namespace {

TEST_CASE("a completion streams the expected text", "[engine]") {
  EngineFixture fixture;
  const DispatchCompletion dispatch = fixture.dispatch("r1");
  EventRecorder recorder;
  const auto stream = fixture.client->complete(dispatch, recorder.handler());
  fixture.runUntil([&] { return recorder.ended(); });
  const ExpectedCompletion expected = expectedCompletion("small", "w1", "", dispatch.request.prompt, 20);
  CHECK(recorder.text == expected.text);
  CHECK(std::get<BackendAccepted>(recorder.events.front()).incarnation == fixture.model.incarnation());
  CHECK(std::get<BackendEnd>(recorder.events.back()).checksum == expected.checksum);
}

TEST_CASE("a refusal reports not_run, an unknown request does not", "[engine]") {
  EngineFixture fixture;
  DispatchCompletion dispatch = fixture.dispatch("r1");
  dispatch.expected_incarnation = 1;
  EventRecorder refused;
  const auto stream = fixture.client->complete(dispatch, refused.handler());
  fixture.runUntil([&] { return refused.ended(); });
  CHECK(std::get<BackendRefused>(refused.events.at(0)).code == ErrorCode::IncarnationMismatch);
  EventRecorder unknown;
  const auto resumed = fixture.client->resume(fixture.address(), {"r9", 1, 0, 0}, unknown.handler());
  fixture.runUntil([&] { return unknown.ended(); });
  CHECK(std::get<BackendLost>(unknown.events.at(0)).bytes_sent);
}

TEST_CASE("an overloaded engine returns a retry delay", "[engine]") {
  EngineTimings timings;
  timings.queue_tokens = 0;
  EngineFixture fixture(timings);
  EventRecorder first, second, third;
  const auto a = fixture.client->complete(fixture.dispatch("r1", 1000), first.handler());
  const auto b = fixture.client->complete(fixture.dispatch("r2", 1000), second.handler());
  const auto c = fixture.client->complete(fixture.dispatch("r3", 1000), third.handler());
  const auto refused = [](const EventRecorder& recorder) {
    return !recorder.events.empty() && std::holds_alternative<BackendRefused>(recorder.events[0]);
  };
  fixture.runUntil([&] { return refused(first) || refused(second) || refused(third); });
  for (const EventRecorder* recorder : {&first, &second, &third}) {
    if (!refused(*recorder)) continue;
    CHECK(std::get<BackendRefused>(recorder->events[0]).code == ErrorCode::Overloaded);
    CHECK(std::get<BackendRefused>(recorder->events[0]).retry_after > Duration{0});
  }
}

TEST_CASE("a failed connect is reported as lost without bytes sent", "[engine]") {
  EngineFixture fixture;
  DispatchCompletion dispatch = fixture.dispatch("r1");
  dispatch.address = "127.0.0.1:1";
  EventRecorder recorder;
  const auto stream = fixture.client->complete(dispatch, recorder.handler());
  fixture.runUntil([&] { return recorder.ended(); });
  CHECK_FALSE(std::get<BackendLost>(recorder.events.at(0)).bytes_sent);
}

TEST_CASE("a crash in mid-stream is reported as lost with bytes sent", "[engine]") {
  EngineFixture fixture;
  EventRecorder recorder;
  const auto stream = fixture.client->complete(fixture.dispatch("r1", 4000), recorder.handler());
  fixture.runUntil([&] { return recorder.events.size() > 5; });
  bool controlled = false;
  http::Request request;
  request.method = "POST";
  request.target = "/control";
  request.body = R"({"action":"crash"})";
  http::ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code, http::SendState, const http::Response&) { controlled = true; };
  fixture.http_client->start(fixture.address(), request, callbacks);
  fixture.runUntil([&] { return recorder.ended() && controlled; });
  CHECK(std::get<BackendLost>(recorder.events.back()).bytes_sent);
  CHECK(fixture.model.records().back().outcome == RunOutcome::Crashed);
}

TEST_CASE("a closed stream has no more events, continues at the engine and can be resumed", "[engine]") {
  EngineFixture fixture;
  const DispatchCompletion dispatch = fixture.dispatch("r1", 100);
  EventRecorder first;
  auto stream = fixture.client->complete(dispatch, first.handler());
  fixture.runUntil([&] { return first.events.size() > 3; });
  stream.reset();
  const std::size_t events = first.events.size();
  const std::string received_text = first.text;
  EventRecorder second;
  const auto resumed = fixture.client->resume(
      fixture.address(), {"r1", 2, fixture.model.incarnation(), received_text.size() / kBytesPerToken},
      second.handler());
  fixture.runUntil([&] { return second.ended(); });
  CHECK(first.events.size() == events);
  CHECK(received_text + second.text ==
        expectedCompletion("small", "w1", "", dispatch.request.prompt, 100).text);
}

TEST_CASE("a cancel ends the run at the engine", "[engine]") {
  EngineFixture fixture;
  EventRecorder recorder;
  const auto stream = fixture.client->complete(fixture.dispatch("r1", 4000), recorder.handler());
  fixture.runUntil([&] { return recorder.events.size() > 2; });
  fixture.client->cancel(fixture.address(), "r1", 1);
  fixture.runUntil([&] { return fixture.model.inFlight() == 0; });
  CHECK(fixture.model.records().back().outcome == RunOutcome::Cancelled);
}

TEST_CASE("description, load, digest and order responses are decoded", "[engine]") {
  EngineFixture fixture;
  int responses = 0;
  fixture.client->fetchInfo(fixture.address(), [&](std::error_code error, const EngineDescription& info) {
    CHECK_FALSE(error);
    CHECK(info.incarnation == fixture.model.incarnation());
    CHECK(info.models.at(0).adapters == std::vector<std::string>{"holiday"});
    ++responses;
  });
  fixture.client->fetchLoad(fixture.address(), [&](std::error_code error, const EngineLoadResponse& load) {
    CHECK_FALSE(error);
    CHECK(load.report.batch_limit == 32);
    ++responses;
  });
  fixture.runUntil([&] { return responses == 2; });
  std::vector<std::error_code> digests;
  const auto on_digest = [&](std::error_code error, const CacheDigestResponse& response) {
    if (error) CHECK(response.retry_after > Duration{0});
    digests.push_back(error);
  };
  fixture.client->fetchDigest(fixture.address(), on_digest);
  fixture.runUntil([&] { return digests.size() == 1; });
  fixture.client->fetchDigest(fixture.address(), on_digest);
  fixture.runUntil([&] { return digests.size() == 2; });
  CHECK_FALSE(digests[0]);
  CHECK(digests[1] == ErrorCode::RateLimited);
  std::vector<std::error_code> orders;
  EngineOrderRequest order;
  order.kind = EngineOrderKind::SetRole;
  order.role = EngineRole::Decode;
  for (const std::uint64_t token : {5, 4}) {
    order.token = token;
    fixture.client->sendOrder(fixture.address(), order,
                              [&](std::error_code error) { orders.push_back(error); });
    fixture.runUntil([&] { return orders.size() == 6 - token; });
  }
  CHECK_FALSE(orders[0]);
  CHECK(orders[1] == ErrorCode::Stale);
  CHECK(fixture.model.info().role == ServingRole::Decode);
}

TEST_CASE("a long poll returns cache events once they are visible", "[engine]") {
  EngineFixture fixture;
  CacheEventsResponse events;
  bool responded = false;
  fixture.client->pollCacheEvents(fixture.address(), 0, std::chrono::seconds(10),
                                  [&](std::error_code error, const CacheEventsResponse& response) {
                                    CHECK_FALSE(error);
                                    events = response;
                                    responded = true;
                                  });
  EventRecorder recorder;
  const auto stream = fixture.client->complete(fixture.dispatch("r1"), recorder.handler());
  fixture.runUntil([&] { return responded; });
  REQUIRE_FALSE(events.events.empty());
  CHECK(events.events[0].sequence == 1);
  CHECK_FALSE(events.events[0].stored.empty());
}

TEST_CASE("a stopping server finishes its streams", "[engine]") {
  EngineFixture fixture;
  EventRecorder recorder;
  const auto stream = fixture.client->complete(fixture.dispatch("r1", 30), recorder.handler());
  fixture.runUntil([&] { return recorder.events.size() > 1; });
  bool idle = false;
  fixture.server.stop([&] { idle = true; });
  fixture.runUntil([&] { return idle && recorder.ended(); });
  CHECK(std::holds_alternative<BackendEnd>(recorder.events.back()));
}

}  // namespace
}  // namespace crankspur::standin
