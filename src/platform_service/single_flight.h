#pragma once
/// @file Single flight: callers that want the same value at the same time share one call.

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace crankspur {

/// Waiters for calls that are under way, by key.
template <typename Key, typename Result>
class SingleFlight {
public:
  using Waiter = std::function<void(const Result&)>;

  /// Adds a waiter.
  /// @return true when the caller must start the call, false when one is under way.
  bool join(const Key& key, Waiter waiter) {
    std::vector<Waiter>& waiters = waiters_[key];
    waiters.push_back(std::move(waiter));
    return waiters.size() == 1;
  }

  /// Ends the call and tells every waiter. A waiter may join again at once; that starts a new call.
  void finish(const Key& key, const Result& result) {
    const auto waiting = waiters_.extract(key);
    if (waiting.empty()) {
      return;
    }
    for (const Waiter& waiter : waiting.mapped()) {
      waiter(result);
    }
  }

private:
  std::map<Key, std::vector<Waiter>> waiters_;
};

}  // namespace crankspur
