#pragma once
/// @file Decides which requests may still start while the process stops. A request that its end would cut is
/// better refused before it runs: its client can send it to another gateway.

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace crankspur::gateway {

/// Times of a graceful stop, from now on.
struct DrainTimes {
  Duration accepts_for{0};  ///< Clients may not have noticed the stop yet, and new connections are accepted.
  Duration ends_in{0};      ///< Then all requests in progress are ended.
};

/// A request that is about to be sent to a back end.
struct DrainingRequest {
  TimePoint deadline{};
  bool at_most_once = false;
  /// How long requests of its route usually run, and at most lately; empty: none has ended lately.
  std::optional<Duration> typical_run;
  std::optional<Duration> longest_run;
  std::uint32_t known_runs = 0;  ///< Requests of the route that have ended lately.
};

/// Not thread-safe.
class DrainPolicy {
public:
  /// May be called again, with other times.
  void begin(const DrainTimes& times, TimePoint now);
  bool isDraining() const { return draining_; }
  /// @return when the requests in progress are ended; valid while draining.
  TimePoint endsAt() const { return ends_at_; }
  /// @return whether the request will probably have ended before it would be cut.
  bool mayStart(const DrainingRequest& request, TimePoint now) const;

private:
  bool draining_ = false;
  TimePoint accepts_until_{};
  TimePoint ends_at_{};
};

}  // namespace crankspur::gateway
