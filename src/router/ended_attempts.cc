#include "router/ended_attempts.h"

#include <algorithm>

namespace crankspur {

void EndedAttempts::record(const std::string& request_id, std::uint32_t attempt) {
  const auto [entry, added] = attempts_.try_emplace(request_id, attempt);
  if (!added) {
    entry->second = std::max(entry->second, attempt);
    return;
  }
  order_.push_back(request_id);
  if (order_.size() <= limit_) return;
  attempts_.erase(order_.front());
  order_.pop_front();
}

std::uint32_t EndedAttempts::highest(const std::string& request_id) const {
  const auto found = attempts_.find(request_id);
  return found == attempts_.end() ? 0 : found->second;
}

}  // namespace crankspur
