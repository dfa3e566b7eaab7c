#pragma once
/// @file The highest attempts of requests that ended or were cancelled lately, bounded in number. A late
/// duplicate of such an attempt must not run again.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>

namespace crankspur {

/// Bounded memory of (request id, highest attempt known); the oldest request gives way.
class EndedAttempts {
public:
  explicit EndedAttempts(std::size_t limit) : limit_(limit) {}
  /// Notes that `attempt` and all lower ones of the request are over.
  void note(const std::string& request_id, std::uint32_t attempt);
  /// @return the highest attempt that is over; 0 when none is remembered.
  std::uint32_t highest(const std::string& request_id) const;

private:
  std::size_t limit_;
  std::deque<std::string> order_;
  absl::flat_hash_map<std::string, std::uint32_t> attempts_;
};

}  // namespace crankspur
