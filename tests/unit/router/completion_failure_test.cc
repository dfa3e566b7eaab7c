#include "router_fixture.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Checks that the request was refused with `code` and `run_state` and that no work remains.
void checkRefused(RouterFixture& fixture, ErrorCode code, RunState run_state) {
  const auto refusal = fixture.takeMessage<Refusal>();
  REQUIRE(refusal);
  CHECK(refusal->code == code);
  CHECK(refusal->run_state == run_state);
  CHECK(fixture.router->inFlight() == 0);
  CHECK(fixture.admission->in_flight == 0);
}

}  // namespace

TEST_CASE("the refusal at the deadline reports the actual run state at each step", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  RunState expected = RunState::NotRun;
  SECTION("before any byte was sent") {}
  SECTION("bytes were sent, and the acceptance may be lost") {
    fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
    expected = RunState::Unknown;
  }
  SECTION("accepted") {
    fixture.accept(dispatch);
    expected = RunState::Unknown;
  }
  SECTION("text was received") {
    fixture.now += seconds(29);
    fixture.piece(dispatch.dispatch, 0, "abcd");
    expected = RunState::Ran;
  }
  fixture.now = TimePoint{seconds(1000)};
  fixture.advance(seconds(30));
  CHECK(fixture.take<CancelDispatch>()->dispatch == dispatch.dispatch);
  checkRefused(fixture, ErrorCode::DeadlineExceeded, expected);
}

TEST_CASE("a request refused by an engine is dispatched elsewhere, up to the limit of attempts", "[router]") {
  RouterFixture fixture;
  DispatchCompletion dispatch = fixture.submitAndDispatch();
  for (const char* next : {"e1", "e2"}) {
    fixture.backend(dispatch.dispatch, BackendRefused{ErrorCode::IncarnationMismatch, Duration{0}});
    dispatch = *fixture.take<DispatchCompletion>();
    CHECK(dispatch.engine_name == next);
  }
  fixture.backend(dispatch.dispatch, BackendRefused{ErrorCode::Overloaded, seconds(4)});
  CHECK_FALSE(fixture.take<DispatchCompletion>());
  const auto refusal = fixture.takeMessage<Refusal>();
  CHECK(refusal->code == ErrorCode::Overloaded);
  CHECK(refusal->run_state == RunState::NotRun);
  CHECK(refusal->retry_after == seconds(4));
}

TEST_CASE("a request that no engine would accept is refused at once", "[router]") {
  RouterFixture fixture;
  fixture.backend(fixture.submitAndDispatch().dispatch, BackendRefused{ErrorCode::TooLarge, Duration{0}});
  checkRefused(fixture, ErrorCode::TooLarge, RunState::NotRun);
}

TEST_CASE("without retry budget a failed attempt ends at once with a refusal", "[router]") {
  RouterFixture fixture;
  fixture.admission->retries_left = 0;
  const DispatchCompletion dispatch = fixture.submitAndDispatch();
  SECTION("not run") {
    fixture.backend(dispatch.dispatch, BackendRefused{ErrorCode::Overloaded, Duration{0}});
    checkRefused(fixture, ErrorCode::Overloaded, RunState::NotRun);
  }
  SECTION("possibly run") {
    fixture.backend(dispatch.dispatch, BackendLost{true});
    const auto resume = fixture.take<DispatchCompletion>();  // Resuming a stream adds no load.
    REQUIRE(resume->resume);
    fixture.backend(resume->dispatch, BackendLost{true});
    checkRefused(fixture, ErrorCode::Overloaded, RunState::Unknown);
  }
}

TEST_CASE("an interrupted stream is resumed at the same engine, then continued elsewhere", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  fixture.piece(first.dispatch, 0, "abcdefgh");
  fixture.backend(first.dispatch, BackendLost{true});

  const auto resume = fixture.take<DispatchCompletion>();
  REQUIRE(resume);
  CHECK(resume->resume);
  CHECK(resume->engine_name == "e0");
  CHECK(resume->request.resume_offset == 2);
  fixture.piece(first.dispatch, 2, "stale");  // The dispatch has ended.
  fixture.accept(*resume);
  fixture.piece(resume->dispatch, 2, "ijkl");

  SECTION("the engine completes it") {
    fixture.end(resume->dispatch, "abcdefghijkl");
    CHECK(fixture.takeMessage<StreamEnd>()->token_count == 3);
  }
  SECTION("the engine restarts") {
    fixture.fleet.engines[0].incarnation = 11;
    fixture.publish();
    CHECK(fixture.take<CancelDispatch>()->dispatch == resume->dispatch);
    const auto moved = fixture.take<DispatchCompletion>();
    REQUIRE(moved);
    CHECK_FALSE(moved->resume);
    CHECK(moved->expected_weights == "w1");
    CHECK(moved->request.resume_offset == 3);
    CHECK(moved->request.resume_text == "abcdefghijkl");
    fixture.accept(*moved);
    fixture.end(resume->dispatch, "abcdefghijkl");  // Stale.
    CHECK_FALSE(fixture.takeMessage<StreamEnd>());
    fixture.piece(moved->dispatch, 3, "mnop");
    fixture.end(moved->dispatch, "abcdefghijklmnop");
    CHECK(fixture.takeMessage<StreamEnd>()->token_count == 4);
  }
  std::string text;
  while (const auto piece = fixture.takeMessage<StreamPiece>()) text += piece->text;
  CHECK(text.substr(0, 12) == "abcdefghijkl");
  CHECK(text.find("stale") == std::string::npos);
}

TEST_CASE("an engine that does not respond to a resume call is abandoned after a second", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  fixture.piece(first.dispatch, 0, "abcd");
  fixture.backend(first.dispatch, BackendLost{true});
  REQUIRE(fixture.take<DispatchCompletion>()->resume);
  fixture.advance(seconds(1));
  const auto moved = fixture.take<DispatchCompletion>();
  REQUIRE(moved);
  CHECK(moved->engine_name == "e1");
  CHECK(moved->request.resume_text == "abcd");
}

TEST_CASE("a stalled stream is continued at another engine", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  fixture.piece(first.dispatch, 0, "abcd");
  fixture.advance(seconds(3));
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.advance(seconds(1));
  CHECK(fixture.take<CancelDispatch>()->dispatch == first.dispatch);
  CHECK(fixture.take<DispatchCompletion>()->engine_name == "e1");
}

TEST_CASE("text generated with replaced weights is never continued with other weights", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  const bool streamed = GENERATE(true, false);
  if (streamed) fixture.piece(first.dispatch, 0, "abcd");
  for (EngineView& engine : fixture.fleet.engines) engine.models[0].weights_version = "w2";
  fixture.fleet.engines[0].incarnation = 11;
  fixture.publish();
  if (streamed) {
    checkRefused(fixture, ErrorCode::WeightsMismatch, RunState::Ran);
  } else {
    CHECK(fixture.take<DispatchCompletion>()->expected_weights == "w2");
  }
}

TEST_CASE("an engine that violates the protocol is abandoned and none of its output is forwarded",
          "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  SECTION("another incarnation accepts") {
    fixture.backend(first.dispatch, BackendAccepted{99, "w1", 50, 0});
  }
  SECTION("other weights accept") {
    fixture.backend(first.dispatch, BackendAccepted{10, "w0", 50, 0});
  }
  SECTION("a piece leaves a gap") {
    fixture.piece(first.dispatch, 1, "abcd");
  }
  CHECK(fixture.take<CancelDispatch>()->dispatch == first.dispatch);
  CHECK(fixture.take<DispatchCompletion>()->engine_name == "e1");
  CHECK_FALSE(fixture.takeMessage<StreamPiece>());
  CHECK_FALSE(fixture.takeMessage<Accepted>());
}

TEST_CASE("a resubmitted request continues after the text that the caller has", "[router]") {
  RouterFixture fixture;
  SubmitRequest request = RouterFixture::completion(2);
  request.resume_offset = 2;
  request.resume_text = "abcdefgh";
  request.resume_engine = "e1";
  request.resume_incarnation = 10;
  request.resume_weights = "w1";
  SECTION("at the engine that is still running it") {
    const DispatchCompletion resume = fixture.submitAndDispatch(request);
    CHECK(resume.resume);
    CHECK(resume.engine_name == "e1");
    fixture.backend(resume.dispatch, BackendRefused{ErrorCode::EngineLost, Duration{0}});
    CHECK(fixture.take<DispatchCompletion>()->request.resume_offset == 2);
  }
  SECTION("elsewhere when that engine restarted") {
    request.resume_incarnation = 9;
    const DispatchCompletion moved = fixture.submitAndDispatch(request);
    CHECK_FALSE(moved.resume);
    CHECK(moved.request.resume_text == "abcdefgh");
  }
  SECTION("with an explicit error when its weights are no longer loaded") {
    request.resume_weights = "w0";
    request.resume_incarnation = 9;
    fixture.submit(request);
    checkRefused(fixture, ErrorCode::WeightsMismatch, RunState::Ran);
  }
}

TEST_CASE("a newer attempt takes over the work in progress", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  fixture.piece(first.dispatch, 0, "abcdefgh");
  while (fixture.takeMessage<StreamPiece>()) {
  }
  SubmitRequest again = RouterFixture::completion(2);
  again.resume_offset = 1;
  again.resume_text = "abcd";
  again.resume_weights = "w1";
  SECTION("same text so far: only the remaining text is sent, with the new attempt") {
    fixture.submit(again, 7);
    CHECK_FALSE(fixture.take<CancelDispatch>());
    const auto piece = fixture.takeMessage<StreamPiece>();
    CHECK(piece->attempt == 2);
    CHECK(piece->offset == 1);
    CHECK(piece->text == "efgh");
    fixture.router->onSidecarLost(1, fixture.now);  // The previous connection has no effect.
    fixture.end(first.dispatch, "abcdefgh");
    CHECK(fixture.takeMessage<StreamEnd>()->attempt == 2);
  }
  SECTION("different text so far: the work in progress is cancelled") {
    again.resume_text = "wxyz";
    fixture.submit(again, 7);
    CHECK(fixture.take<CancelDispatch>()->dispatch == first.dispatch);
    CHECK(fixture.take<DispatchCompletion>()->request.resume_text == "wxyz");
  }
  SECTION("an older attempt is ignored") {
    fixture.submit(again, 7);
    fixture.submit(RouterFixture::completion(1), 8);
    CHECK_FALSE(fixture.take<CancelDispatch>());
    CHECK_FALSE(fixture.take<DispatchCompletion>());
  }
}

TEST_CASE("an engine that does not accept in time is abandoned", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.router->onDispatchSent(first.dispatch, fixture.now);
  fixture.advance(seconds(2));
  CHECK(fixture.take<CancelDispatch>()->dispatch == first.dispatch);
  CHECK(fixture.take<DispatchCompletion>()->engine_name == "e1");
}

TEST_CASE("streams of an engine considered dead continue while they are active", "[router]") {
  RouterFixture fixture;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.accept(first);
  fixture.fleet.engines[0].state = EngineState::Dead;
  fixture.publish();
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.now += seconds(1);
  fixture.publish();
  CHECK(fixture.take<CancelDispatch>()->dispatch == first.dispatch);
}

TEST_CASE("a request possibly sent to a restarted engine is not reported as not run", "[router]") {
  RouterFixture fixture;
  fixture.bundle->knobs.max_attempts = 1;
  fixture.submitAndDispatch();  // The driver has not yet reported whether bytes were sent.
  fixture.fleet.engines[0].incarnation = 11;
  fixture.publish();
  checkRefused(fixture, ErrorCode::EngineLost, RunState::Unknown);
}

TEST_CASE("retries after attempts without cost to an engine need no retry budget", "[router]") {
  RouterFixture fixture;
  fixture.admission->retries_left = 0;
  const DispatchCompletion first = fixture.submitAndDispatch();
  fixture.backend(first.dispatch, BackendRefused{ErrorCode::Stopping, Duration{0}});
  const auto second = fixture.take<DispatchCompletion>();
  REQUIRE(second);
  fixture.backend(second->dispatch, BackendLost{false});
  const auto third = fixture.take<DispatchCompletion>();
  REQUIRE(third);
  CHECK(fixture.admission->in_flight == 1);
  fixture.backend(third->dispatch, BackendRefused{ErrorCode::Overloaded, Duration{0}});
  checkRefused(fixture, ErrorCode::Overloaded, RunState::NotRun);
}
