#pragma once
/// @file A bounded set of the values that were added most recently.

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <utility>

namespace crankspur::gateway {

/// Keeps at least the last `capacity` values that were added, and at most twice as many. Not thread-safe.
template <typename Value>
class RecentSet {
public:
  explicit RecentSet(std::size_t capacity) : capacity_(capacity) {}

  void add(const Value& value) {
    if (newer_.size() >= capacity_) older_ = std::exchange(newer_, {});
    newer_.insert(value);
  }
  bool contains(const Value& value) const { return newer_.contains(value) || older_.contains(value); }

private:
  std::size_t capacity_;
  absl::flat_hash_set<Value> newer_;
  absl::flat_hash_set<Value> older_;
};

}  // namespace crankspur::gateway
