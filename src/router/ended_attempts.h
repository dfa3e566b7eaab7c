#pragma once
/// @file Bounded store of the highest attempts of recently ended or cancelled requests. A delayed duplicate
/// of such an attempt must not run again.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>

namespace crankspur {

/// Highest ended attempt by request id; the oldest request is evicted at the limit.
class EndedAttempts {
public:
  explicit EndedAttempts(std::size_t limit) : limit_(limit) {}
  /// Records that `attempt` and all lower attempts of the request have ended.
  void record(const std::string& request_id, std::uint32_t attempt);
  /// @return the highest ended attempt; 0 when none is stored.
  std::uint32_t highest(const std::string& request_id) const;

private:
  std::size_t limit_;
  std::deque<std::string> order_;
  absl::flat_hash_map<std::string, std::uint32_t> attempts_;
};

}  // namespace crankspur
