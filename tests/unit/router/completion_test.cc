#include "router_fixture.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a completion is streamed in order and ends", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  CHECK(dispatch.engine_name == "e0");
  CHECK(dispatch.expected_incarnation == 10);
  CHECK(dispatch.expected_weights == "w1");
  fixture.accept(dispatch);
  const auto accepted = fixture.takeMessage<Accepted>();
  REQUIRE(accepted);
  CHECK(accepted->engine == "e0");
  CHECK(accepted->weights_version == "w1");
  fixture.piece(dispatch.dispatch, 0, "abcdefgh");
  fixture.piece(dispatch.dispatch, 0, "abcdefgh");  // A duplicate is forwarded once.
  fixture.piece(dispatch.dispatch, 2, "ijkl");
  CHECK(fixture.takeMessage<StreamPiece>()->offset == 0);
  CHECK(fixture.takeMessage<StreamPiece>()->offset == 2);
  CHECK_FALSE(fixture.takeMessage<StreamPiece>());
  fixture.end(dispatch.dispatch, "abcdefghijkl");
  const auto end = fixture.takeMessage<StreamEnd>();
  REQUIRE(end);
  CHECK(end->checksum == hashBytes("abcdefghijkl"));
  CHECK(fixture.router->inFlight() == 0);
  CHECK(fixture.admission->in_flight == 0);
  CHECK(fixture.router->explain("q")->outcome == "done");
  fixture.submit(RouterFixture::completion());  // A delayed duplicate gets no second response.
  CHECK_FALSE(fixture.take<DispatchCompletion>());
}

TEST_CASE("a response whose checksum differs ends with an explicit error", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  fixture.accept(dispatch);
  fixture.piece(dispatch.dispatch, 0, "abcd");
  fixture.end(dispatch.dispatch, "abcX");
  const auto refusal = fixture.takeMessage<Refusal>();
  REQUIRE(refusal);
  CHECK(refusal->code == ErrorCode::EngineLost);
  CHECK(refusal->run_state == RunState::Ran);
  CHECK_FALSE(fixture.takeMessage<StreamEnd>());
}

TEST_CASE("requests that the bundle does not allow are refused as not run", "[router]") {
  struct Case {
    const char* name;
    void (*change)(SubmitRequest&);
    ErrorCode code;
  };
  const Case cases[] = {
      {"tenant", [](SubmitRequest& r) { r.tenant = "nobody"; }, ErrorCode::Unauthorized},
      {"model", [](SubmitRequest& r) { r.model = "x"; }, ErrorCode::UnknownModel},
      {"adapter", [](SubmitRequest& r) { r.adapter = "x"; }, ErrorCode::UnknownModel},
      {"max tokens", [](SubmitRequest& r) { r.max_tokens = 101; }, ErrorCode::InvalidRequest},
      {"not repeatable", [](SubmitRequest& r) { r.repeatable = false; }, ErrorCode::InvalidRequest},
      {"prompt", [](SubmitRequest& r) { r.prompt = std::string(4 * 32768 + 1, 'x'); }, ErrorCode::TooLarge},
      {"resumption", [](SubmitRequest& r) { r.resume_offset = 3; }, ErrorCode::InvalidRequest},
      {"no time", [](SubmitRequest& r) { r.deadline = Duration{0}; }, ErrorCode::DeadlineExceeded},
      {"operation", [](SubmitRequest& r) { r.kind = RequestKind::Application; }, ErrorCode::UnknownModel},
      {"no key", [](SubmitRequest& r) { r = RouterFixture::operation(), r.idempotency_key.clear(); },
       ErrorCode::InvalidRequest},
  };
  for (const Case& test_case : cases) {
    INFO(test_case.name);
    RouterFixture fixture;
    SubmitRequest request = RouterFixture::completion();
    test_case.change(request);
    fixture.submit(request);
    const auto refusal = fixture.takeMessage<Refusal>();
    REQUIRE(refusal);
    CHECK(refusal->code == test_case.code);
    // A resumed request implies that an earlier attempt ran.
    CHECK(refusal->run_state == (request.resume_offset > 0 ? RunState::Ran : RunState::NotRun));
    CHECK_FALSE(fixture.take<DispatchCompletion>());
    CHECK(fixture.router->inFlight() == 0);
  }
}

TEST_CASE("a request waits for a bundle at least as new as its sidecar's, up to a time limit", "[router]") {
  RouterFixture fixture(false);
  fixture.submit(RouterFixture::completion());
  CHECK_FALSE(fixture.take<DispatchCompletion>());
  fixture.advance(milliseconds(300));
  fixture.fleet.bundle = fixture.bundle;
  SECTION("it is received") {
    fixture.publish();
    CHECK(fixture.take<DispatchCompletion>());
  }
  SECTION("no bundle is received") {
    fixture.advance(milliseconds(800));
    CHECK(fixture.takeMessage<Refusal>()->code == ErrorCode::NotReady);
  }
  SECTION("only an older bundle is available") {
    auto older = std::make_shared<Bundle>(*fixture.bundle);
    older->version = 4;
    fixture.fleet.bundle = older;
    fixture.publish();
    fixture.advance(milliseconds(800));
    const auto refusal = fixture.takeMessage<Refusal>();
    CHECK(refusal->code == ErrorCode::StaleBundle);
    CHECK(refusal->run_state == RunState::NotRun);
    CHECK(refusal->retry_after > Duration{0});
  }
}

TEST_CASE("a draining router refuses new requests and completes those in progress", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  fixture.router->drain(fixture.now);
  SubmitRequest other = RouterFixture::completion();
  other.request_id = "other";
  fixture.submit(other);
  CHECK(fixture.takeMessage<Refusal>()->code == ErrorCode::Stopping);
  CHECK(fixture.router->inFlight() == 1);
  fixture.accept(dispatch);
  fixture.piece(dispatch.dispatch, 0, "abcd");
  fixture.end(dispatch.dispatch, "abcd");
  CHECK(fixture.takeMessage<StreamEnd>());
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("a cancel stops the engine's work, also when it arrives before its request", "[router]") {
  RouterFixture fixture;
  fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
  fixture.submit(RouterFixture::completion(1));
  CHECK_FALSE(fixture.take<DispatchCompletion>());
  const DispatchCompletion dispatch = fixture.submitAndDispatch(RouterFixture::completion(2));
  fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);  // For the older attempt: no effect.
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.router->onCancel(1, Cancel{"q", 2}, fixture.now);
  CHECK(fixture.take<CancelDispatch>()->dispatch == dispatch.dispatch);
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("closing a sidecar's connection cancels its repeatable work", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  fixture.router->onSidecarLost(2, fixture.now);
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.router->onSidecarLost(1, fixture.now);
  CHECK(fixture.take<CancelDispatch>()->dispatch == dispatch.dispatch);
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("during a weights rollout requests are distributed over both versions and fall back to any",
          "[router]") {
  RouterFixture fixture;
  auto next = std::make_shared<Bundle>(*fixture.bundle);
  next->models[0].weights_version = "w2";
  fixture.fleet.bundle = next;
  fixture.publish();  // No engine has w2 yet.
  DispatchCompletion dispatch = fixture.submitAndDispatch();
  CHECK(dispatch.expected_weights == "w1");
  fixture.fleet.engines[2].models[0].weights_version = "w2";
  fixture.publish();
  int new_weights = 0;
  for (int i = 0; i < 300; ++i) {
    SubmitRequest request = RouterFixture::completion();
    request.request_id = std::to_string(i);
    request.prompt = std::string(64, static_cast<char>('A' + i % 50)) + std::to_string(i);
    new_weights += fixture.submitAndDispatch(request).expected_weights == "w2";
  }
  CHECK(new_weights > 30);
  CHECK(new_weights < 200);
}
