#include "membership/swim_membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crankspur {

namespace {

constexpr std::size_t kMaximumMembers = 4096;
constexpr std::size_t kMaximumEngines = 8192;
constexpr std::size_t kMaximumMemberNameBytes = 128;
/// Records of one incoming message that are looked at.
constexpr std::size_t kAcceptedRecords = kRecordsPerStateMessage + 32;
/// Members told at once when this node leaves.
constexpr std::size_t kLeaveFanOut = 6;
/// An own probe fails after this many probe timeouts, indirect probes included.
constexpr int kProbeTimeoutsUntilFailure = 3;

bool acceptable(const std::string& name) {
  return !name.empty() && name.size() <= kMaximumMemberNameBytes;
}

}  // namespace

SwimMembership::SwimMembership(MemberRecord self, MembershipOptions options, std::uint64_t random_seed,
                               TimePoint now)
    : self_(std::move(self)),
      options_(options),
      random_(random_seed),
      table_(kMaximumMembers),
      engines_(kMaximumEngines),
      order_(self_.zone, options.own_zone_share),
      next_probe_at_(now),
      next_dead_probe_at_(now),
      next_pull_at_(now) {
  self_.state = MemberState::Alive;
  member_queue_.add(self_.name);
  next_dead_probe_at_ = now + jittered(options_.dead_probe_interval);
}

void SwimMembership::seed(const std::vector<MemberRecord>& machines, TimePoint now) {
  for (const MemberRecord& machine : machines) {
    if (machine.name != self_.name && acceptable(machine.name)) seedOne(machine, now);
  }
}

void SwimMembership::seedOne(const MemberRecord& machine, TimePoint now) {
  const bool leaving = machine.state == MemberState::Leaving;
  const Member* known = table_.find(machine.name);
  if (known == nullptr) {
    MemberRecord record = machine;
    record.incarnation = 0;
    record.bundle_version = 0;
    record.state = leaving ? MemberState::Leaving : MemberState::Alive;
    table_.apply(record, options_.suspicion_timeout, now);
  } else if (leaving && !listed_as_leaving_.contains(machine.name)) {
    MemberRecord record = known->record;
    record.state = MemberState::Leaving;
    absorbMember(record, Source::Gossip, now);
  }
  // The list lags: only the change to leaving counts, or it would mark a restarted process again.
  if (leaving) {
    listed_as_leaving_.insert(machine.name);
  } else {
    listed_as_leaving_.erase(machine.name);
  }
}

void SwimMembership::absorb(const std::vector<MemberRecord>& members,
                            const std::vector<EngineRecord>& engines, Source source, TimePoint now) {
  for (std::size_t index = 0; index < std::min(members.size(), kAcceptedRecords); ++index) {
    absorbMember(members[index], source, now);
  }
  for (std::size_t index = 0; index < std::min(engines.size(), kAcceptedRecords); ++index) {
    const EngineRecord& record = engines[index];
    if (!acceptable(record.name) || !engines_.apply(record)) continue;
    engine_queue_.add(EngineFacts::keyOf(record));
    engine_changes_.push_back(*engines_.find(EngineFacts::keyOf(record)));
  }
}

void SwimMembership::absorbMember(const MemberRecord& record, Source source, TimePoint now) {
  if (!acceptable(record.name)) return;
  if (record.name == self_.name) {
    absorbAboutSelf(record);
    return;
  }
  const Member* held = table_.find(record.name);
  const bool appears =
      record.state != MemberState::Dead && (held == nullptr || held->record.state == MemberState::Dead);
  const bool news = table_.apply(record, options_.suspicion_timeout, now);
  // What whole tables bring is on its way by them; spreading it once more would fill every message for
  // minutes.
  if (news && source == Source::Gossip) member_queue_.add(record.name);
  if (news && (appears || source == Source::State)) noteBehind();
  if (!news && appears && source == Source::State) noteContested(record);
}

void SwimMembership::absorbAboutSelf(const MemberRecord& record) {
  if (!supersedes(record, self_)) return;
  if (record.state == MemberState::Leaving && record.incarnation == self_.incarnation) {
    const MemberState previous = self_.state;
    self_.state = MemberState::Leaving;
    self_changes_.push_back({self_, previous});
    member_queue_.add(self_.name);
    return;
  }
  raiseIncarnation(record.incarnation);
}

void SwimMembership::raiseIncarnation(std::uint64_t above) {
  self_.incarnation = above + 1;
  member_queue_.add(self_.name);
}

void SwimMembership::onPing(const Ping& ping, const std::string& from_address, TimePoint now) {
  if (ping.sender == self_.name) return;
  absorb(ping.members, ping.engines, Source::Gossip, now);
  table_.noteBundleVersion(ping.sender, ping.bundle_version);
  const Member* sender = table_.find(ping.sender);
  const bool has_address = sender != nullptr && !sender->record.address.empty();
  const std::string address = has_address ? sender->record.address : from_address;
  if (ping.target.empty()) {
    answerStateRequest(ping, address, now);
  } else if (ping.target == self_.name) {
    sendAck(ping.sender, address, ping.sequence);
  } else {
    relayProbe(ping, address, now);
  }
}

void SwimMembership::onAck(const PingAck& ack, TimePoint now) {
  const auto found = probes_.find(ack.sequence);
  const bool awaited = found != probes_.end() && found->second.target == ack.sender;
  const Probe probe = awaited ? found->second : Probe{};
  const bool state = ack.sequence == 0 || probe.purpose != Purpose::Liveness;
  const Member* sender = table_.find(ack.sender);
  const bool was_dead = sender != nullptr && sender->record.state == MemberState::Dead;
  absorb(ack.members, ack.engines, state ? Source::State : Source::Gossip, now);
  table_.noteBundleVersion(ack.sender, ack.bundle_version);
  if (!awaited) return;
  probes_.erase(found);
  if (probe.purpose == Purpose::Join) joined_ = true;
  if (probe.purpose == Purpose::Pull) onPullAnswered();
  if (!probe.requester.empty()) relayAck(probe, ack);
  // The other side of a cut: what it knows is asked for at once.
  if (was_dead && probe.requester.empty()) startProbe(ack.sender, Purpose::Pull, now);
}

void SwimMembership::onTimer(TimePoint now) {
  forgivePause(now);
  checkProbes(now);
  checkSuspicions(now);
  sendDirectFacts(now);
  if (now >= next_probe_at_) {
    probeNext(now);
    probeContested(now);
    const Duration interval =
        joined_ ? options_.probe_interval : std::min(options_.probe_interval, options_.join_interval);
    next_probe_at_ = now + jittered(interval);
  }
  if (now >= next_pull_at_) pullState(now);
  if (now >= next_dead_probe_at_) {
    probeDead(now);
    next_dead_probe_at_ = now + jittered(options_.dead_probe_interval);
    table_.forgetDead(options_.dead_retention, now);
  }
}

TimePoint SwimMembership::nextTimer() const {
  TimePoint next = std::min({next_probe_at_, next_dead_probe_at_, next_pull_at_});
  for (const auto& [sequence, probe] : probes_) {
    next = std::min(next, probe.asked_others ? probe.fails_at : probe.ask_others_at);
  }
  if (const auto deadline = table_.nextSuspicionDeadline()) next = std::min(next, *deadline);
  return std::min(next, direct_facts_.nextTimer());
}

void SwimMembership::forgivePause(TimePoint now) {
  const Duration late = now - next_probe_at_;
  if (late < options_.probe_interval * 2) return;
  // This process was paused: its peers had no chance to answer, so nothing may be concluded.
  probes_.clear();
  table_.delaySuspicions(late);
}

void SwimMembership::probeNext(TimePoint now) {
  const std::optional<std::string> target = order_.next(table_, random_);
  if (target) startProbe(*target, joined_ ? Purpose::Liveness : Purpose::Join, now);
}

void SwimMembership::probeDead(TimePoint now) {
  const std::optional<std::string> target = ProbeOrder::drawDead(table_, random_);
  if (target) startProbe(*target, Purpose::Liveness, now);
}

void SwimMembership::startProbe(const std::string& target, Purpose purpose, TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  Probe probe;
  probe.target = target;
  probe.purpose = purpose;
  probe.asked_others = purpose != Purpose::Liveness;
  probe.ask_others_at = now + options_.probe_timeout;
  probe.fails_at = now + options_.probe_timeout * kProbeTimeoutsUntilFailure;
  probes_[sequence] = probe;
  sendPing(target, purpose == Purpose::Liveness ? target : std::string(), sequence, purpose == Purpose::Pull);
}

void SwimMembership::relayProbe(const Ping& ping, const std::string& from_address, TimePoint now) {
  if (table_.find(ping.target) == nullptr) return;
  const std::uint64_t sequence = next_sequence_++;
  Probe probe;
  probe.target = ping.target;
  probe.asked_others = true;
  probe.fails_at = now + options_.probe_timeout * kProbeTimeoutsUntilFailure;
  probe.requester = ping.sender;
  probe.requester_address = from_address;
  probe.requester_sequence = ping.sequence;
  probes_[sequence] = probe;
  sendPing(ping.target, ping.target, sequence);
}

void SwimMembership::checkProbes(TimePoint now) {
  std::vector<Probe> failed;
  for (auto entry = probes_.begin(); entry != probes_.end();) {
    Probe& probe = entry->second;
    if (now >= probe.fails_at) {
      failed.push_back(probe);
      entry = probes_.erase(entry);
      continue;
    }
    if (!probe.asked_others && now >= probe.ask_others_at) askOthers(entry->first, probe);
    ++entry;
  }
  for (const Probe& probe : failed) failProbe(probe, now);
}

void SwimMembership::askOthers(std::uint64_t sequence, Probe& probe) {
  probe.asked_others = true;
  const Member* target = table_.find(probe.target);
  if (target == nullptr || target->record.state == MemberState::Dead) return;
  const auto helpers = ProbeOrder::draw(table_, probe.target, options_.indirect_probes, random_);
  for (const std::string& helper : helpers) sendPing(helper, probe.target, sequence);
}

void SwimMembership::failProbe(const Probe& probe, TimePoint now) {
  if (!probe.requester.empty() || probe.purpose != Purpose::Liveness) return;
  const Member* target = table_.find(probe.target);
  if (target == nullptr) return;
  if (target->record.state == MemberState::Alive) {
    MemberRecord suspected = target->record;
    suspected.state = MemberState::Suspect;
    absorbMember(suspected, Source::Gossip, now);
  } else if (target->record.state == MemberState::Leaving) {
    table_.startSuspicion(probe.target, options_.suspicion_timeout, now);
  }
}

void SwimMembership::checkSuspicions(TimePoint now) {
  for (const std::string& name : table_.expiredSuspicions(now)) {
    MemberRecord dead = table_.find(name)->record;
    dead.state = MemberState::Dead;
    absorbMember(dead, Source::Gossip, now);
  }
}

void SwimMembership::setTimings(Duration probe_interval, Duration suspicion_timeout) {
  options_.probe_interval = probe_interval;
  options_.suspicion_timeout = suspicion_timeout;
}

void SwimMembership::leave(TimePoint) {
  if (self_.state == MemberState::Leaving) return;
  const MemberState previous = self_.state;
  self_.state = MemberState::Leaving;
  self_changes_.push_back({self_, previous});
  member_queue_.add(self_.name);
  const auto receivers = ProbeOrder::draw(table_, self_.name, kLeaveFanOut, random_);
  for (const std::string& receiver : receivers) sendPing(receiver, receiver, next_sequence_++);
}

void SwimMembership::setBundleVersion(std::uint64_t version) {
  self_.bundle_version = version;
}

void SwimMembership::announceEngine(const EngineRecord& record, TimePoint) {
  // Also when it was announced before: the messages that carried it may all have been lost.
  engines_.apply(record);
  engine_queue_.add(EngineFacts::keyOf(record));
}

void SwimMembership::announceEngineAtOnce(const EngineRecord& record, TimePoint now) {
  announceEngine(record, now);
  direct_facts_.add(record);
  sendDirectFacts(now);
}

void SwimMembership::sendDirectFacts(TimePoint now) {
  if (!direct_facts_.isDue(now)) return;
  const std::vector<MemberRecord> receivers = DirectFacts::receivers(table_, self_.region, random_);
  PingAck message;
  message.sender = self_.name;
  message.bundle_version = self_.bundle_version;
  message.engines = direct_facts_.take(receivers.size(), now);
  for (const MemberRecord& receiver : receivers) send(receiver.name, receiver.address, message);
}

template <typename GossipMessage>
void SwimMembership::attachRecords(GossipMessage& message, const std::string& receiver) {
  message.sender = self_.name;
  message.bundle_version = self_.bundle_version;
  message.members.push_back(self_);
  const Member* member = table_.find(receiver);
  const bool can_refute = member != nullptr && member->record.state != MemberState::Alive;
  if (can_refute) message.members.push_back(member->record);
  const std::uint32_t limit = spreadLimit();
  for (const std::string& name : member_queue_.take(options_.records_per_message, limit)) {
    const Member* spread = table_.find(name);
    if (spread != nullptr && name != receiver) message.members.push_back(spread->record);
  }
  for (const std::string& key : engine_queue_.take(options_.records_per_message, limit)) {
    const EngineRecord* fact = engines_.find(key);
    if (fact != nullptr) message.engines.push_back(*fact);
  }
}

void SwimMembership::sendPing(const std::string& receiver, const std::string& target, std::uint64_t sequence,
                              bool with_fingerprints) {
  Ping ping;
  ping.sequence = sequence;
  ping.target = target;
  if (with_fingerprints) ping.fingerprints = liveFingerprints(table_, self_);
  attachRecords(ping, receiver);
  const Member* member = table_.find(receiver);
  send(receiver, member->record.address, std::move(ping));
}

void SwimMembership::sendAck(const std::string& receiver, const std::string& address,
                             std::uint64_t sequence) {
  PingAck ack;
  ack.sequence = sequence;
  attachRecords(ack, receiver);
  send(receiver, address, std::move(ack));
}

void SwimMembership::relayAck(const Probe& probe, const PingAck& ack) {
  PingAck relayed = ack;
  relayed.sequence = probe.requester_sequence;
  send(probe.requester, probe.requester_address, std::move(relayed));
}

void SwimMembership::send(const std::string& member, const std::string& address,
                          std::variant<Ping, PingAck> message) {
  outgoing_.push_back({address, member, std::move(message)});
}

Duration SwimMembership::jittered(Duration mean) {
  const double factor = 0.8 + 0.4 * random_.unit();
  return Duration(static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor));
}

std::uint32_t SwimMembership::spreadLimit() const {
  const double members = static_cast<double>(table_.liveCount() + 1);
  const auto rounds = static_cast<std::uint32_t>(std::ceil(std::log2(members + 1)));
  return options_.spread_factor * std::max<std::uint32_t>(rounds, 1);
}

std::vector<OutgoingGossip> SwimMembership::takeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::vector<MembershipChange> SwimMembership::takeChanges() {
  std::vector<MembershipChange> changes = table_.takeChanges();
  changes.insert(changes.end(), self_changes_.begin(), self_changes_.end());
  self_changes_.clear();
  return changes;
}

std::vector<EngineRecord> SwimMembership::takeEngineChanges() {
  return std::exchange(engine_changes_, {});
}

std::vector<MemberRecord> SwimMembership::liveMembers() const {
  std::vector<MemberRecord> members;
  members.reserve(table_.liveCount() + 1);
  for (const auto& [name, member] : table_.members()) {
    if (member.record.state != MemberState::Dead) members.push_back(member.record);
  }
  const auto by_name = [](const MemberRecord& left, const MemberRecord& right) {
    return left.name < right.name;
  };
  members.insert(std::upper_bound(members.begin(), members.end(), self_, by_name), self_);
  return members;
}

MemberRecord SwimMembership::newestBundleHolder() const {
  const MemberRecord* newest = &self_;
  for (const auto& [name, member] : table_.members()) {
    const bool live = member.record.state != MemberState::Dead;
    if (live && member.record.bundle_version > newest->bundle_version) newest = &member.record;
  }
  return newest->bundle_version > 0 ? *newest : MemberRecord{};
}

std::unique_ptr<Membership> makeMembership(MemberRecord self, MembershipOptions options,
                                           std::uint64_t random_seed, TimePoint now) {
  return std::make_unique<SwimMembership>(std::move(self), options, random_seed, now);
}

}  // namespace crankspur
