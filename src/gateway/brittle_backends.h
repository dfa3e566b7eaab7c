#pragma once
/// @file Back ends that state in their responses that they fall over when they reject too many requests in a
/// second for want of room (brittle), and how many requests this gateway may have at each of them.
///
/// What a back end tolerates counts for all gateways together, and a gateway learns of a rejection only when
/// it has happened. So no gateway finds out the room of a brittle back end by being rejected: each one uses a
/// fixed share of the places that the back end lists, and less after a rejection. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/recent_gateways.h"

namespace crankspur::gateway {

/// What a response says about the brittleness of its back end.
struct BrittleStatement {
  bool brittle = false;
  std::uint32_t tolerated_rejections = 0;  ///< In a second; 0: none, or the number cannot be read.
  bool success = false;                    ///< Rejections and errors may not state what successes state.
  TimePoint sent_at{};                     ///< When the request of the response was sent.
};

/// Statements and rejections of back ends. Back ends that are not brittle cost nothing. Not thread-safe.
class BrittleBackends {
public:
  /// @param gateways share the places; they must outlive this object, and have the snapshot before it.
  explicit BrittleBackends(const RecentGateways& gateways) : gateways_(gateways) {}
  /// The shares of this gateway depend on the gateways and back ends of the snapshot.
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// @return whether the response changed what is known of its back end.
  bool onResponse(const std::string& pool, std::uint64_t incarnation, const BrittleStatement& statement,
                  TimePoint now);
  /// The back end rejected a request for want of room.
  /// @param in_flight requests of this gateway there, the rejected one included.
  void onRejected(EngineSlot slot, std::uint64_t incarnation, std::uint32_t in_flight, TimePoint now);
  /// The back end began a response to a request of this gateway.
  void onAccepted(EngineSlot slot, std::uint64_t incarnation);

  /// @return whether any back end is known to have stated it lately.
  bool any() const { return !pools_.empty(); }
  /// The back ends of a pool are brittle together: one that has just started has not stated it yet.
  /// @return whether a back end of the pool has stated it lately.
  bool isBrittle(std::string_view pool, TimePoint now) const;
  /// @param in_flight requests of this gateway at the back end.
  /// @return whether the back end may get one more request of this gateway. Always true unless it is brittle.
  bool hasRoom(const Backend& backend, std::uint32_t in_flight, const GatewaySnapshot& snapshot,
               TimePoint now);

  /// A crash of a brittle back end shortly after it rejected a request says nothing about the requests that
  /// it ran.
  /// @return whether that explains a crash of the back end at this time.
  bool explainsCrash(const std::string& pool, EngineSlot slot, std::uint64_t incarnation,
                     TimePoint now) const;

private:
  struct Statement {
    std::uint32_t tolerated_rejections = 0;
    TimePoint stated_at{};
  };
  using Statements = std::map<std::uint64_t, Statement>;  ///< By incarnation.
  /// What rejections have shown of the room of a back end for this gateway.
  struct Room {
    std::uint64_t incarnation = 0;
    std::optional<double> limit;  ///< Of the requests in flight, at `limited_at`; empty: the share.
    TimePoint limited_at{};
    std::optional<TimePoint> rejected_at;  ///< When it last rejected a request.
    std::uint32_t rejections = 0;  ///< Consecutive ones while it had no other request of this gateway.
  };

  static bool isCurrent(const Statement& statement, TimePoint now);
  std::uint32_t shareOf(const Backend& backend, const GatewaySnapshot& snapshot);
  void divide(const std::string& pool, const GatewaySnapshot& snapshot);
  Duration recoveryOf(const Backend& backend) const;
  Room& roomOf(EngineSlot slot, std::uint64_t incarnation, TimePoint now);

  const RecentGateways& gateways_;
  std::map<std::string, Statements, std::less<>> pools_;
  absl::flat_hash_map<EngineSlot, Room> rooms_;
  /// Places of each back end that this gateway may use; computed when needed for the current snapshot.
  absl::flat_hash_map<EngineSlot, std::uint32_t> shares_;
};

}  // namespace crankspur::gateway
