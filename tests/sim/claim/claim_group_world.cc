#include "sim/claim/claim_group_world.h"

#include <fmt/format.h>

#include <algorithm>

namespace crankspur::claim_model {

namespace {

const TimePoint kNow{std::chrono::seconds(1000)};
const TimePoint kDeadline = kNow + std::chrono::seconds(2);
const std::string kKey = "key";
const std::string kEarlierToken = "earlier";
/// Lifetime of a key, and the time that a group covers unless it is recent: a recent group does not cover a
/// key.
constexpr Duration kLifetime = std::chrono::minutes(1);

ClaimGroupMember groupMember(const World& world, int member) {
  return {fmt::format("m{}", member), world.members[static_cast<std::size_t>(member)].incarnation};
}

int memberNumber(const ClaimGroupMember& member) {
  return member.address[1] - '0';
}

std::vector<ClaimGroupMember> currentMembers(const World& world) {
  std::vector<ClaimGroupMember> members;
  for (int i = 0; i < kMembers; ++i) members.push_back(groupMember(world, i));
  return members;
}

// ---- digests

struct MessageDigest {
  std::string operator()(const ClaimPrepare& message) const {
    return fmt::format("p{}{}", message.epoch, message.token);
  }
  std::string operator()(const ClaimRelease& message) const {
    return fmt::format("r{}{}", message.epoch, message.token);
  }
  std::string operator()(const ClaimSeal& message) const { return fmt::format("s{}", message.epoch); }
  std::string operator()(const ClaimInstall& message) const {
    return fmt::format("i{}{}{}", message.row.epoch, message.row.installer, votesDigest(message.carried));
  }
  static std::string votesDigest(const std::vector<ClaimVote>& votes) {
    std::string text = "[";
    for (const ClaimVote& vote : votes) {
      text += fmt::format("{},{:d}{:d};", vote.token, vote.released, vote.carried);
    }
    return text + "]";
  }
};

std::string ballotDigest(const ClaimReply& ballot) {
  const ClaimReply& reply = ballot;
  return fmt::format("{}.{}{:d}{}", reply.voter, reply.voter_incarnation, reply.granted, reply.holder);
}

std::string sealedDigest(const ClaimSealed& sealed) {
  return fmt::format("{}.{}{:d}{}", sealed.voter.address, sealed.voter.incarnation, sealed.installed,
                     MessageDigest::votesDigest(sealed.votes));
}

std::string messageDigest(const Envelope& envelope) {
  return fmt::format("{}>{}", envelope.from, envelope.to) + std::visit(MessageDigest{}, envelope.message);
}

// ---- deliveries

/// Delivers one message and counts the response to it.
class Delivery {
public:
  Delivery(World& world, const Scenario& scenario, const Envelope& envelope)
      : world_(world), scenario_(scenario), envelope_(envelope) {}

  void operator()(const ClaimPrepare& prepare) {
    ClaimReply ballot = member().voter.onPrepare(prepare, kNow);
    if (scenario_.removed == RemovedSafeguard::Incarnations) ballot.voter_incarnation = 1;
    ClaimantState& claimant = world_.claimants[static_cast<std::size_t>(envelope_.from)];
    if (claimant.claim->outcome()) return;
    claimant.ballots.insert(ballotDigest(ballot));
    claimant.claim->onReply(ballot, kNow);
  }
  void operator()(const ClaimRelease& release) { member().voter.onRelease(release); }
  void operator()(const ClaimSeal& seal) {
    const ClaimVoter before = member().voter;
    ClaimSealed sealed = member().voter.onSeal(seal, kNow);
    if (scenario_.removed == RemovedSafeguard::Sealing) {
      member().voter = before;
    } else {
      member().sealed = std::max(member().sealed, seal.epoch);
    }
    ChangeState& change = world_.changes[static_cast<std::size_t>(envelope_.from)];
    if (change.change->step() != EpochStep::Seal) return;
    if (scenario_.removed == RemovedSafeguard::Carrying) sealed.votes.clear();
    change.sealing_responses.insert(sealedDigest(sealed));
    change.change->onSealed(sealed);
  }
  void operator()(ClaimInstall install) {
    if (scenario_.removed == RemovedSafeguard::Quarantine) install.quarantine = Duration{0};
    if (member().voter.onInstall(install, kNow)) member().installed = install.row.epoch;
  }

private:
  MemberState& member() { return world_.members[static_cast<std::size_t>(envelope_.to)]; }

  World& world_;
  const Scenario& scenario_;
  Envelope envelope_;
};

// ---- messages without effect

/// Detects messages that need not arrive any more: they would change nothing, or only keep a member from
/// voting or a claimant from being granted its claim. Any message may be lost, so dropping these hides no way
/// to run twice.
class ObsoleteMessage {
public:
  ObsoleteMessage(const World& world, const Scenario& scenario, const Envelope& envelope)
      : world_(world), scenario_(scenario), envelope_(envelope) {}

  bool operator()(const ClaimPrepare& prepare) const {
    const ClaimantState& claimant = world_.claimants[static_cast<std::size_t>(envelope_.from)];
    const bool claim_failed = claimant.claim->outcome() == GroupClaimOutcome::HeldByOther ||
                              claimant.claim->outcome() == GroupClaimOutcome::Unavailable;
    if (claimant.ran || claimant.abandoned || claim_failed) return true;
    return scenario_.removed != RemovedSafeguard::Incarnations &&
           (member().sealed >= prepare.epoch || member().installed > prepare.epoch);
  }
  bool operator()(const ClaimRelease& release) const {
    const std::vector<ClaimVote> votes = member().voter.votes();
    return votes.empty() || votes.front().token != release.token || votes.front().released;
  }
  bool operator()(const ClaimSeal&) const {
    return world_.changes[static_cast<std::size_t>(envelope_.from)].change->step() != EpochStep::Seal;
  }
  bool operator()(const ClaimInstall& install) const {
    const std::uint64_t epoch = install.row.epoch;
    const auto& members = install.row.members;
    const bool is_member =
        std::find(members.begin(), members.end(), groupMember(world_, envelope_.to)) != members.end();
    return !is_member || member().sealed >= epoch || member().installed >= epoch;
  }

private:
  const MemberState& member() const { return world_.members[static_cast<std::size_t>(envelope_.to)]; }

  const World& world_;
  const Scenario& scenario_;
  const Envelope& envelope_;
};

void dropObsoleteMessages(World& world, const Scenario& scenario) {
  const auto obsolete = [&](const Envelope& envelope) {
    return std::visit(ObsoleteMessage(world, scenario, envelope), envelope.message);
  };
  std::vector<Envelope> kept;
  for (const Envelope& envelope : world.in_transit) {
    if (!obsolete(envelope)) kept.push_back(envelope);
  }
  world.in_transit = std::move(kept);
}

// ---- steps

/// Builds the successors of one state.
class SuccessorBuilder {
public:
  SuccessorBuilder(const World& world, const Scenario& scenario) : world_(world), scenario_(scenario) {}

  std::vector<World> build() {
    deliver();
    for (std::size_t i = 0; i < world_.claimants.size(); ++i) claimantSteps(i);
    for (std::size_t i = 0; i < world_.changes.size(); ++i) changeSteps(i);
    if (world_.restarts < scenario_.restarts) restarts();
    for (World& world : next_) dropObsoleteMessages(world, scenario_);
    return std::move(next_);
  }

private:
  World& addSuccessor() { return next_.emplace_back(world_); }

  void deliver() {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < world_.in_transit.size(); ++i) {
      if (!seen.insert(messageDigest(world_.in_transit[i])).second) continue;
      World& after = addSuccessor();
      const Envelope envelope = after.in_transit[i];
      after.in_transit.erase(after.in_transit.begin() + static_cast<std::ptrdiff_t>(i));
      std::visit(Delivery(after, scenario_, envelope), envelope.message);
    }
  }

  void claimantSteps(std::size_t number) {
    const ClaimantState& claimant = world_.claimants[number];
    if (!claimant.claim) {
      // Claimants are interchangeable, so they start in order.
      if (number > 0 && !world_.claimants[number - 1].claim) return;
      const bool starts_later = scenario_.later_claimant && number + 1 == world_.claimants.size();
      if (starts_later && world_.row.epoch == 1) return;
      start(number, world_.row);
      if (world_.row.epoch > 1)
        start(number, initialWorld(scenario_).row);  // It may still have an older row.
      return;
    }
    if (claimant.ran || claimant.abandoned) return;
    if (scenario_.releases) abandon(number);
    const auto outcome = claimant.claim->outcome();
    if (outcome == GroupClaimOutcome::Granted) run(addSuccessor(), number);
    if (outcome == GroupClaimOutcome::GrantedForTable) claimInTable(number);
  }

  void start(std::size_t number, const ClaimGroupRow& row) {
    World& after = addSuccessor();
    const std::string token(1, static_cast<char>('a' + number));
    ClaimantState& claimant = after.claimants[number];
    claimant.claim.emplace(kKey, token, row, kLifetime, kDeadline);
    for (const ClaimGroupMember& member : row.members) {
      after.in_transit.push_back(
          Envelope{static_cast<int>(number), memberNumber(member), claimant.claim->prepare()});
    }
  }

  /// At the deadline, or after any decision if nothing was dispatched, the claim is released.
  void abandon(std::size_t number) {
    World& after = addSuccessor();
    ClaimantState& claimant = after.claimants[number];
    claimant.claim->abandon();
    claimant.abandoned = true;
    for (int member = 0; member < kMembers; ++member) {
      after.in_transit.push_back(Envelope{static_cast<int>(number), member, claimant.claim->release()});
    }
  }

  static void run(World& after, std::size_t number) {
    after.claimants[number].ran = true;
    ++after.runs;
  }

  void claimInTable(std::size_t number) {
    const std::string token(1, static_cast<char>('a' + number));
    World& after = addSuccessor();
    if (scenario_.removed == RemovedSafeguard::Table || !after.claim_row || *after.claim_row == token) {
      after.claim_row = token;
      run(after, number);
    } else {
      after.claimants[number].abandoned = true;
    }
  }

  void changeSteps(std::size_t number) {
    const ChangeState& state = world_.changes[number];
    if (!state.change) return startChange(number);
    switch (state.change->step()) {
      case EpochStep::Seal:
        return reportRemoved(number);
      case EpochStep::WriteClaims:
        return writeClaims(number);
      case EpochStep::SwapRow:
        return swapRow(number);
      case EpochStep::Install:
        return install(number);
      case EpochStep::Lost:
        return;
    }
  }

  void startChange(std::size_t number) {
    World& after = addSuccessor();
    ChangeState& state = after.changes[number];
    state.change.emplace(after.row, currentMembers(after), fmt::format("x{}", number), kLifetime);
    for (const ClaimGroupMember& member : after.row.members) {
      after.in_transit.push_back(
          Envelope{static_cast<int>(number), memberNumber(member), state.change->seal()});
    }
  }

  void reportRemoved(std::size_t number) {
    for (const ClaimGroupMember& member : world_.changes[number].change->row().members) {
      if (groupMember(world_, memberNumber(member)) == member) continue;
      const std::string removed_member = "gone" + member.address;
      if (world_.changes[number].sealing_responses.contains(removed_member)) continue;
      World& after = addSuccessor();
      after.changes[number].sealing_responses.insert(removed_member);
      after.changes[number].change->onMemberStopped(member);
    }
  }

  void writeClaims(std::size_t number) {
    World& after = addSuccessor();
    ClaimEpochChange& change = *after.changes[number].change;
    for (const ClaimVote& vote : change.carried()) {
      if (!after.claim_row) after.claim_row = vote.token;
    }
    change.claimsWritten();
  }

  void swapRow(std::size_t number) {
    const ClaimEpochChange& change = *world_.changes[number].change;
    if (world_.changes[number].row_requested) {
      World& after = addSuccessor();
      after.changes[number].row_requested = false;
      after.changes[number].change->onRow(after.row);
      return;
    }
    const bool version_matches = world_.row.row_version == change.row().row_version;
    World& confirmed = addSuccessor();
    if (version_matches) writeRow(confirmed, change);
    confirmed.changes[number].change->rowSwapped(version_matches);
    if (!version_matches) return;
    World& unconfirmed = addSuccessor();
    writeRow(unconfirmed, change);
    unconfirmed.changes[number].row_requested = true;
  }

  static void writeRow(World& after, const ClaimEpochChange& change) {
    const std::uint64_t version = after.row.row_version + 1;
    after.row = change.newRow();
    after.row.row_version = version;
  }

  void install(std::size_t number) {
    if (world_.changes[number].installed) return;
    World& after = addSuccessor();
    ChangeState& state = after.changes[number];
    state.installed = true;
    for (const ClaimGroupMember& member : state.change->newRow().members) {
      after.in_transit.push_back(
          Envelope{static_cast<int>(number), memberNumber(member), state.change->install()});
    }
  }

  void restarts() {
    for (std::size_t i = 0; i < world_.members.size(); ++i) {
      World& after = addSuccessor();
      ++after.restarts;
      MemberState& member = after.members[i];
      ++member.incarnation;
      member.installed = 0;
      member.sealed = 0;
      member.voter = ClaimVoter(groupMember(after, static_cast<int>(i)), kLifetime);
      if (scenario_.removed != RemovedSafeguard::Incarnations) continue;
      // Without incarnations a restarted member would continue to vote as if it had never voted.
      ClaimInstall installation;
      installation.row = initialWorld(scenario_).row;
      installation.row.members = currentMembers(after);
      installation.covered = kLifetime;
      member.voter.onInstall(installation, kNow);
    }
  }

  const World& world_;
  const Scenario& scenario_;
  std::vector<World> next_;
};

}  // namespace

World initialWorld(const Scenario& scenario) {
  World world;
  for (int i = 0; i < kMembers; ++i) {
    world.members.push_back(MemberState{ClaimVoter({fmt::format("m{}", i), 1}, kLifetime), 1, 1, 0});
  }
  world.row.epoch = 1;
  world.row.members = currentMembers(world);
  world.row.installer = "first";
  world.row.row_version = 1;
  ClaimInstall install;
  install.row = world.row;
  install.covered = scenario.recent_group ? Duration{0} : kLifetime;
  for (MemberState& member : world.members) member.voter.onInstall(install, kNow);
  if (scenario.earlier_claim) {
    world.claim_row = kEarlierToken;
    world.runs = 1;
  }
  world.claimants.resize(static_cast<std::size_t>(scenario.claimants));
  world.changes.resize(static_cast<std::size_t>(scenario.changes));
  return world;
}

std::vector<World> successors(const World& world, const Scenario& scenario) {
  return SuccessorBuilder(world, scenario).build();
}

std::string digest(const World& world) {
  std::string text;
  for (const MemberState& member : world.members) {
    text += fmt::format("m{}.{}.{}{}", member.incarnation, member.installed, member.sealed,
                        MessageDigest::votesDigest(member.voter.votes()));
  }
  text += fmt::format("r{}{}t{}", world.row.epoch, world.row.installer, world.claim_row.value_or("-"));
  for (const ClaimantState& claimant : world.claimants) {
    text += fmt::format("c{:d}{:d}{:d}", claimant.claim.has_value(), claimant.ran, claimant.abandoned);
    if (claimant.claim) text += fmt::format("{}", claimant.claim->prepare().epoch);
    for (const std::string& ballot : claimant.ballots) text += ballot + ",";
  }
  for (const ChangeState& state : world.changes) {
    text += fmt::format("e{:d}{:d}{:d}", state.change.has_value(), state.row_requested, state.installed);
    if (state.change) {
      text += fmt::format("{}{}", state.change->row().row_version, static_cast<int>(state.change->step()));
      for (const ClaimGroupMember& member : state.change->newRow().members) {
        text += fmt::format(".{}", member.incarnation);
      }
    }
    for (const std::string& response : state.sealing_responses) text += response + ",";
  }
  std::vector<std::string> messages;
  for (const Envelope& envelope : world.in_transit) messages.push_back(messageDigest(envelope));
  std::sort(messages.begin(), messages.end());
  for (const std::string& message : messages) text += "|" + message;
  return text;
}

}  // namespace crankspur::claim_model
