#pragma once
/// @file What back ends state of themselves in their responses to this gateway, beside their limits: that
/// they want no requests from it for some time (a pause), and that they are about to end (a departure). Both
/// hold for one incarnation. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "base/time.h"
#include "gateway/gateway_snapshot.h"

namespace crankspur::gateway {

/// Pauses and departures by incarnation of the back end. Back ends that state neither cost nothing. Not
/// thread-safe.
class BackendNotices {
public:
  /// Longest pause that is kept to. A back end that states a longer one, for example in milliseconds, is not
  /// lost for longer than this.
  static constexpr Duration kMaxPause = std::chrono::seconds(120);

  /// Forgets pauses that are over, and departures of back ends that have not been listed for some time.
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);

  /// The back end stated that it wants no requests for `time` from now on. Of several pauses the one that
  /// ends last holds, since responses overtake each other.
  /// @return whether the back end is paused for longer than was known.
  bool onPause(std::uint64_t incarnation, Duration time, TimePoint now);
  /// The back end stated a time that cannot be read. A pause that is known stays in force.
  /// @return whether the text differs from the last such text of this back end.
  bool onInvalidPause(std::uint64_t incarnation, const std::string& text);
  /// The back end stated that it is about to end. It cannot revoke this.
  /// @return whether this was unknown.
  bool onDeparture(std::uint64_t incarnation, TimePoint now);

  /// @return time until the pause of the back end ends; 0: it is not paused.
  Duration pausedFor(std::uint64_t incarnation, TimePoint now) const;
  /// @return whether a pause of any back end is known, which may be over.
  bool anyPause() const { return !paused_until_.empty(); }
  /// @return whether the back end stated that it is about to end.
  bool isLeaving(std::uint64_t incarnation) const { return departures_.contains(incarnation); }
  bool anyDeparture() const { return !departures_.empty(); }

private:
  absl::flat_hash_map<std::uint64_t, TimePoint> paused_until_;
  absl::flat_hash_map<std::uint64_t, std::string> invalid_pauses_;  ///< Last invalid time of each back end.
  absl::flat_hash_map<std::uint64_t, TimePoint> departures_;  ///< When each one was stated or last listed.
};

}  // namespace crankspur::gateway
