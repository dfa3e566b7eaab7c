#pragma once
/// @file Deltas between the bundle versions that a node has held, for compact updates to peers.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// The most recent deltas, bounded in bytes.
class BundleHistory {
public:
  explicit BundleHistory(std::size_t byte_limit) : byte_limit_(byte_limit) {}

  /// Records that `after` replaced `before`.
  void add(const BundleBody& before, const BundleBody& after);

  /// @return the steps from `held_version` to `current`, or empty when the history does not reach back to
  /// `held_version` or the complete document is no larger than the deltas.
  std::optional<BundleUpdate> updateFrom(std::uint64_t held_version, const BundleBody& current) const;

  std::size_t bytes() const { return bytes_; }

private:
  std::size_t byte_limit_;
  std::size_t bytes_ = 0;
  std::deque<BundleStep> steps_;  ///< Oldest first; each step starts from the previous step's result.
};

/// Applies an update to the held body. The result is not verified: it must be offered to a BundleHolder.
/// @return the updated body, or empty when the steps do not apply to `held`.
std::optional<BundleBody> applyBundleUpdate(const BundleBody& held, const BundleUpdate& update);

}  // namespace crankspur
