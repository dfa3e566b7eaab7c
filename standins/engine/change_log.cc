#include "standins/engine/change_log.h"

namespace crankspur::standin {

void ChangeLog::append(std::vector<BlockHash> stored, std::vector<BlockHash> removed, RandomSource& random,
                       TimePoint now) {
  Entry entry;
  entry.change.sequence = ++last_sequence_;
  entry.lost = random.chance(gap_probability_);
  entry.visible_at = now + delay_;
  if (!entry.lost) {
    entry.change.stored = std::move(stored);
    entry.change.removed = std::move(removed);
  }
  entries_.push_back(std::move(entry));
  if (entries_.size() > length_) entries_.pop_front();
}

CacheChanges ChangeLog::read(std::uint64_t after, std::uint64_t incarnation, TimePoint now) const {
  CacheChanges changes;
  changes.incarnation = incarnation;
  for (const Entry& entry : entries_) {
    if (entry.visible_at > now) break;
    changes.last_sequence = entry.change.sequence;
    if (entry.change.sequence > after && !entry.lost) changes.events.push_back(entry.change);
  }
  return changes;
}

std::optional<TimePoint> ChangeLog::nextVisibleTime(std::uint64_t after) const {
  for (const Entry& entry : entries_) {
    if (entry.change.sequence > after) return entry.visible_at;
  }
  return std::nullopt;
}

}  // namespace crankspur::standin
