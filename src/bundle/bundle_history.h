#pragma once
/// @file Deltas between the versions that a node held, so that it can bring a peer up to date in few bytes.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// The latest steps, bounded in bytes.
class BundleHistory {
public:
  explicit BundleHistory(std::size_t byte_limit) : byte_limit_(byte_limit) {}

  /// Notes that `after` took the place of `before`.
  void add(const BundleBody& before, const BundleBody& after);

  /// @return the chain from the held version to `current`, or empty when the steps do not reach back so far
  /// or the whole body is smaller.
  std::optional<BundleUpdate> updateFrom(std::uint64_t held_version, const BundleBody& current) const;

  std::size_t bytes() const { return bytes_; }

private:
  std::size_t byte_limit_;
  std::size_t bytes_ = 0;
  std::deque<BundleStep> steps_;  ///< Oldest first; each begins where the one before ends.
};

/// Applies an update to the held body. The result is not verified: it must be offered to a BundleHolder.
/// @return the body, or empty when the chain does not fit the held one.
std::optional<BundleBody> applyBundleUpdate(const BundleBody& held, const BundleUpdate& update);

}  // namespace crankspur
