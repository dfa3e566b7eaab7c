#include "router_fixture.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Phase = ClaimRow::Phase;

namespace {

/// Submits an operation. @return its claim call, which is required.
ClaimTableCall submitAndClaim(RouterFixture& fixture,
                              const SubmitRequest& request = RouterFixture::operation()) {
  fixture.submit(request);
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  CHECK_FALSE(fixture.take<DispatchOperation>());  // Not before the claim is granted.
  return *call;
}

/// Submits an operation and grants its claim. @return its dispatch, which is required.
DispatchOperation submitAndGrant(RouterFixture& fixture, std::uint64_t* claim = nullptr) {
  const ClaimTableCall call = submitAndClaim(fixture);
  if (claim != nullptr) *claim = call.claim;
  fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
  const auto dispatch = fixture.take<DispatchOperation>();
  REQUIRE(dispatch);
  return *dispatch;
}

/// Completes the dispatch with the result.
void sendResult(RouterFixture& fixture, DispatchId dispatch, const std::string& result) {
  fixture.backend(dispatch, BackendPiece{0, 1, result});
  fixture.backend(dispatch, BackendEnd{});
}

Refusal takeRefusal(RouterFixture& fixture) {
  const auto refusal = fixture.takeMessage<Refusal>();
  REQUIRE(refusal);
  return *refusal;
}

}  // namespace

TEST_CASE("an operation is claimed, run once, responded to and recorded", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = submitAndGrant(fixture);
  sendResult(fixture, dispatch.dispatch, "ok 17");
  CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
  const auto end = fixture.takeMessage<StreamEnd>();
  REQUIRE(end);
  CHECK(end->checksum == hashBytes("ok 17"));
  CHECK(end->finish_reason == "done");
  const auto record = fixture.take<ClaimTableCall>();
  REQUIRE(record);
  CHECK(record->action.write.phase == Phase::Done);
  CHECK(record->action.write.result == "ok 17");
  CHECK(record->action.expected_version == 1);
  CHECK(fixture.router->inFlight() == 1);  // The record is not written yet.
  fixture.router->onClaimWritten(record->claim, true, fixture.now, 2);
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("a duplicate receives the recorded result and is not run", "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = submitAndClaim(fixture);
  fixture.router->onClaimWritten(call.claim, false, fixture.now);
  const auto read = fixture.take<ClaimTableCall>();
  REQUIRE(read);
  ClaimRow row{Phase::Done, "other", call.action.write.body_hash, "ok 17", 2};
  SECTION("same content") {
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
    CHECK(fixture.takeMessage<StreamEnd>());
  }
  SECTION("different content") {
    row.body_hash = "else";
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    const Refusal refusal = takeRefusal(fixture);
    CHECK(refusal.code == ErrorCode::InvalidRequest);
    CHECK(refusal.run_state == RunState::NotRun);
  }
  SECTION("the other attempt is still in progress") {
    row.phase = Phase::Claimed;
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    while (fixture.router->inFlight() > 0) {
      fixture.advance(milliseconds(250));
      const auto again = fixture.take<ClaimTableCall>();
      if (again) fixture.router->onClaimRead(again->claim, row, fixture.now);
    }
    const Refusal refusal = takeRefusal(fixture);
    CHECK(refusal.code == ErrorCode::DuplicateRequest);
    CHECK(refusal.run_state == RunState::Unknown);
    CHECK(refusal.retry_after > Duration{0});
  }
  CHECK_FALSE(fixture.take<DispatchOperation>());
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("an operation is dispatched to another runner only if it cannot have run", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation first = submitAndGrant(fixture);
  const BackendEvent failure = GENERATE(BackendEvent{BackendLost{false}},
                                        BackendEvent{BackendRefused{ErrorCode::Overloaded, seconds(1)}});
  fixture.backend(first.dispatch, failure);
  const auto second = fixture.take<DispatchOperation>();
  REQUIRE(second);
  CHECK(second->runner_name != first.runner_name);
  SECTION("and is released when no runner remains") {
    fixture.backend(second->dispatch, failure);
    CHECK(takeRefusal(fixture).run_state == RunState::NotRun);
    const auto release = fixture.take<ClaimTableCall>();
    REQUIRE(release);
    CHECK(release->action.write.phase == Phase::Released);
  }
  SECTION("and never once it may have run") {
    fixture.backend(second->dispatch, BackendLost{true});
    CHECK(takeRefusal(fixture).run_state == RunState::Unknown);
    CHECK_FALSE(fixture.take<ClaimTableCall>());
  }
}

TEST_CASE("an operation whose runner was lost is never run again and keeps its claim", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = submitAndGrant(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  // A later report by the driver that nothing was sent is disregarded.
  fixture.backend(dispatch.dispatch, BackendLost{GENERATE(true, false)});
  const Refusal refusal = takeRefusal(fixture);
  CHECK(refusal.code == ErrorCode::EngineLost);
  CHECK(refusal.run_state == RunState::Unknown);
  CHECK_FALSE(fixture.take<DispatchOperation>());
  CHECK_FALSE(fixture.take<ClaimTableCall>());
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("a repeatable operation needs no claim and is repeated", "[router]") {
  RouterFixture fixture;
  fixture.submit(RouterFixture::operation("lookup"));
  const auto first = fixture.take<DispatchOperation>();
  REQUIRE(first);
  fixture.backend(first->dispatch, BackendLost{true});
  const auto second = fixture.take<DispatchOperation>();
  REQUIRE(second);
  sendResult(fixture, first->dispatch, "stale");
  sendResult(fixture, second->dispatch, "seven left");
  CHECK(fixture.takeMessage<StreamPiece>()->text == "seven left");
}

TEST_CASE("while the table is down operations are refused at once as not run", "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = submitAndClaim(fixture);
  fixture.router->onClaimFailed(call.claim, fixture.now);
  while (const auto timer = fixture.router->nextTimer()) {
    fixture.now = std::max(fixture.now, *timer);
    fixture.router->onTimer(fixture.now);
    const auto again = fixture.take<ClaimTableCall>();
    if (again) fixture.router->onClaimFailed(again->claim, fixture.now);
    if (fixture.takeMessage<Refusal>()) break;
  }
  CHECK(fixture.now - TimePoint{seconds(1000)} <= seconds(2));
  int tried = 0;
  for (int i = 0; i < 20; ++i) {
    SubmitRequest next = RouterFixture::operation();
    next.request_id = "n" + std::to_string(i);
    next.idempotency_key = next.request_id;
    fixture.submit(next);
    const auto refusal = fixture.takeMessage<Refusal>();
    if (!refusal) {
      ++tried;
      continue;
    }
    CHECK(refusal->code == ErrorCode::ClaimUnavailable);
    CHECK(refusal->run_state == RunState::NotRun);
    CHECK(refusal->retry_after > Duration{0});
  }
  CHECK(tried <= 1);  // The probe.
  CHECK_FALSE(fixture.take<DispatchOperation>());
}

TEST_CASE("a router that resumes after the deadline releases the claim without a dispatch",
          "[router][claim]") {
  RouterFixture fixture;
  SubmitRequest request = RouterFixture::operation();
  request.deadline = seconds(1);
  const ClaimTableCall call = submitAndClaim(fixture, request);
  fixture.now += seconds(60);
  fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);  // Before any timer fires.
  CHECK_FALSE(fixture.take<DispatchOperation>());
  const Refusal refusal = takeRefusal(fixture);
  CHECK(refusal.code == ErrorCode::DeadlineExceeded);
  CHECK(refusal.run_state == RunState::NotRun);
  const auto release = fixture.take<ClaimTableCall>();
  REQUIRE(release);
  CHECK(release->action.write.phase == Phase::Released);
}

TEST_CASE("an operation whose caller or sidecar disconnected continues until it is recorded",
          "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = submitAndGrant(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  SECTION("cancelled") {
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    CHECK(takeRefusal(fixture).run_state == RunState::Unknown);
  }
  SECTION("sidecar lost") {
    fixture.router->onSidecarLost(1, fixture.now);
  }
  SECTION("deadline passed") {
    fixture.advance(seconds(30));
    const Refusal refusal = takeRefusal(fixture);
    CHECK(refusal.code == ErrorCode::DeadlineExceeded);
    CHECK(refusal.run_state == RunState::Unknown);
  }
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.advance(minutes(1));
  sendResult(fixture, dispatch.dispatch, "ok 17");
  CHECK_FALSE(fixture.takeMessage<StreamEnd>());
  const auto record = fixture.take<ClaimTableCall>();
  REQUIRE(record);
  CHECK(record->action.write.phase == Phase::Done);
}

TEST_CASE("a claimed operation that was not yet sent is cancelled and its claim released on cancel",
          "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = submitAndClaim(fixture);
  SECTION("the claim is pending") {
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
  }
  SECTION("the connect is in progress") {
    fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
    const auto dispatch = fixture.take<DispatchOperation>();
    REQUIRE(dispatch);
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    CHECK(fixture.take<CancelDispatch>()->dispatch == dispatch->dispatch);
  }
  CHECK(takeRefusal(fixture).run_state == RunState::NotRun);
  CHECK_FALSE(fixture.take<DispatchOperation>());
  const auto release = fixture.take<ClaimTableCall>();
  REQUIRE(release);
  CHECK(release->action.write.phase == Phase::Released);
}

TEST_CASE("a resubmitted operation waits for the execution in progress", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = submitAndGrant(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  fixture.router->onSidecarLost(1, fixture.now);
  SubmitRequest again = RouterFixture::operation();
  again.attempt = 2;
  fixture.submit(again, 9);
  CHECK_FALSE(fixture.take<DispatchOperation>());
  sendResult(fixture, dispatch.dispatch, "ok 17");
  CHECK(fixture.takeMessage<StreamEnd>()->attempt == 2);
}
