#include "membership/swim_membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crankspur {

namespace {

constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxEngines = 8192;
constexpr std::size_t kMaxMemberNameBytes = 128;
/// Maximum number of records processed per incoming message.
constexpr std::size_t kMaxRecordsPerMessage = kRecordsPerStateMessage + 32;
/// Number of members notified immediately when this node leaves.
constexpr std::size_t kLeaveFanOut = 6;
/// A probe fails after this many probe timeouts, including its indirect probes.
constexpr int kProbeTimeoutsUntilFailure = 3;

bool isValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxMemberNameBytes;
}

}  // namespace

SwimMembership::SwimMembership(MemberRecord self, MembershipOptions options, std::uint64_t random_seed,
                               TimePoint now)
    : self_(std::move(self)),
      options_(options),
      random_(random_seed),
      table_(kMaxMembers),
      engines_(kMaxEngines),
      probe_order_(self_.zone, options.own_zone_share),
      next_probe_at_(now),
      next_dead_probe_at_(now),
      next_pull_at_(now) {
  self_.state = MemberState::Alive;
  member_queue_.add(self_.name);
  next_dead_probe_at_ = now + jittered(options_.dead_probe_interval);
}

void SwimMembership::seed(const std::vector<MemberRecord>& machines, TimePoint now) {
  for (const MemberRecord& machine : machines) {
    if (machine.name != self_.name && isValidName(machine.name)) seedMachine(machine, now);
  }
}

void SwimMembership::seedMachine(const MemberRecord& machine, TimePoint now) {
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
    mergeMember(record, Source::Gossip, now);
  }
  // The list lags: only the transition to leaving is applied, otherwise a restarted process would be marked
  // again.
  if (leaving) {
    listed_as_leaving_.insert(machine.name);
  } else {
    listed_as_leaving_.erase(machine.name);
  }
}

void SwimMembership::merge(const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines,
                           Source source, TimePoint now) {
  for (std::size_t index = 0; index < std::min(members.size(), kMaxRecordsPerMessage); ++index) {
    mergeMember(members[index], source, now);
  }
  for (std::size_t index = 0; index < std::min(engines.size(), kMaxRecordsPerMessage); ++index) {
    const EngineRecord& record = engines[index];
    if (!isValidName(record.name) || !engines_.apply(record)) continue;
    engine_queue_.add(EngineRecordTable::keyOf(record));
    engine_changes_.push_back(*engines_.find(EngineRecordTable::keyOf(record)));
  }
}

void SwimMembership::mergeMember(const MemberRecord& record, Source source, TimePoint now) {
  if (!isValidName(record.name)) return;
  if (record.name == self_.name) {
    mergeSelf(record);
    return;
  }
  const Member* held = table_.find(record.name);
  const bool becomes_live =
      record.state != MemberState::Dead && (held == nullptr || held->record.state == MemberState::Dead);
  const bool changed = table_.apply(record, options_.suspicion_timeout, now);
  // Records from complete tables reach other members by the same exchange; gossiping them as well would fill
  // all messages for minutes.
  if (changed && source == Source::Gossip) member_queue_.add(record.name);
  if (changed && (becomes_live || source == Source::State)) markBehind();
  if (!changed && becomes_live && source == Source::State) recordContested(record);
}

void SwimMembership::mergeSelf(const MemberRecord& record) {
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
  merge(ping.members, ping.engines, Source::Gossip, now);
  table_.recordBundleVersion(ping.sender, ping.bundle_version);
  const Member* sender = table_.find(ping.sender);
  const bool has_address = sender != nullptr && !sender->record.address.empty();
  const std::string address = has_address ? sender->record.address : from_address;
  if (ping.target.empty()) {
    respondToStateRequest(ping, address, now);
  } else if (ping.target == self_.name) {
    sendAck(ping.sender, address, ping.sequence);
  } else {
    relayProbe(ping, address, now);
  }
}

void SwimMembership::onAck(const PingAck& ack, TimePoint now) {
  const auto found = probes_.find(ack.sequence);
  const bool expected = found != probes_.end() && found->second.target == ack.sender;
  const Probe probe = expected ? found->second : Probe{};
  const bool state = ack.sequence == 0 || probe.purpose != Purpose::Liveness;
  const Member* sender = table_.find(ack.sender);
  const bool was_dead = sender != nullptr && sender->record.state == MemberState::Dead;
  merge(ack.members, ack.engines, state ? Source::State : Source::Gossip, now);
  table_.recordBundleVersion(ack.sender, ack.bundle_version);
  if (!expected) return;
  probes_.erase(found);
  if (probe.purpose == Purpose::Join) joined_ = true;
  if (probe.purpose == Purpose::Pull) onPullResponse();
  if (!probe.requester.empty()) relayAck(probe, ack);
  // A Dead member that responds is on the other side of a healed partition: its state is pulled immediately.
  if (was_dead && probe.requester.empty()) startProbe(ack.sender, Purpose::Pull, now);
}

void SwimMembership::onTimer(TimePoint now) {
  handleSuspension(now);
  checkProbes(now);
  checkSuspicions(now);
  sendDirectBroadcast(now);
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
    table_.removeDead(options_.dead_retention, now);
  }
}

TimePoint SwimMembership::nextTimer() const {
  TimePoint next = std::min({next_probe_at_, next_dead_probe_at_, next_pull_at_});
  for (const auto& [sequence, probe] : probes_) {
    next = std::min(next, probe.indirect_probes_sent ? probe.fails_at : probe.indirect_probes_at);
  }
  if (const auto deadline = table_.nextSuspicionDeadline()) next = std::min(next, *deadline);
  return std::min(next, direct_broadcast_.nextTimer());
}

void SwimMembership::handleSuspension(TimePoint now) {
  const Duration overdue = now - next_probe_at_;
  if (overdue < options_.probe_interval * 2) return;
  // This process was suspended and could not process responses: its probes and suspicions prove nothing.
  probes_.clear();
  table_.delaySuspicions(overdue);
}

void SwimMembership::probeNext(TimePoint now) {
  const std::optional<std::string> target = probe_order_.next(table_, random_);
  if (target) startProbe(*target, joined_ ? Purpose::Liveness : Purpose::Join, now);
}

void SwimMembership::probeDead(TimePoint now) {
  const std::optional<std::string> target = ProbeOrder::sampleDead(table_, random_);
  if (target) startProbe(*target, Purpose::Liveness, now);
}

void SwimMembership::startProbe(const std::string& target, Purpose purpose, TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  Probe probe;
  probe.target = target;
  probe.purpose = purpose;
  probe.indirect_probes_sent = purpose != Purpose::Liveness;
  probe.indirect_probes_at = now + options_.probe_timeout;
  probe.fails_at = now + options_.probe_timeout * kProbeTimeoutsUntilFailure;
  probes_[sequence] = probe;
  sendPing(target, purpose == Purpose::Liveness ? target : std::string(), sequence, purpose == Purpose::Pull);
}

void SwimMembership::relayProbe(const Ping& ping, const std::string& from_address, TimePoint now) {
  if (table_.find(ping.target) == nullptr) return;
  const std::uint64_t sequence = next_sequence_++;
  Probe probe;
  probe.target = ping.target;
  probe.indirect_probes_sent = true;
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
    if (!probe.indirect_probes_sent && now >= probe.indirect_probes_at)
      sendIndirectProbes(entry->first, probe);
    ++entry;
  }
  for (const Probe& probe : failed) failProbe(probe, now);
}

void SwimMembership::sendIndirectProbes(std::uint64_t sequence, Probe& probe) {
  probe.indirect_probes_sent = true;
  const Member* target = table_.find(probe.target);
  if (target == nullptr || target->record.state == MemberState::Dead) return;
  const auto helpers = ProbeOrder::sample(table_, probe.target, options_.indirect_probes, random_);
  for (const std::string& helper : helpers) sendPing(helper, probe.target, sequence);
}

void SwimMembership::failProbe(const Probe& probe, TimePoint now) {
  if (!probe.requester.empty() || probe.purpose != Purpose::Liveness) return;
  const Member* target = table_.find(probe.target);
  if (target == nullptr) return;
  if (target->record.state == MemberState::Alive) {
    MemberRecord suspected = target->record;
    suspected.state = MemberState::Suspect;
    mergeMember(suspected, Source::Gossip, now);
  } else if (target->record.state == MemberState::Leaving) {
    table_.startSuspicion(probe.target, options_.suspicion_timeout, now);
  }
}

void SwimMembership::checkSuspicions(TimePoint now) {
  for (const std::string& name : table_.expiredSuspicions(now)) {
    MemberRecord dead = table_.find(name)->record;
    dead.state = MemberState::Dead;
    mergeMember(dead, Source::Gossip, now);
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
  const auto receivers = ProbeOrder::sample(table_, self_.name, kLeaveFanOut, random_);
  for (const std::string& receiver : receivers) sendPing(receiver, receiver, next_sequence_++);
}

void SwimMembership::setBundleVersion(std::uint64_t version) {
  self_.bundle_version = version;
}

void SwimMembership::announceEngine(const EngineRecord& record, TimePoint) {
  // Repeated announcements are queued again, since all messages that carried the record may have been lost.
  engines_.apply(record);
  engine_queue_.add(EngineRecordTable::keyOf(record));
}

void SwimMembership::announceEngineDirectly(const EngineRecord& record, TimePoint now) {
  announceEngine(record, now);
  direct_broadcast_.add(record);
  sendDirectBroadcast(now);
}

void SwimMembership::sendDirectBroadcast(TimePoint now) {
  if (!direct_broadcast_.isDue(now)) return;
  const std::vector<MemberRecord> receivers = DirectBroadcast::receivers(table_, self_.region, random_);
  PingAck message;
  message.sender = self_.name;
  message.bundle_version = self_.bundle_version;
  message.engines = direct_broadcast_.take(receivers.size(), now);
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
  const std::uint32_t limit = transmissionLimit();
  for (const std::string& name : member_queue_.take(options_.records_per_message, limit)) {
    const Member* queued = table_.find(name);
    if (queued != nullptr && name != receiver) message.members.push_back(queued->record);
  }
  for (const std::string& key : engine_queue_.take(options_.records_per_message, limit)) {
    const EngineRecord* record = engines_.find(key);
    if (record != nullptr) message.engines.push_back(*record);
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

std::uint32_t SwimMembership::transmissionLimit() const {
  const double members = static_cast<double>(table_.liveCount() + 1);
  const auto rounds = static_cast<std::uint32_t>(std::ceil(std::log2(members + 1)));
  return options_.dissemination_factor * std::max<std::uint32_t>(rounds, 1);
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
