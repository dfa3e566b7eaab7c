#include "membership/engine_facts.h"

#include "base/hash.h"

namespace crankspur {

namespace {

constexpr std::size_t kIncarnationsPerEngine = 4;

}  // namespace

std::string EngineFacts::keyOf(const EngineRecord& record) {
  return record.name + '@' + toHex(record.incarnation);
}

bool EngineFacts::apply(const EngineRecord& news) {
  const std::string key = keyOf(news);
  const auto found = facts_.find(key);
  if (found != facts_.end()) {
    EngineRecord& held = found->second;
    if (news.incarnation == kMachineIncarnation) {
      if (news.listed_at_ms <= held.listed_at_ms) return false;
      held = news;
      return true;
    }
    const bool adds_leaving = news.leaving && !held.leaving;
    const bool adds_dead = news.dead && !held.dead;
    held.leaving = held.leaving || news.leaving;
    held.dead = held.dead || news.dead;
    return adds_leaving || adds_dead;
  }
  const bool known = keys_by_engine_.contains(news.name);
  if (!known && keys_by_engine_.size() >= maximum_) return false;
  facts_.emplace(key, news);
  std::deque<std::string>& keys = keys_by_engine_[news.name];
  if (news.incarnation == kMachineIncarnation) return true;
  keys.push_back(key);
  if (keys.size() > kIncarnationsPerEngine) {
    facts_.erase(keys.front());
    keys.pop_front();
  }
  return true;
}

const EngineRecord* EngineFacts::find(const std::string& key) const {
  const auto found = facts_.find(key);
  return found == facts_.end() ? nullptr : &found->second;
}

}  // namespace crankspur
