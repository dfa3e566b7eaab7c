#include "claim/claim_group_service.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Kind = GroupClaimDecision::Kind;

namespace {

constexpr Duration kLifetime = minutes(1);

/// Routers that exchange messages without delay, and a table service.
struct Group {
  TimePoint now{seconds(1000)};
  std::map<std::string, std::unique_ptr<ClaimGroupService>> routers;
  std::map<std::string, std::uint64_t> incarnations;
  bool table_up = true;
  ClaimGroupRow row;
  std::map<std::string, ClaimRow> claim_rows;
  std::map<std::uint64_t, GroupClaimDecision> decisions;
  std::uint32_t size = 3;

  explicit Group(std::uint32_t group_size = 3) : size(group_size) {
    for (const char* name : {"a", "b", "c", "d"}) start(name);
  }

  void start(const std::string& name) {
    routers[name] = std::make_unique<ClaimGroupService>(ClaimGroupMember{name, ++incarnations[name]}, 7);
    routers[name]->configure({size, kLifetime}, now);
  }

  void run(Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(100)) {
      std::vector<ClaimGroupCandidate> live;
      for (const auto& [name, router] : routers) live.push_back({name, "zone-" + name});
      std::uint32_t rank = 0;
      for (const auto& [name, router] : routers) {
        router->setRouters(live, rank < 2 ? std::optional(rank) : std::nullopt);
        ++rank;
        router->tick(now);
      }
      deliverAll();
    }
  }

  void deliverAll() {
    for (bool progressed = true; progressed;) {
      progressed = false;
      for (const auto& [name, router] : routers) {
        for (const ClaimGroupAction& action : router->takeActions()) {
          execute(name, action);
          progressed = true;
        }
      }
    }
  }

  void execute(const std::string& name, const ClaimGroupAction& action) {
    ClaimGroupService& router = *routers.at(name);
    if (const auto* send = std::get_if<SendClaimMessage>(&action)) {
      const auto to = routers.find(send->address);
      if (to != routers.end()) to->second->onMessage(send->message, name, now);
    } else if (std::holds_alternative<ReadGroupRow>(action)) {
      router.onRowRead(table_up ? std::optional(row) : std::nullopt, now);
    } else if (const auto* swap = std::get_if<SwapGroupRow>(&action)) {
      const bool committed = table_up && swap->expected_version == row.row_version;
      if (committed) {
        row = swap->row;
        row.row_version = swap->expected_version + 1;
      }
      router.onRowSwapped(table_up ? std::optional(committed) : std::nullopt, now);
    } else if (const auto* put = std::get_if<PutClaimRow>(&action)) {
      ClaimRow& present = claim_rows[put->key];
      if (table_up && present.row_version == put->expected_version) {
        present = put->row;
        present.row_version = put->expected_version + 1;
      }
      router.onClaimPut(put->key, table_up ? std::optional(present) : std::nullopt, now);
    } else if (const auto* decided = std::get_if<GroupClaimDecided>(&action)) {
      decisions[decided->claim] = decided->decision;
    }
  }

  /// Claims the key through the router. @return the decision.
  GroupClaimDecision claim(const std::string& name, const std::string& key,
                           const std::string& body_hash = "hash") {
    const std::uint64_t id = ++next_claim_;
    const std::string token = name + std::to_string(id);
    routers.at(name)->begin({id, key, token, body_hash, now + seconds(4)}, now);
    deliverAll();
    for (int tenths = 0; tenths < 50 && !decisions.contains(id); ++tenths) run(milliseconds(100));
    REQUIRE(decisions.contains(id));
    return decisions.at(id);
  }

  std::vector<std::string> members() const {
    std::vector<std::string> names;
    for (const ClaimGroupMember& member : row.members) names.push_back(member.address);
    return names;
  }
  std::string nonMember() const {
    for (const auto& [name, router] : routers) {
      const std::vector<std::string> member_names = members();
      if (std::find(member_names.begin(), member_names.end(), name) == member_names.end()) return name;
    }
    return {};
  }

private:
  std::uint64_t next_claim_ = 0;
};

}  // namespace

TEST_CASE("a group is created only where the operators configure one", "[claim]") {
  Group configured;
  CHECK(configured.routers.at("a")->inForce());  // Assumed until the table shows that there is none.
  configured.run(seconds(8));
  CHECK(configured.row.epoch == 1);
  CHECK(configured.row.members.size() == 3);
  for (const auto& [name, router] : configured.routers) CHECK(router->status(configured.now).row.epoch == 1);
  Group unconfigured(0);
  unconfigured.run(seconds(8));
  CHECK(unconfigured.row.epoch == 0);
  CHECK_FALSE(unconfigured.routers.at("a")->inForce());
}

TEST_CASE("a claim is granted to one claimant and a duplicate receives the recorded response", "[claim]") {
  Group group;
  group.run(seconds(8));
  CHECK(group.claim(group.nonMember(), "early").kind == Kind::GrantedForTable);
  group.run(minutes(2));
  group.table_up = false;
  group.run(seconds(5));
  const GroupClaimDecision won = group.claim("a", "key");
  CHECK(won.kind == Kind::Granted);
  CHECK(group.claim("b", "key").kind == Kind::HeldByOther);
  CHECK(group.claim("b", "key", "else").kind == Kind::KeyReused);
  group.routers.at("a")->record({"key", won.token, true, true, "ok 17", false}, group.now);
  group.deliverAll();
  const GroupClaimDecision again = group.claim("c", "key");
  CHECK(again.kind == Kind::AlreadyDone);
  CHECK(again.result == "ok 17");
  // A released key can be claimed again.
  const GroupClaimDecision other = group.claim("a", "other");
  group.routers.at("a")->release("other", other.token, group.now);
  group.deliverAll();
  CHECK(group.claim("d", "other").kind == Kind::Granted);
}

TEST_CASE("a restarted member is replaced and all claims are carried into the new epoch and the table",
          "[claim]") {
  Group group;
  group.run(minutes(2));
  group.table_up = false;
  group.run(seconds(5));
  const GroupClaimDecision won = group.claim("a", "key");
  REQUIRE(won.kind == Kind::Granted);
  group.start(group.members()[0]);
  group.run(seconds(10));
  CHECK(group.row.epoch == 1);  // No epoch begins while the table is unavailable.
  CHECK(group.claim("d", "key").kind == Kind::HeldByOther);
  CHECK(group.claim("d", "next").kind == Kind::Granted);  // Two of three members still vote.
  group.table_up = true;
  group.run(seconds(15));
  CHECK(group.row.epoch == 2);
  CHECK(group.claim_rows.at("key").token == won.token);
  CHECK(group.claim("d", "key").kind == Kind::HeldByOther);
  CHECK(group.claim("d", "last").kind == Kind::Granted);  // The coverage is inherited.
}

TEST_CASE("a group whose majority restarted rejects claims until all keys it may have granted have expired",
          "[claim]") {
  Group group;
  group.run(minutes(2));
  const std::vector<std::string> members = group.members();
  group.start(members[0]);
  group.start(members[1]);
  CHECK(group.claim("a", "key").kind == Kind::Unavailable);
  group.run(seconds(20));
  CHECK(group.row.epoch == 2);
  CHECK(group.claim("a", "key").kind == Kind::Unavailable);
  group.run(minutes(2));
  CHECK(group.claim("a", "key").kind == Kind::Granted);
}

TEST_CASE("a router that restarts while the table is down receives the group's row from its peers",
          "[claim]") {
  Group group;
  group.run(minutes(2));
  group.table_up = false;
  const std::string nonMember = group.nonMember();
  group.start(nonMember);
  CHECK(group.routers.at(nonMember)->inForce());
  CHECK(group.claim(nonMember, "key").kind == Kind::Granted);
}

TEST_CASE("a voter at capacity replies with neither a vote nor a holder", "[claim]") {
  ClaimVoter voter({"a", 1}, kLifetime);
  const TimePoint now{seconds(1000)};
  REQUIRE(voter.onInstall({{1, {{"a", 1}}, "first", 1}, kLifetime, Duration{0}, {}}, now));
  for (std::size_t count = 0; count < kMaxClaimVotes; ++count) {
    REQUIRE(voter.onPrepare({1, std::to_string(count), "token"}, now).granted);
  }
  const ClaimReply reply = voter.onPrepare({1, "one more", "token"}, now);
  CHECK_FALSE(reply.granted);
  CHECK(reply.epoch == 0);
  CHECK(voter.onPrepare({1, "7", "token"}, now).granted);
  voter.expire(now + 2 * kLifetime + seconds(1));
  CHECK(voter.onPrepare({1, "one more", "token"}, now + 3 * kLifetime).granted);
}

TEST_CASE("coverage of a longer key lifetime builds up only after the change", "[claim]") {
  ClaimVoter voter({"a", 1}, kLifetime);
  const TimePoint now{seconds(1000)};
  REQUIRE(voter.onInstall({{1, {{"a", 1}}, "first", 1}, Duration{0}, Duration{0}, {}}, now));
  CHECK(voter.covered(now + 10 * kLifetime) == 2 * kLifetime);
  voter.setKeyLifetime(10 * kLifetime, now + 10 * kLifetime);
  CHECK(voter.covered(now + 10 * kLifetime) == 2 * kLifetime);
  CHECK(voter.covered(now + 18 * kLifetime) == 10 * kLifetime);
}

TEST_CASE("more claims than the new members can store are kept in the table only", "[claim]") {
  const ClaimGroupRow row{1, {{"a", 1}, {"b", 1}, {"c", 1}}, "first", 1};
  ClaimEpochChange change(row, row.members, "next", kLifetime);
  for (const char* name : {"a", "b"}) {
    ClaimSealed sealed{1, {name, 1}, true, kLifetime, {}};
    for (std::size_t count = 0; count < kMaxClaimVotes; ++count) {
      sealed.votes.push_back(ClaimVote{name + std::to_string(count), "token"});
    }
    change.onSealed(sealed);
  }
  REQUIRE(change.step() == EpochStep::WriteClaims);
  CHECK(change.carried().size() == 2 * kMaxClaimVotes);
  CHECK(change.install().carried.empty());
  CHECK(change.install().covered == Duration{0});
}
