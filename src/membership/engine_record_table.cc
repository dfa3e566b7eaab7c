#include "membership/engine_record_table.h"

#include "base/hash.h"

namespace crankspur {

namespace {

constexpr std::size_t kMaxIncarnationsPerEngine = 4;

}  // namespace

std::string EngineRecordTable::keyOf(const EngineRecord& record) {
  return record.name + '@' + toHex(record.incarnation);
}

bool EngineRecordTable::apply(const EngineRecord& update) {
  const std::string key = keyOf(update);
  const auto found = records_.find(key);
  if (found != records_.end()) {
    EngineRecord& current = found->second;
    if (update.incarnation == kMachineIncarnation) {
      if (update.listed_at_ms <= current.listed_at_ms) return false;
      current = update;
      return true;
    }
    const bool adds_leaving = update.leaving && !current.leaving;
    const bool adds_dead = update.dead && !current.dead;
    current.leaving = current.leaving || update.leaving;
    current.dead = current.dead || update.dead;
    return adds_leaving || adds_dead;
  }
  const bool known = keys_by_engine_.contains(update.name);
  if (!known && keys_by_engine_.size() >= max_engines_) return false;
  records_.emplace(key, update);
  std::deque<std::string>& keys = keys_by_engine_[update.name];
  if (update.incarnation == kMachineIncarnation) return true;
  keys.push_back(key);
  if (keys.size() > kMaxIncarnationsPerEngine) {
    records_.erase(keys.front());
    keys.pop_front();
  }
  return true;
}

const EngineRecord* EngineRecordTable::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

}  // namespace crankspur
