#include "gateway/backend_limits.h"

#include <absl/container/flat_hash_set.h>

namespace crankspur::gateway {

void BackendLimits::onSnapshot(const GatewaySnapshot& snapshot) {
  if (limits_.empty()) return;
  absl::flat_hash_set<std::uint64_t> listed;
  for (const Backend& backend : snapshot.backends) listed.insert(backend.view.incarnation);
  absl::erase_if(limits_, [&listed](const auto& item) { return !listed.contains(item.first); });
}

std::optional<LimitChange> BackendLimits::onResponse(std::uint64_t incarnation, std::optional<double> limit,
                                                     TimePoint sent_at, TimePoint now) {
  const auto known = limits_.find(incarnation);
  const double previous = known == limits_.end() ? 0 : known->second.per_second;
  if (limit) {
    limits_[incarnation] = {*limit, now};
  } else {
    if (previous == 0 || sent_at <= known->second.named_at) return std::nullopt;
    limits_.erase(known);
  }
  if (limit.value_or(0) == previous) return std::nullopt;
  return LimitChange{previous, limit.value_or(0)};
}

double BackendLimits::limitOf(std::uint64_t incarnation) const {
  const auto known = limits_.find(incarnation);
  return known == limits_.end() ? 0 : known->second.per_second;
}

}  // namespace crankspur::gateway
