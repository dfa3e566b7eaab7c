#include "membership/engine_facts.h"

namespace crankspur {

bool EngineFacts::apply(const EngineRecord& news) {
  const auto found = facts_.find(news.name);
  if (found == facts_.end()) {
    if (facts_.size() >= maximum_) return false;
    facts_.emplace(news.name, news);
    return true;
  }
  EngineRecord& held = found->second;
  if (news.incarnation > held.incarnation) {
    held = news;
    return true;
  }
  if (news.incarnation < held.incarnation) return false;
  const bool adds_leaving = news.leaving && !held.leaving;
  const bool adds_dead = news.dead && !held.dead;
  held.leaving = held.leaving || news.leaving;
  held.dead = held.dead || news.dead;
  return adds_leaving || adds_dead;
}

const EngineRecord* EngineFacts::find(const std::string& name) const {
  const auto found = facts_.find(name);
  return found == facts_.end() ? nullptr : &found->second;
}

}  // namespace crankspur
