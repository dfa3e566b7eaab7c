#pragma once
/// @file How long the requests of each route have run lately, from their dispatch to the end of the response.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace crankspur::gateway {

/// Not thread-safe.
class RunTimes {
public:
  /// @param taken from the dispatch to the end of the response, or to the deadline if there was no response.
  void onEnded(const std::string& route, Duration taken, TimePoint now);
  /// @return the usual time; empty: no request of the route has ended lately.
  std::optional<Duration> typical(const std::string& route, TimePoint now) const;
  /// @return the longest time; empty: as for typical().
  std::optional<Duration> longest(const std::string& route, TimePoint now) const;

  /// @return the number of requests that longest() rests on.
  std::uint32_t known(const std::string& route, TimePoint now) const;

private:
  struct Times {
    Duration typical{0};  ///< Smoothed.
    Duration longest{0};  ///< In the current period.
    Duration longest_before{0};
    std::uint32_t ended = 0;  ///< In the current period.
    std::uint32_t ended_before = 0;
    TimePoint period_since{};
    TimePoint ended_at{};  ///< When the last request ended.
  };

  const Times* find(const std::string& route, TimePoint now) const;

  absl::flat_hash_map<std::string, Times> routes_;
};

}  // namespace crankspur::gateway
