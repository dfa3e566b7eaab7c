#pragma once
/// @file Single flight: concurrent calls for the same key share one execution.

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace crankspur {

/// Callbacks that wait for the calls in flight, by key.
template <typename Key, typename Result>
class SingleFlight {
public:
  using Waiter = std::function<void(const Result&)>;

  /// Adds a waiter.
  /// @return true when the caller must start the call, false when one is already in flight.
  bool join(const Key& key, Waiter waiter) {
    std::vector<Waiter>& waiters = waiters_[key];
    waiters.push_back(std::move(waiter));
    return waiters.size() == 1;
  }

  /// Ends the call and passes its result to every waiter. A waiter may call join() from its callback, which
  /// starts a new call.
  void finish(const Key& key, const Result& result) {
    const auto finished = waiters_.extract(key);
    if (finished.empty()) {
      return;
    }
    for (const Waiter& waiter : finished.mapped()) {
      waiter(result);
    }
  }

private:
  std::map<Key, std::vector<Waiter>> waiters_;
};

}  // namespace crankspur
