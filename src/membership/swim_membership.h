#pragma once
/// @file SWIM membership of one node: probes, indirect probes, suspicion, refutation, piggybacked records.

#include <optional>
#include <set>

#include "membership/direct_facts.h"
#include "membership/engine_facts.h"
#include "membership/member_table.h"
#include "membership/membership.h"
#include "membership/probe_order.h"
#include "membership/spread_queue.h"

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
  void announceEngineAtOnce(const EngineRecord& record, TimePoint now) override;
  std::vector<OutgoingGossip> takeOutgoing() override;
  std::vector<MembershipChange> takeChanges() override;
  std::vector<EngineRecord> takeEngineChanges() override;
  std::vector<MemberRecord> liveMembers() const override;
  MemberRecord newestBundleHolder() const override;

private:
  /// A Ping that waits for its answer.
  struct Probe {
    std::string target;
    bool join = false;
    bool asked_others = false;
    TimePoint ask_others_at{};
    TimePoint fails_at{};
    std::string requester;  ///< Member that asked for this probe; empty for an own one.
    std::string requester_address;
    std::uint64_t requester_sequence = 0;
  };

  void absorb(const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines,
              TimePoint now);
  void absorbMember(const MemberRecord& record, TimePoint now);
  void absorbAboutSelf(const MemberRecord& record);
  void raiseIncarnation(std::uint64_t above);
  void seedOne(const MemberRecord& machine, TimePoint now);

  void startProbe(const std::string& target, bool join, TimePoint now);
  void sendPing(const std::string& receiver, const std::string& target, std::uint64_t sequence);
  void sendAck(const std::string& receiver, const std::string& address, std::uint64_t sequence);
  void sendState(const std::string& receiver, const std::string& address, std::uint64_t sequence);
  void relayAck(const Probe& probe, const PingAck& ack);
  void relayProbe(const Ping& ping, const std::string& from_address, TimePoint now);
  void askOthers(std::uint64_t sequence, Probe& probe);
  void failProbe(const Probe& probe, TimePoint now);
  void probeNext(TimePoint now);
  void probeDead(TimePoint now);
  void checkProbes(TimePoint now);
  void checkSuspicions(TimePoint now);
  void sendDirectFacts(TimePoint now);
  void forgivePause(TimePoint now);
  bool mayAnswerJoin(TimePoint now);

  template <typename GossipMessage>
  void attachRecords(GossipMessage& message, const std::string& receiver);
  Duration jittered(Duration mean);
  std::uint32_t spreadLimit() const;
  void send(const std::string& member, const std::string& address, std::variant<Ping, PingAck> message);

  MemberRecord self_;
  MembershipOptions options_;
  RandomSource random_;
  MemberTable table_;
  EngineFacts engines_;
  DirectFacts direct_facts_;
  ProbeOrder order_;
  SpreadQueue member_queue_;
  SpreadQueue engine_queue_;
  std::map<std::uint64_t, Probe> probes_;
  std::set<std::string> listed_as_leaving_;
  std::uint64_t next_sequence_ = 1;
  bool joined_ = false;
  TimePoint next_probe_at_;
  TimePoint next_dead_probe_at_;
  TimePoint join_answers_counted_from_;
  std::uint32_t join_answers_ = 0;
  std::vector<OutgoingGossip> outgoing_;
  std::vector<MembershipChange> self_changes_;
  std::vector<EngineRecord> engine_changes_;
};

}  // namespace crankspur
