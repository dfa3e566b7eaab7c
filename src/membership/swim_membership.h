#pragma once
/// @file SWIM membership of one node: direct and indirect probes, suspicion, refutation, piggybacked records.

#include <optional>
#include <set>

#include "membership/direct_broadcast.h"
#include "membership/dissemination_queue.h"
#include "membership/engine_record_table.h"
#include "membership/member_table.h"
#include "membership/membership.h"
#include "membership/probe_order.h"
#include "membership/state_exchange.h"

namespace crankspur {

/// See Membership.
class SwimMembership : public Membership {
public:
  SwimMembership(MemberRecord self, MembershipOptions options, std::uint64_t random_seed, TimePoint now);
  void seed(const std::vector<MemberRecord>& machines, TimePoint now) override;
  void onPing(const Ping& ping, const std::string& from_address, TimePoint now) override;
  void onAck(const PingAck& ack, TimePoint now) override;
  void onTimer(TimePoint now) override;
  TimePoint nextTimer() const override;
  void setTimings(Duration probe_interval, Duration suspicion_timeout) override;
  void leave(TimePoint now) override;
  void setBundleVersion(std::uint64_t version) override;
  void announceEngine(const EngineRecord& record, TimePoint now) override;
  void announceEngineDirectly(const EngineRecord& record, TimePoint now) override;
  std::vector<OutgoingGossip> takeOutgoing() override;
  std::vector<MembershipChange> takeChanges() override;
  std::vector<EngineRecord> takeEngineChanges() override;
  std::vector<MemberRecord> liveMembers() const override;
  MemberRecord newestBundleHolder() const override;

private:
  /// Consecutive pulls without changes after which the pull interval becomes long.
  static constexpr int kPullsUntilCaughtUp = 3;

  /// Purpose of a Ping.
  enum class Purpose {
    Liveness,
    Join,  ///< Requests the complete state.
    Pull,  ///< Requests the records that differ.
  };

  /// How a record was received.
  enum class Source { Gossip, State };

  /// A Ping that waits for its acknowledgement.
  struct Probe {
    std::string target;
    Purpose purpose = Purpose::Liveness;
    bool indirect_probes_sent = false;
    TimePoint indirect_probes_at{};
    TimePoint fails_at{};
    std::string requester;  ///< Member that requested this indirect probe; empty for a probe of this node.
    std::string requester_address;
    std::uint64_t requester_sequence = 0;
  };

  void merge(const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines,
             Source source, TimePoint now);
  void mergeMember(const MemberRecord& record, Source source, TimePoint now);
  void recordContested(const MemberRecord& record);
  void mergeSelf(const MemberRecord& record);
  void raiseIncarnation(std::uint64_t above);
  void seedMachine(const MemberRecord& machine, TimePoint now);

  void startProbe(const std::string& target, Purpose purpose, TimePoint now);
  void sendPing(const std::string& receiver, const std::string& target, std::uint64_t sequence,
                bool with_fingerprints = false);
  void sendAck(const std::string& receiver, const std::string& address, std::uint64_t sequence);
  void respondToStateRequest(const Ping& ping, const std::string& address, TimePoint now);
  void sendState(const std::string& receiver, const std::string& address, std::uint64_t sequence,
                 const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines);
  void pullState(TimePoint now);
  void markBehind();
  void onPullResponse();
  void relayAck(const Probe& probe, const PingAck& ack);
  void relayProbe(const Ping& ping, const std::string& from_address, TimePoint now);
  void sendIndirectProbes(std::uint64_t sequence, Probe& probe);
  void failProbe(const Probe& probe, TimePoint now);
  void probeNext(TimePoint now);
  void probeDead(TimePoint now);
  void probeContested(TimePoint now);
  void checkProbes(TimePoint now);
  void checkSuspicions(TimePoint now);
  void sendDirectBroadcast(TimePoint now);
  void handleSuspension(TimePoint now);

  template <typename GossipMessage>
  void attachRecords(GossipMessage& message, const std::string& receiver);
  Duration jittered(Duration mean);
  std::uint32_t transmissionLimit() const;
  void send(const std::string& member, const std::string& address, std::variant<Ping, PingAck> message);

  MemberRecord self_;
  MembershipOptions options_;
  RandomSource random_;
  MemberTable table_;
  EngineRecordTable engines_;
  DirectBroadcast direct_broadcast_;
  ProbeOrder probe_order_;
  DisseminationQueue member_queue_;
  DisseminationQueue engine_queue_;
  std::map<std::uint64_t, Probe> probes_;
  std::set<std::string> listed_as_leaving_;
  std::uint64_t next_sequence_ = 1;
  bool joined_ = false;
  TimePoint next_probe_at_;
  TimePoint next_dead_probe_at_;
  StateResponseBudget response_budget_;
  TimePoint next_pull_at_;
  int pulls_until_caught_up_ = kPullsUntilCaughtUp;  ///< Unchanged pulls until the interval is long.
  bool changed_since_pull_ = false;
  std::set<std::string> contested_;  ///< Dead in this table but not in a peer's, at the same incarnation.
  std::vector<OutgoingGossip> outgoing_;
  std::vector<MembershipChange> self_changes_;
  std::vector<EngineRecord> engine_changes_;
};

}  // namespace crankspur
