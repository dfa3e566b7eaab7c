#pragma once
/// @file Delays the load reports of the engine stand-in.

#include <deque>

#include "standins/engine/engine_types.h"

namespace crankspur::standin {

/// Keeps recent load reports, so that readers see them with a configured lag.
class LoadHistory {
public:
  explicit LoadHistory(Duration lag) : lag_(lag) {}

  /// Records the load as of `now`.
  void record(const EngineLoadReport& load, TimePoint now);
  /// @return the load as of `now` minus the lag, with the lag as its age.
  EngineLoadReport report(TimePoint now) const;

private:
  struct Entry {
    EngineLoadReport load;
    TimePoint since;
  };

  Duration lag_;
  std::deque<Entry> entries_;
};

}  // namespace crankspur::standin
