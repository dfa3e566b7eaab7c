#pragma once
/// @file Gossip membership with incarnations and suspicion, seeded by the machine list. Pure decision code.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Tunables of the gossip protocol.
struct MembershipOptions {
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Between the questions of a member that has not joined yet; longer than probe_interval: as often as that.
  Duration join_interval = std::chrono::seconds(10);
  Duration probe_timeout = std::chrono::milliseconds(200);  ///< Until indirect probes are asked for.
  Duration suspicion_timeout = std::chrono::seconds(3);
  std::uint32_t indirect_probes = 2;
  std::uint32_t records_per_message = 8;
  std::uint32_t spread_factor = 3;  ///< A change rides on spread_factor * log2(members) messages.
  double own_zone_share = 0.75;     ///< Share of probes that go to members of the own zone.
  Duration pull_interval = std::chrono::seconds(10);  ///< Mean time between pulls from members that agree.
  Duration dead_probe_interval = std::chrono::seconds(20);  ///< Mean time between probes of dead members.
  Duration dead_retention = std::chrono::hours(6);          ///< Longer than regions stay parted.
};

/// A Ping whose target is empty asks for state. With fingerprints it asks for members whose records differ
/// and gets one PingAck. Without them the sender joins: it gets members to ask further and every fact about
/// engines, in one PingAck with the Ping's sequence and further ones with sequence 0; or, from a member that
/// has answered much of late, members alone with sequence 0, which does not end the join. A message carries
/// at most this many records.
inline constexpr std::size_t kRecordsPerStateMessage = 64;

/// Messages the membership wants sent to a peer's address.
struct OutgoingGossip {
  std::string address;
  std::string member;
  std::variant<Ping, PingAck> message;
};

/// A change that the owner should act on.
struct MembershipChange {
  MemberRecord record;
  MemberState previous = MemberState::Dead;
};

/// @return the state's name in logs and status: "alive", "suspect", "leaving" or "dead".
const char* memberStateName(MemberState state);

/// The membership of one node.
class Membership {
public:
  virtual ~Membership() = default;
  /// Names from the machine list, which lags: new names are probed, marks of leaving are spread; an absent
  /// name is not dead by that alone.
  virtual void seed(const std::vector<MemberRecord>& machines, TimePoint now) = 0;
  virtual void onPing(const Ping& ping, const std::string& from_address, TimePoint now) = 0;
  virtual void onAck(const PingAck& ack, TimePoint now) = 0;
  /// Advances timers; to be called at nextTimer().
  virtual void onTimer(TimePoint now) = 0;
  virtual TimePoint nextTimer() const = 0;
  /// Changes the timings that the bundle sets; running timers keep theirs.
  virtual void setTimings(Duration probe_interval, Duration suspicion_timeout) = 0;
  /// Marks this node as leaving and spreads it.
  virtual void leave(TimePoint now) = 0;
  /// Announces a bundle version held by this node.
  virtual void setBundleVersion(std::uint64_t version) = 0;
  /// Spreads a fact about an engine (crash, new incarnation, leaving).
  virtual void announceEngine(const EngineRecord& record, TimePoint now) = 0;
  /// Spreads a fact that perhaps nobody else knows: besides, every live member of the own region and a few of
  /// each other region are told directly, at once as far as a byte rate allows.
  virtual void announceEngineAtOnce(const EngineRecord& record, TimePoint now) = 0;
  /// @return messages to send, taken once.
  virtual std::vector<OutgoingGossip> takeOutgoing() = 0;
  /// @return changes since the last call.
  virtual std::vector<MembershipChange> takeChanges() = 0;
  /// @return engine facts that became known since the last call.
  virtual std::vector<EngineRecord> takeEngineChanges() = 0;
  /// @return every member that is not Dead, this node included, sorted by name.
  virtual std::vector<MemberRecord> liveMembers() const = 0;
  /// @return the member that reports the highest bundle version, or an empty record.
  virtual MemberRecord newestBundleHolder() const = 0;
};

std::unique_ptr<Membership> makeMembership(MemberRecord self, MembershipOptions options,
                                           std::uint64_t random_seed, TimePoint now);

}  // namespace crankspur
