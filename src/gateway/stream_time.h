#pragma once
/// @file Estimates how long an engine generates the response to a request, from the durations of complete
/// streams, since engines report neither their speed nor the length of a response in advance.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "base/time.h"

namespace crankspur::gateway {

/// Learns the seconds per expected token of each pool. Not thread-safe.
class StreamTimes {
public:
  /// @param tokens expected when the request was sent.
  /// @param taken from the first byte to the end of the response.
  void observe(const std::string& pool, std::uint32_t tokens, Duration taken);
  /// @return seconds that a response of this many expected tokens takes.
  double seconds(const std::string& pool, std::uint32_t tokens) const;

private:
  absl::flat_hash_map<std::string, double> seconds_per_token_;
};

}  // namespace crankspur::gateway
