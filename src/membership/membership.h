#pragma once
/// @file Gossip membership with incarnations and suspicion, seeded by the machine list. Decision logic only,
/// without I/O.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// Parameters of the gossip protocol.
struct MembershipOptions {
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Interval between the requests of a member that has not joined yet; at most probe_interval is used.
  Duration join_interval = std::chrono::seconds(10);
  Duration probe_timeout = std::chrono::milliseconds(200);  ///< Delay until indirect probes are requested.
  Duration suspicion_timeout = std::chrono::seconds(3);
  std::uint32_t indirect_probes = 2;
  std::uint32_t records_per_message = 8;
  std::uint32_t dissemination_factor = 3;  ///< A change is sent dissemination_factor * log2(members) times.
  double own_zone_share = 0.75;            ///< Fraction of probes sent to members of the same zone.
  Duration pull_interval = std::chrono::seconds(10);  ///< Mean interval between pulls while tables agree.
  Duration dead_probe_interval = std::chrono::seconds(20);  ///< Mean interval between probes of Dead members.
  Duration dead_retention = std::chrono::hours(6);          ///< Longer than partitions between regions last.
};

/// Maximum number of records in one message that carries state. A Ping with an empty target requests state.
/// With fingerprints it requests the members whose records differ, and the response is one PingAck. Without
/// fingerprints the sender joins: it receives members from which it can pull the rest, and all engine
/// records, in one PingAck with the Ping's sequence and further ones with sequence 0. A member whose response
/// budget is low sends members only, with sequence 0, which does not complete the join.
inline constexpr std::size_t kRecordsPerStateMessage = 64;

/// A message to send to a peer's address.
struct OutgoingGossip {
  std::string address;
  std::string member;
  std::variant<Ping, PingAck> message;
};

/// A membership change for the owner to process.
struct MembershipChange {
  MemberRecord record;
  MemberState previous = MemberState::Dead;
};

/// @return the name of the state in logs and status: "alive", "suspect", "leaving" or "dead".
const char* memberStateName(MemberState state);

/// The membership of one node.
class Membership {
public:
  virtual ~Membership() = default;
  /// Applies the machine list, which may lag: new machines are probed and leaving marks are disseminated. A
  /// machine's absence from the list does not make it Dead.
  virtual void seed(const std::vector<MemberRecord>& machines, TimePoint now) = 0;
  virtual void onPing(const Ping& ping, const std::string& from_address, TimePoint now) = 0;
  virtual void onAck(const PingAck& ack, TimePoint now) = 0;
  /// Advances timers; to be called at nextTimer().
  virtual void onTimer(TimePoint now) = 0;
  virtual TimePoint nextTimer() const = 0;
  /// Changes the timings configured by the bundle; running timers are not affected.
  virtual void setTimings(Duration probe_interval, Duration suspicion_timeout) = 0;
  /// Marks this node as leaving and disseminates that state.
  virtual void leave(TimePoint now) = 0;
  /// Sets the bundle version that this node reports.
  virtual void setBundleVersion(std::uint64_t version) = 0;
  /// Disseminates an engine record (crash, new incarnation, leaving) by gossip.
  virtual void announceEngine(const EngineRecord& record, TimePoint now) = 0;
  /// Disseminates a record that may be unknown to all other members. In addition to gossip it is sent
  /// directly to all live members of the same region and a few of each other region, as soon as a byte rate
  /// allows.
  virtual void announceEngineDirectly(const EngineRecord& record, TimePoint now) = 0;
  /// @return messages to send since the last call.
  virtual std::vector<OutgoingGossip> takeOutgoing() = 0;
  /// @return changes since the last call.
  virtual std::vector<MembershipChange> takeChanges() = 0;
  /// @return engine records that changed since the last call.
  virtual std::vector<EngineRecord> takeEngineChanges() = 0;
  /// @return all members that are not Dead, including this node, sorted by name.
  virtual std::vector<MemberRecord> liveMembers() const = 0;
  /// @return the member that reports the highest bundle version, or an empty record.
  virtual MemberRecord newestBundleHolder() const = 0;
};

std::unique_ptr<Membership> makeMembership(MemberRecord self, MembershipOptions options,
                                           std::uint64_t random_seed, TimePoint now);

}  // namespace crankspur
