#include "standins/engine/load_history.h"

namespace crankspur::standin {

void LoadHistory::record(const EngineLoadReport& load, TimePoint now) {
  if (!entries_.empty() && entries_.back().since == now) {
    entries_.back().load = load;
  } else {
    entries_.push_back({load, now});
  }
  while (entries_.size() > 1 && entries_[1].since <= now - lag_) entries_.pop_front();
}

EngineLoadReport LoadHistory::report(TimePoint now) const {
  EngineLoadReport report;
  for (const Entry& entry : entries_) {
    if (entry.since > now - lag_ && &entry != &entries_.front()) break;
    report = entry.load;
  }
  report.age = lag_;
  return report;
}

}  // namespace crankspur::standin
