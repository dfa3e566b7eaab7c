#include "router_fixture.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Phase = ClaimRow::Phase;

namespace {

/// Submits an order and gives the claim call that must come.
ClaimTableCall claimed(RouterFixture& fixture, const SubmitRequest& request = RouterFixture::operation()) {
  fixture.submit(request);
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  CHECK_FALSE(fixture.take<DispatchOperation>());  // Never before the claim.
  return *call;
}

/// Brings an order to its dispatch.
DispatchOperation granted(RouterFixture& fixture, std::uint64_t* claim = nullptr) {
  const ClaimTableCall call = claimed(fixture);
  if (claim != nullptr) *claim = call.claim;
  fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
  const auto dispatch = fixture.take<DispatchOperation>();
  REQUIRE(dispatch);
  return *dispatch;
}

void finishWith(RouterFixture& fixture, DispatchId dispatch, const std::string& result) {
  fixture.backend(dispatch, BackendPiece{0, 1, result});
  fixture.backend(dispatch, BackendEnd{});
}

Refusal refused(RouterFixture& fixture) {
  const auto refusal = fixture.takeMessage<Refusal>();
  REQUIRE(refusal);
  return *refusal;
}

}  // namespace

TEST_CASE("an order is claimed, run once, answered and recorded", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = granted(fixture);
  finishWith(fixture, dispatch.dispatch, "ok 17");
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
  CHECK(fixture.router->inFlight() == 1);  // Until the record is written.
  fixture.router->onClaimWritten(record->claim, true, fixture.now, 2);
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("a duplicate gets the recorded answer and is not run", "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = claimed(fixture);
  fixture.router->onClaimWritten(call.claim, false, fixture.now);
  const auto read = fixture.take<ClaimTableCall>();
  REQUIRE(read);
  ClaimRow row{Phase::Done, "other", call.action.write.body_hash, "ok 17", 2};
  SECTION("same content") {
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
    CHECK(fixture.takeMessage<StreamEnd>());
  }
  SECTION("other content") {
    row.body_hash = "else";
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    const Refusal refusal = refused(fixture);
    CHECK(refusal.code == ErrorCode::InvalidRequest);
    CHECK(refusal.run_state == RunState::NotRun);
  }
  SECTION("the other attempt has not ended") {
    row.phase = Phase::Claimed;
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    while (fixture.router->inFlight() > 0) {
      fixture.advance(milliseconds(250));
      const auto again = fixture.take<ClaimTableCall>();
      if (again) fixture.router->onClaimRead(again->claim, row, fixture.now);
    }
    const Refusal refusal = refused(fixture);
    CHECK(refusal.code == ErrorCode::DuplicateRequest);
    CHECK(refusal.run_state == RunState::Unknown);
    CHECK(refusal.retry_after > Duration{0});
  }
  CHECK_FALSE(fixture.take<DispatchOperation>());
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("an order moves to another runner only while nothing can have run", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation first = granted(fixture);
  const BackendEvent failure = GENERATE(BackendEvent{BackendLost{false}},
                                        BackendEvent{BackendRefused{ErrorCode::Overloaded, seconds(1)}});
  fixture.backend(first.dispatch, failure);
  const auto second = fixture.take<DispatchOperation>();
  REQUIRE(second);
  CHECK(second->runner_name != first.runner_name);
  SECTION("and is released when no runner is left") {
    fixture.backend(second->dispatch, failure);
    CHECK(refused(fixture).run_state == RunState::NotRun);
    const auto release = fixture.take<ClaimTableCall>();
    REQUIRE(release);
    CHECK(release->action.write.phase == Phase::Released);
  }
  SECTION("and never once one may have run") {
    fixture.backend(second->dispatch, BackendLost{true});
    CHECK(refused(fixture).run_state == RunState::Unknown);
    CHECK_FALSE(fixture.take<ClaimTableCall>());
  }
}

TEST_CASE("an order whose runner was lost is never run again and its claim stands", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = granted(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  // Even a driver that now says nothing was sent is not believed.
  fixture.backend(dispatch.dispatch, BackendLost{GENERATE(true, false)});
  const Refusal refusal = refused(fixture);
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
  finishWith(fixture, first->dispatch, "stale");
  finishWith(fixture, second->dispatch, "seven left");
  CHECK(fixture.takeMessage<StreamPiece>()->text == "seven left");
}

TEST_CASE("while the table is down orders are refused at once as not run", "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = claimed(fixture);
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

TEST_CASE("a router that wakes past the deadline does not dispatch and releases", "[router][claim]") {
  RouterFixture fixture;
  SubmitRequest request = RouterFixture::operation();
  request.deadline = seconds(1);
  const ClaimTableCall call = claimed(fixture, request);
  fixture.now += seconds(60);
  fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);  // Before any timer could fire.
  CHECK_FALSE(fixture.take<DispatchOperation>());
  const Refusal refusal = refused(fixture);
  CHECK(refusal.code == ErrorCode::DeadlineExceeded);
  CHECK(refusal.run_state == RunState::NotRun);
  const auto release = fixture.take<ClaimTableCall>();
  REQUIRE(release);
  CHECK(release->action.write.phase == Phase::Released);
}

TEST_CASE("an order whose caller or sidecar has gone goes on to its record", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = granted(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  SECTION("cancelled") {
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    CHECK(refused(fixture).run_state == RunState::Unknown);
  }
  SECTION("sidecar lost") {
    fixture.router->onSidecarLost(1, fixture.now);
  }
  SECTION("deadline passed") {
    fixture.advance(seconds(30));
    const Refusal refusal = refused(fixture);
    CHECK(refusal.code == ErrorCode::DeadlineExceeded);
    CHECK(refusal.run_state == RunState::Unknown);
  }
  CHECK_FALSE(fixture.take<CancelDispatch>());
  fixture.advance(minutes(1));
  finishWith(fixture, dispatch.dispatch, "ok 17");
  CHECK_FALSE(fixture.takeMessage<StreamEnd>());
  const auto record = fixture.take<ClaimTableCall>();
  REQUIRE(record);
  CHECK(record->action.write.phase == Phase::Done);
}

TEST_CASE("a claimed order that did not leave yet is stopped and released on cancel", "[router][claim]") {
  RouterFixture fixture;
  const ClaimTableCall call = claimed(fixture);
  SECTION("the claim is not decided") {
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
  }
  SECTION("the connect is under way") {
    fixture.router->onClaimWritten(call.claim, true, fixture.now, 1);
    const auto dispatch = fixture.take<DispatchOperation>();
    REQUIRE(dispatch);
    fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
    CHECK(fixture.take<CancelDispatch>()->dispatch == dispatch->dispatch);
  }
  CHECK(refused(fixture).run_state == RunState::NotRun);
  CHECK_FALSE(fixture.take<DispatchOperation>());
  const auto release = fixture.take<ClaimTableCall>();
  REQUIRE(release);
  CHECK(release->action.write.phase == Phase::Released);
}

TEST_CASE("a resubmitted order waits for the one that runs", "[router][claim]") {
  RouterFixture fixture;
  const DispatchOperation dispatch = granted(fixture);
  fixture.router->onDispatchSent(dispatch.dispatch, fixture.now);
  fixture.router->onSidecarLost(1, fixture.now);
  SubmitRequest again = RouterFixture::operation();
  again.attempt = 2;
  fixture.submit(again, 9);
  CHECK_FALSE(fixture.take<DispatchOperation>());
  finishWith(fixture, dispatch.dispatch, "ok 17");
  CHECK(fixture.takeMessage<StreamEnd>()->attempt == 2);
}
