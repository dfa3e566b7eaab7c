#include <catch2/catch.hpp>

#include "claim/claim_epoch_change.h"
#include "claim/claim_voter.h"
#include "claim/group_claim.h"

using namespace crankspur;
using std::chrono::hours;
using std::chrono::seconds;
using Outcome = GroupClaimOutcome;

namespace {

const TimePoint kStart{seconds(1000)};
constexpr Duration kLifetime = hours(1);

/// Three voters in epoch 1.
struct Group {
  ClaimGroupRow row{1, {{"m0", 1}, {"m1", 1}, {"m2", 1}}, "first", 1};
  std::vector<ClaimVoter> voters;

  explicit Group(Duration covered = kLifetime) {
    for (const ClaimGroupMember& member : row.members) {
      voters.emplace_back(member, kLifetime);
      REQUIRE(voters.back().onInstall({row, covered, Duration{0}, {}}, kStart));
    }
  }
  GroupClaim claim(const std::string& token) const {
    return GroupClaim("key", token, row, kLifetime, kStart + seconds(2));
  }
  /// Requests the votes of the first `count` voters.
  void requestVotes(GroupClaim& claim, std::size_t count = 3, TimePoint now = kStart) {
    for (std::size_t i = 0; i < count; ++i) claim.onReply(voters[i].onPrepare(claim.prepare(), now), now);
  }
  void release(const GroupClaim& claim) {
    for (ClaimVoter& voter : voters) voter.onRelease(claim.release());
  }
};

}  // namespace

TEST_CASE("the first claimant at a majority wins until it releases", "[claim]") {
  Group group;
  GroupClaim first = group.claim("a");
  group.requestVotes(first, 2);
  CHECK(first.outcome() == Outcome::Granted);
  GroupClaim second = group.claim("b");
  group.requestVotes(second);
  CHECK(second.outcome() == Outcome::HeldByOther);
  group.release(second);
  group.release(first);
  GroupClaim third = group.claim("c");
  group.requestVotes(third);
  CHECK(third.outcome() == Outcome::Granted);
  // A late duplicate of the first claimant's message: its token was released.
  CHECK_FALSE(group.voters[0].onPrepare(first.prepare(), kStart).granted);
}

TEST_CASE("a claim without a majority before its deadline is unavailable", "[claim]") {
  Group group;
  GroupClaim claim = group.claim("a");
  group.requestVotes(claim, 1);
  CHECK(claim.unanswered().size() == 2);
  claim.onTimer(kStart + seconds(2));
  CHECK(claim.outcome() == Outcome::Unavailable);
  // The claimant was suspended: votes that it receives after the deadline do not count.
  GroupClaim paused = group.claim("b");
  for (ClaimVoter& voter : group.voters) voter.onRelease(claim.release());
  group.requestVotes(paused, 3, kStart + seconds(3));
  CHECK(paused.outcome() == Outcome::Unavailable);
}

TEST_CASE("a group without coverage of the key lifetime requires the table's grant as well", "[claim]") {
  Group group(Duration{0});
  GroupClaim early = group.claim("a");
  group.requestVotes(early);
  CHECK(early.outcome() == Outcome::GrantedForTable);
  GroupClaim late("other", "b", group.row, kLifetime, kStart + hours(2));
  group.requestVotes(late, 3, kStart + kLifetime);
  CHECK(late.outcome() == Outcome::Granted);
}

TEST_CASE("votes of restarted members and of other epochs do not count", "[claim]") {
  Group group;
  GroupClaim claim = group.claim("a");
  ClaimReply forged = group.voters[0].onPrepare(claim.prepare(), kStart);
  SECTION("another incarnation") {
    forged.voter_incarnation = 2;
  }
  SECTION("another epoch") {
    forged.epoch = 2;
  }
  SECTION("another token") {
    forged.token = "b";
  }
  SECTION("no member") {
    forged.voter = "m9";
  }
  claim.onReply(forged, kStart);
  claim.onReply(group.voters[1].onPrepare(claim.prepare(), kStart), kStart);
  CHECK_FALSE(claim.outcome());
}

TEST_CASE("an epoch change carries all claims that may have been granted", "[claim]") {
  Group group;
  GroupClaim won = group.claim("a");
  group.requestVotes(won, 2);
  ClaimEpochChange change(group.row, {{"m1", 1}, {"m2", 1}, {"m3", 7}}, "x", kLifetime);
  REQUIRE(change.step() == EpochStep::Seal);
  change.onSealed(group.voters[1].onSeal(change.seal(), kStart));
  change.onSealed(group.voters[1].onSeal(change.seal(), kStart));  // A duplicate counts once.
  REQUIRE(change.step() == EpochStep::Seal);
  change.onSealed(group.voters[2].onSeal(change.seal(), kStart));
  REQUIRE(change.step() == EpochStep::WriteClaims);
  REQUIRE(change.carried().size() == 1);
  CHECK(change.carried()[0].token == "a");
  change.claimsWritten();
  change.onRow(group.row);  // The response was lost and the row is unchanged: the swap is retried.
  REQUIRE(change.step() == EpochStep::SwapRow);
  SECTION("another change was first") {
    ClaimGroupRow other = change.newRow();
    other.installer = "y";
    other.row_version = 2;
    change.onRow(other);
    CHECK(change.step() == EpochStep::Lost);
  }
  SECTION("it took effect") {
    ClaimGroupRow own = change.newRow();
    own.row_version = 2;
    change.onRow(own);
    REQUIRE(change.step() == EpochStep::Install);
    ClaimVoter new_voter({"m3", 7}, kLifetime);
    REQUIRE(new_voter.onInstall(change.install(), kStart));
    REQUIRE(group.voters[1].onInstall(change.install(), kStart));
    CHECK_FALSE(group.voters[0].onInstall(change.install(), kStart));  // No longer a member.
    GroupClaim next("key", "b", own, kLifetime, kStart + seconds(2));
    next.onReply(new_voter.onPrepare(next.prepare(), kStart), kStart);
    next.onReply(group.voters[1].onPrepare(next.prepare(), kStart), kStart);
    CHECK(next.outcome() == Outcome::HeldByOther);
    CHECK(new_voter.onPrepare({2, "fresh key", "c"}, kStart).covered == kLifetime);
  }
}

TEST_CASE("a group that lost a majority rejects all keys for the key lifetime", "[claim]") {
  Group group;
  ClaimEpochChange change(group.row, {{"m0", 2}, {"m1", 2}, {"m2", 1}}, "x", kLifetime);
  change.onMemberStopped({"m0", 2});  // Not a member of the old epoch, so ignored.
  change.onMemberStopped({"m0", 1});
  REQUIRE(change.step() == EpochStep::Seal);
  change.onMemberStopped({"m1", 1});
  REQUIRE(change.step() == EpochStep::WriteClaims);
  CHECK(change.install().quarantine == kLifetime);
  CHECK(change.install().covered == Duration{0});
  ClaimVoter voter({"m0", 2}, kLifetime);
  REQUIRE(voter.onInstall(change.install(), kStart));
  const ClaimPrepare prepare{2, "key", "b"};
  CHECK_FALSE(voter.onPrepare(prepare, kStart + kLifetime - seconds(1)).granted);
  CHECK(voter.onPrepare(prepare, kStart + kLifetime).granted);
}
