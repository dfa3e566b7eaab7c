#include "sim/claim/claim_group_world.h"

#include <fmt/format.h>

#include <algorithm>

namespace crankspur::claim_model {

namespace {

const TimePoint kNow{std::chrono::seconds(1000)};
const TimePoint kDeadline = kNow + std::chrono::seconds(2);
const std::string kKey = "key";
const std::string kEarlierToken = "earlier";
/// Keys' lifetime and coverage are such that a young group does not cover a key and another one does.
constexpr Duration kLifetime = std::chrono::minutes(1);

ClaimGroupMember nameOf(const World& world, int member) {
  return {fmt::format("m{}", member), world.members[static_cast<std::size_t>(member)].incarnation};
}

int numberOf(const ClaimGroupMember& member) {
  return member.address[1] - '0';
}

std::vector<ClaimGroupMember> presentMembers(const World& world) {
  std::vector<ClaimGroupMember> members;
  for (int i = 0; i < kMembers; ++i) members.push_back(nameOf(world, i));
  return members;
}

// ---- digests

struct LetterDigest {
  std::string operator()(const ClaimPrepare& letter) const {
    return fmt::format("p{}{}", letter.epoch, letter.token);
  }
  std::string operator()(const ClaimRelease& letter) const {
    return fmt::format("r{}{}", letter.epoch, letter.token);
  }
  std::string operator()(const ClaimSeal& letter) const { return fmt::format("s{}", letter.epoch); }
  std::string operator()(const ClaimInstall& letter) const {
    return fmt::format("i{}{}{}", letter.row.epoch, letter.row.installer, votesDigest(letter.carried));
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
                     LetterDigest::votesDigest(sealed.votes));
}

std::string letterDigest(const Envelope& envelope) {
  return fmt::format("{}>{}", envelope.from, envelope.to) + std::visit(LetterDigest{}, envelope.letter);
}

// ---- deliveries

/// Delivers one letter and counts its answer.
class Delivery {
public:
  Delivery(World& world, const Scenario& scenario, const Envelope& envelope)
      : world_(world), scenario_(scenario), envelope_(envelope) {}

  void operator()(const ClaimPrepare& prepare) {
    ClaimReply ballot = member().voter.onPrepare(prepare, kNow);
    if (scenario_.without == Without::Incarnations) ballot.voter_incarnation = 1;
    ClaimantState& claimant = world_.claimants[static_cast<std::size_t>(envelope_.from)];
    if (claimant.claim->outcome()) return;
    claimant.ballots.insert(ballotDigest(ballot));
    claimant.claim->onReply(ballot, kNow);
  }
  void operator()(const ClaimRelease& release) { member().voter.onRelease(release); }
  void operator()(const ClaimSeal& seal) {
    const ClaimVoter before = member().voter;
    ClaimSealed sealed = member().voter.onSeal(seal, kNow);
    if (scenario_.without == Without::Sealing) {
      member().voter = before;
    } else {
      member().sealed = std::max(member().sealed, seal.epoch);
    }
    ChangeState& change = world_.changes[static_cast<std::size_t>(envelope_.from)];
    if (change.change->step() != EpochStep::Seal) return;
    if (scenario_.without == Without::Carrying) sealed.votes.clear();
    change.heard.insert(sealedDigest(sealed));
    change.change->onSealed(sealed);
  }
  void operator()(ClaimInstall install) {
    if (scenario_.without == Without::Quarantine) install.quarantine = Duration{0};
    if (member().voter.onInstall(install, kNow)) member().installed = install.row.epoch;
  }

private:
  MemberState& member() { return world_.members[static_cast<std::size_t>(envelope_.to)]; }

  World& world_;
  const Scenario& scenario_;
  Envelope envelope_;
};

// ---- letters without effect

/// Tells letters that need not arrive any more: they would change nothing, or only keep somebody from voting
/// or from winning. Never to arrive is allowed to each letter, so dropping them hides no way to run twice.
class IdleLetter {
public:
  IdleLetter(const World& world, const Scenario& scenario, const Envelope& envelope)
      : world_(world), scenario_(scenario), envelope_(envelope) {}

  bool operator()(const ClaimPrepare& prepare) const {
    const ClaimantState& claimant = world_.claimants[static_cast<std::size_t>(envelope_.from)];
    const bool lost = claimant.claim->outcome() == GroupClaimOutcome::HeldByOther ||
                      claimant.claim->outcome() == GroupClaimOutcome::Unavailable;
    if (claimant.ran || claimant.gave_up || lost) return true;
    return scenario_.without != Without::Incarnations &&
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
    const bool named =
        std::find(members.begin(), members.end(), nameOf(world_, envelope_.to)) != members.end();
    return !named || member().sealed >= epoch || member().installed >= epoch;
  }

private:
  const MemberState& member() const { return world_.members[static_cast<std::size_t>(envelope_.to)]; }

  const World& world_;
  const Scenario& scenario_;
  const Envelope& envelope_;
};

void dropIdleLetters(World& world, const Scenario& scenario) {
  const auto idle = [&](const Envelope& envelope) {
    return std::visit(IdleLetter(world, scenario, envelope), envelope.letter);
  };
  std::vector<Envelope> kept;
  for (const Envelope& envelope : world.mail) {
    if (!idle(envelope)) kept.push_back(envelope);
  }
  world.mail = std::move(kept);
}

// ---- steps

/// Collects the successors of one state.
class Steps {
public:
  Steps(const World& world, const Scenario& scenario) : world_(world), scenario_(scenario) {}

  std::vector<World> all() {
    deliver();
    for (std::size_t i = 0; i < world_.claimants.size(); ++i) claimantSteps(i);
    for (std::size_t i = 0; i < world_.changes.size(); ++i) changeSteps(i);
    if (world_.restarts < scenario_.restarts) restarts();
    for (World& world : next_) dropIdleLetters(world, scenario_);
    return std::move(next_);
  }

private:
  World& add() { return next_.emplace_back(world_); }

  void deliver() {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < world_.mail.size(); ++i) {
      if (!seen.insert(letterDigest(world_.mail[i])).second) continue;
      World& after = add();
      const Envelope envelope = after.mail[i];
      after.mail.erase(after.mail.begin() + static_cast<std::ptrdiff_t>(i));
      std::visit(Delivery(after, scenario_, envelope), envelope.letter);
    }
  }

  void claimantSteps(std::size_t number) {
    const ClaimantState& claimant = world_.claimants[number];
    if (!claimant.claim) {
      // Claimants are alike: the first one starts first.
      if (number > 0 && !world_.claimants[number - 1].claim) return;
      const bool waits = scenario_.later_claimant && number + 1 == world_.claimants.size();
      if (waits && world_.row.epoch == 1) return;
      start(number, world_.row);
      if (world_.row.epoch > 1) start(number, firstWorld(scenario_).row);  // It may know an older row.
      return;
    }
    if (claimant.ran || claimant.gave_up) return;
    if (scenario_.releases) giveUp(number);
    const auto outcome = claimant.claim->outcome();
    if (outcome == GroupClaimOutcome::Granted) run(add(), number);
    if (outcome == GroupClaimOutcome::GrantedForTable) askTable(number);
  }

  void start(std::size_t number, const ClaimGroupRow& row) {
    World& after = add();
    const std::string token(1, static_cast<char>('a' + number));
    ClaimantState& claimant = after.claimants[number];
    claimant.claim.emplace(kKey, token, row, kLifetime, kDeadline);
    for (const ClaimGroupMember& member : row.members) {
      after.mail.push_back(Envelope{static_cast<int>(number), numberOf(member), claimant.claim->prepare()});
    }
  }

  /// At the deadline, or after any decision if nothing was dispatched, the claim is released.
  void giveUp(std::size_t number) {
    World& after = add();
    ClaimantState& claimant = after.claimants[number];
    claimant.claim->abandon();
    claimant.gave_up = true;
    for (int member = 0; member < kMembers; ++member) {
      after.mail.push_back(Envelope{static_cast<int>(number), member, claimant.claim->release()});
    }
  }

  static void run(World& after, std::size_t number) {
    after.claimants[number].ran = true;
    ++after.runs;
  }

  void askTable(std::size_t number) {
    const std::string token(1, static_cast<char>('a' + number));
    World& after = add();
    if (scenario_.without == Without::Table || !after.claim_row || *after.claim_row == token) {
      after.claim_row = token;
      run(after, number);
    } else {
      after.claimants[number].gave_up = true;
    }
  }

  void changeSteps(std::size_t number) {
    const ChangeState& state = world_.changes[number];
    if (!state.change) return startChange(number);
    switch (state.change->step()) {
      case EpochStep::Seal:
        return reportGone(number);
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
    World& after = add();
    ChangeState& state = after.changes[number];
    state.change.emplace(after.row, presentMembers(after), fmt::format("x{}", number), kLifetime);
    for (const ClaimGroupMember& member : after.row.members) {
      after.mail.push_back(Envelope{static_cast<int>(number), numberOf(member), state.change->seal()});
    }
  }

  void reportGone(std::size_t number) {
    for (const ClaimGroupMember& member : world_.changes[number].change->row().members) {
      if (nameOf(world_, numberOf(member)) == member) continue;
      const std::string mark = "gone" + member.address;
      if (world_.changes[number].heard.contains(mark)) continue;
      World& after = add();
      after.changes[number].heard.insert(mark);
      after.changes[number].change->onMemberStopped(member);
    }
  }

  void writeClaims(std::size_t number) {
    World& after = add();
    ClaimEpochChange& change = *after.changes[number].change;
    for (const ClaimVote& vote : change.carried()) {
      if (!after.claim_row) after.claim_row = vote.token;
    }
    change.claimsWritten();
  }

  void swapRow(std::size_t number) {
    const ClaimEpochChange& change = *world_.changes[number].change;
    if (world_.changes[number].row_asked) {
      World& after = add();
      after.changes[number].row_asked = false;
      after.changes[number].change->onRow(after.row);
      return;
    }
    const bool fits = world_.row.row_version == change.row().row_version;
    World& answered = add();
    if (fits) swapIn(answered, change);
    answered.changes[number].change->rowSwapped(fits);
    if (!fits) return;
    World& unanswered = add();
    swapIn(unanswered, change);
    unanswered.changes[number].row_asked = true;
  }

  static void swapIn(World& after, const ClaimEpochChange& change) {
    const std::uint64_t version = after.row.row_version + 1;
    after.row = change.newRow();
    after.row.row_version = version;
  }

  void install(std::size_t number) {
    if (world_.changes[number].installed) return;
    World& after = add();
    ChangeState& state = after.changes[number];
    state.installed = true;
    for (const ClaimGroupMember& member : state.change->newRow().members) {
      after.mail.push_back(Envelope{static_cast<int>(number), numberOf(member), state.change->install()});
    }
  }

  void restarts() {
    for (std::size_t i = 0; i < world_.members.size(); ++i) {
      World& after = add();
      ++after.restarts;
      MemberState& member = after.members[i];
      ++member.incarnation;
      member.installed = 0;
      member.sealed = 0;
      member.voter = ClaimVoter(nameOf(after, static_cast<int>(i)), kLifetime);
      if (scenario_.without != Without::Incarnations) continue;
      // Without incarnations a restarted member would vote on as if it had never voted.
      ClaimInstall again;
      again.row = firstWorld(scenario_).row;
      again.row.members = presentMembers(after);
      again.covered = kLifetime;
      member.voter.onInstall(again, kNow);
    }
  }

  const World& world_;
  const Scenario& scenario_;
  std::vector<World> next_;
};

}  // namespace

World firstWorld(const Scenario& scenario) {
  World world;
  for (int i = 0; i < kMembers; ++i) {
    world.members.push_back(MemberState{ClaimVoter({fmt::format("m{}", i), 1}, kLifetime), 1, 1, 0});
  }
  world.row.epoch = 1;
  world.row.members = presentMembers(world);
  world.row.installer = "first";
  world.row.row_version = 1;
  ClaimInstall install;
  install.row = world.row;
  install.covered = scenario.young ? Duration{0} : kLifetime;
  for (MemberState& member : world.members) member.voter.onInstall(install, kNow);
  if (scenario.claim_before) {
    world.claim_row = kEarlierToken;
    world.runs = 1;
  }
  world.claimants.resize(static_cast<std::size_t>(scenario.claimants));
  world.changes.resize(static_cast<std::size_t>(scenario.changes));
  return world;
}

std::vector<World> successors(const World& world, const Scenario& scenario) {
  return Steps(world, scenario).all();
}

std::string digest(const World& world) {
  std::string text;
  for (const MemberState& member : world.members) {
    text += fmt::format("m{}.{}.{}{}", member.incarnation, member.installed, member.sealed,
                        LetterDigest::votesDigest(member.voter.votes()));
  }
  text += fmt::format("r{}{}t{}", world.row.epoch, world.row.installer, world.claim_row.value_or("-"));
  for (const ClaimantState& claimant : world.claimants) {
    text += fmt::format("c{:d}{:d}{:d}", claimant.claim.has_value(), claimant.ran, claimant.gave_up);
    if (claimant.claim) text += fmt::format("{}", claimant.claim->prepare().epoch);
    for (const std::string& ballot : claimant.ballots) text += ballot + ",";
  }
  for (const ChangeState& state : world.changes) {
    text += fmt::format("e{:d}{:d}{:d}", state.change.has_value(), state.row_asked, state.installed);
    if (state.change) {
      text += fmt::format("{}{}", state.change->row().row_version, static_cast<int>(state.change->step()));
      for (const ClaimGroupMember& member : state.change->newRow().members) {
        text += fmt::format(".{}", member.incarnation);
      }
    }
    for (const std::string& heard : state.heard) text += heard + ",";
  }
  std::vector<std::string> letters;
  for (const Envelope& envelope : world.mail) letters.push_back(letterDigest(envelope));
  std::sort(letters.begin(), letters.end());
  for (const std::string& letter : letters) text += "|" + letter;
  return text;
}

}  // namespace crankspur::claim_model
