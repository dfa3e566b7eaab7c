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
  void announceEngineAtOnce(const EngineRecord& record, TimePoint now) override;
  std::vector<OutgoingGossip> takeOutgoing() override;
  std::vector<MembershipChange> takeChanges() override;
  std::vector<EngineRecord> takeEngineChanges() override;
  std::vector<MemberRecord> liveMembers() const override;
  MemberRecord newestBundleHolder() const override;

private:
  /// Pulled answers in a row that must bring nothing new before pulls become rare.
  static constexpr int kPullsWithoutNews = 3;

  /// What the answer to a Ping is for.
  enum class Purpose {
    Liveness,
    Join,  ///< Asks for the whole state.
    Pull,  ///< Asks for the records that differ.
  };

  /// Where a record came from.
  enum class Source { Gossip, State };

  /// A Ping that waits for its answer.
  struct Probe {
    std::string target;
    Purpose purpose = Purpose::Liveness;
    bool asked_others = false;
    TimePoint ask_others_at{};
    TimePoint fails_at{};
    std::string requester;  ///< Member that asked for this probe; empty for an own one.
    std::string requester_address;
    std::uint64_t requester_sequence = 0;
  };

  void absorb(const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines,
              Source source, TimePoint now);
  void absorbMember(const MemberRecord& record, Source source, TimePoint now);
  void noteContested(const MemberRecord& record);
  void absorbAboutSelf(const MemberRecord& record);
  void raiseIncarnation(std::uint64_t above);
  void seedOne(const MemberRecord& machine, TimePoint now);

  void startProbe(const std::string& target, Purpose purpose, TimePoint now);
  void sendPing(const std::string& receiver, const std::string& target, std::uint64_t sequence,
                bool with_fingerprints = false);
  void sendAck(const std::string& receiver, const std::string& address, std::uint64_t sequence);
  void answerStateRequest(const Ping& ping, const std::string& address, TimePoint now);
  void sendState(const std::string& receiver, const std::string& address, std::uint64_t sequence,
                 const std::vector<MemberRecord>& members, const std::vector<EngineRecord>& engines);
  void pullState(TimePoint now);
  void noteBehind();
  void onPullAnswered();
  void relayAck(const Probe& probe, const PingAck& ack);
  void relayProbe(const Ping& ping, const std::string& from_address, TimePoint now);
  void askOthers(std::uint64_t sequence, Probe& probe);
  void failProbe(const Probe& probe, TimePoint now);
  void probeNext(TimePoint now);
  void probeDead(TimePoint now);
  void probeContested(TimePoint now);
  void checkProbes(TimePoint now);
  void checkSuspicions(TimePoint now);
  void sendDirectFacts(TimePoint now);
  void forgivePause(TimePoint now);

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
  StateAnswerBudget answer_budget_;
  TimePoint next_pull_at_;
  int pulls_until_caught_up_ = kPullsWithoutNews;  ///< Answers without news after which pulls become rare.
  bool news_since_pull_ = false;
  std::set<std::string> contested_;  ///< Dead here, alive to a peer, at the same incarnation.
  std::vector<OutgoingGossip> outgoing_;
  std::vector<MembershipChange> self_changes_;
  std::vector<EngineRecord> engine_changes_;
};

}  // namespace crankspur
