#include "router_fixture.h"

using namespace crankspur;
using std::chrono::seconds;
using Kind = GroupClaimDecision::Kind;
using Phase = ClaimRow::Phase;

namespace {

/// A router with a claim group.
struct GroupFixture : RouterFixture {
  GroupFixture() {
    fleet.claims_by_group = true;
    publish();
  }
  /// Submits an operation. Nothing may be dispatched or claimed in the table before the group has decided.
  /// @return the request to the group.
  GroupClaimRequest submitOrder() {
    submit(operation());
    const auto call = take<GroupClaimCall>();
    REQUIRE(call);
    CHECK_FALSE(take<DispatchOperation>());
    CHECK_FALSE(take<ClaimTableCall>());
    return call->request;
  }
  void decide(const GroupClaimRequest& request, Kind kind, const std::string& result = {}) {
    router->onGroupClaim(request.claim, {kind, request.token + "#1", result}, now);
  }
  template <typename Notice>
  std::optional<Notice> takeNotice() {
    const auto notice = take<GroupClaimNotice>();
    if (!notice || !std::holds_alternative<Notice>(notice->notice)) return std::nullopt;
    return std::get<Notice>(notice->notice);
  }
  /// Fails table calls until the table is considered unavailable.
  void failTable() {
    for (int count = 0; count < 3; ++count) router->onClaimFailed(999, now);
    // The claim that is permitted as a probe.
    const GroupClaimRequest probe = submitOrder();
    decide(probe, Kind::GrantedForTable);
    REQUIRE(take<ClaimTableCall>());
    router->onCancel(1, Cancel{"q", 1}, now);
    takeMessage<Refusal>();
    takeNotice<ClaimRelease>();
  }
  /// Submits another request with the same idempotency key. @return the request to the group.
  GroupClaimRequest submitSecondOrder() {
    SubmitRequest request = operation();
    request.request_id = "again";
    submit(request);
    const auto call = take<GroupClaimCall>();
    REQUIRE(call);
    return call->request;
  }
};

}  // namespace

TEST_CASE("while the table is available a claim needs the group and the table", "[router][claim]") {
  GroupFixture fixture;
  const GroupClaimRequest request = fixture.submitOrder();
  fixture.decide(request, GENERATE(Kind::Granted, Kind::GrantedForTable));
  CHECK_FALSE(fixture.take<DispatchOperation>());
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  CHECK_FALSE(call->only_without_group);
  CHECK(call->action.write.token == request.token + "#1");
  fixture.router->onClaimWritten(call->claim, true, fixture.now, 1);
  const auto dispatch = fixture.take<DispatchOperation>();
  REQUIRE(dispatch);
  fixture.backend(dispatch->dispatch, BackendPiece{0, 1, "ok 17"});
  fixture.backend(dispatch->dispatch, BackendEnd{});
  const auto record = fixture.takeNotice<ClaimRecord>();
  REQUIRE(record);
  CHECK(record->in_table);
  CHECK(record->result == "ok 17");
}

TEST_CASE("while the table is down the group's grant suffices if the group covers the key",
          "[router][claim]") {
  GroupFixture fixture;
  fixture.failTable();
  const GroupClaimRequest request = fixture.submitSecondOrder();
  SECTION("covered") {
    fixture.decide(request, Kind::Granted);
    CHECK_FALSE(fixture.take<ClaimTableCall>());
    const auto dispatch = fixture.take<DispatchOperation>();
    REQUIRE(dispatch);
    fixture.backend(dispatch->dispatch, BackendPiece{0, 1, "ok 17"});
    fixture.backend(dispatch->dispatch, BackendEnd{});
    const auto record = fixture.takeNotice<ClaimRecord>();
    REQUIRE(record);
    CHECK_FALSE(record->in_table);
    // The record is written when the table responds again.
    std::optional<ClaimTableCall> call;
    for (int second = 0; second < 12 && !call; ++second) {
      fixture.advance(seconds(1));
      call = fixture.take<ClaimTableCall>();
    }
    REQUIRE(call);
    CHECK(call->action.kind == ClaimAction::Kind::Read);
    fixture.router->onClaimRead(call->claim, ClaimRow{}, fixture.now);
    const auto write = fixture.take<ClaimTableCall>();
    REQUIRE(write);
    CHECK(write->action.write.phase == Phase::Done);
    CHECK(write->action.write.result == "ok 17");
    fixture.router->onClaimWritten(write->claim, true, fixture.now, 1);
    const auto stored = fixture.takeNotice<ClaimRecord>();
    REQUIRE(stored);
    CHECK(stored->in_table);
  }
  SECTION("not covered") {
    fixture.decide(request, Kind::GrantedForTable);
    const auto refusal = fixture.takeMessage<Refusal>();
    REQUIRE(refusal);
    CHECK(refusal->code == ErrorCode::ClaimUnavailable);
    CHECK(refusal->run_state == RunState::NotRun);
    CHECK(fixture.takeNotice<ClaimRelease>());
  }
  SECTION("a duplicate") {
    fixture.decide(request, Kind::AlreadyDone, "ok 17");
    CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
  }
  SECTION("decision received after the deadline") {
    fixture.now += seconds(31);
    fixture.decide(request, Kind::Granted);
    CHECK_FALSE(fixture.take<DispatchOperation>());
    CHECK(fixture.takeNotice<ClaimRelease>());
  }
}

TEST_CASE("a claim whose table write receives no response proceeds with the group's grant",
          "[router][claim]") {
  GroupFixture fixture;
  fixture.decide(fixture.submitOrder(), Kind::Granted);
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  fixture.advance(seconds(3));
  const auto dispatch = fixture.take<DispatchOperation>();
  REQUIRE(dispatch);
  // The write was committed late; the record replaces it.
  fixture.router->onClaimWritten(call->claim, true, fixture.now, 4);
  fixture.backend(dispatch->dispatch, BackendPiece{0, 1, "ok 17"});
  fixture.backend(dispatch->dispatch, BackendEnd{});
  const auto write = fixture.take<ClaimTableCall>();
  REQUIRE(write);
  CHECK(write->action.write.phase == Phase::Done);
  CHECK(write->action.expected_version == 4);
}

TEST_CASE("a claim rejected by the table is released at the group", "[router][claim]") {
  GroupFixture fixture;
  const GroupClaimRequest request = fixture.submitOrder();
  fixture.decide(request, Kind::Granted);
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  fixture.router->onClaimWritten(call->claim, false, fixture.now);
  const auto read = fixture.take<ClaimTableCall>();
  REQUIRE(read);
  ClaimRow row{Phase::Done, "other", request.body_hash, "ok 17", 2};
  SECTION("completed by another attempt") {
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
    CHECK(fixture.takeNotice<ClaimRecord>()->result == "ok 17");
  }
  SECTION("different content") {
    row.body_hash = "else";
    fixture.router->onClaimRead(read->claim, row, fixture.now);
    CHECK(fixture.takeMessage<Refusal>()->code == ErrorCode::InvalidRequest);
    CHECK(fixture.takeNotice<ClaimRelease>());
  }
  CHECK_FALSE(fixture.take<DispatchOperation>());
}

TEST_CASE("a claim that the group granted to another attempt is looked up and never written",
          "[router][claim]") {
  GroupFixture fixture;
  const GroupClaimRequest request = fixture.submitOrder();
  fixture.decide(request, Kind::HeldByOther);
  auto read = fixture.take<ClaimTableCall>();
  REQUIRE(read);
  CHECK(read->action.kind == ClaimAction::Kind::Read);
  SECTION("its result is recorded") {
    fixture.router->onClaimRead(read->claim, {Phase::Done, "other", request.body_hash, "ok 17", 2},
                                fixture.now);
    CHECK(fixture.takeMessage<StreamPiece>()->text == "ok 17");
  }
  SECTION("no row exists, or the table does not respond") {
    const bool responds = GENERATE(true, false);
    std::optional<Refusal> refusal;
    while (!(refusal = fixture.takeMessage<Refusal>())) {
      if (read && responds) fixture.router->onClaimRead(read->claim, ClaimRow{}, fixture.now);
      fixture.advance(std::chrono::milliseconds(250));
      read = fixture.take<ClaimTableCall>();
      if (read) CHECK(read->action.kind == ClaimAction::Kind::Read);
    }
    CHECK(refusal->code == ErrorCode::DuplicateRequest);
    CHECK(refusal->run_state == RunState::Unknown);
  }
  CHECK_FALSE(fixture.take<DispatchOperation>());
}

TEST_CASE("a grant received after the request has ended is released", "[router][claim]") {
  GroupFixture fixture;
  const GroupClaimRequest request = fixture.submitOrder();
  fixture.router->onCancel(1, Cancel{"q", 1}, fixture.now);
  CHECK(fixture.takeMessage<Refusal>()->run_state == RunState::NotRun);
  CHECK(fixture.router->inFlight() == 1);
  fixture.decide(request, Kind::Granted);
  const auto release = fixture.takeNotice<ClaimRelease>();
  REQUIRE(release);
  CHECK(release->token == request.token + "#1");
  CHECK(fixture.router->inFlight() == 0);
}

TEST_CASE("without a majority of the group an order is refused as not run", "[router][claim]") {
  GroupFixture fixture;
  fixture.decide(fixture.submitOrder(), Kind::Unavailable);
  const auto refusal = fixture.takeMessage<Refusal>();
  REQUIRE(refusal);
  CHECK(refusal->code == ErrorCode::ClaimUnavailable);
  CHECK(refusal->run_state == RunState::NotRun);
  CHECK_FALSE(fixture.take<ClaimTableCall>());
}

TEST_CASE("a router unaware of the group writes a claim only where there is no group", "[router][claim]") {
  RouterFixture fixture;
  fixture.submit(RouterFixture::operation());
  const auto call = fixture.take<ClaimTableCall>();
  REQUIRE(call);
  CHECK(call->only_without_group);
  fixture.router->onClaimFenced(call->claim, fixture.now);
  fixture.advance(seconds(3));
  CHECK(fixture.takeMessage<Refusal>()->code == ErrorCode::ClaimUnavailable);
  CHECK_FALSE(fixture.take<DispatchOperation>());
}
