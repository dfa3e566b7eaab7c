#pragma once
/// @file Load of the engine stand-in as it was some time ago.

#include <deque>

#include "standins/engine/engine_types.h"

namespace crankspur::standin {

/// Keeps recent loads so that a report can lag.
class LoadHistory {
public:
  explicit LoadHistory(Duration lag) : lag_(lag) {}

  /// Notes the load from `now` on.
  void note(const EngineLoadReport& load, TimePoint now);
  /// @return the load as it was `lag` before `now`, with that age.
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
