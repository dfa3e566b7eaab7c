#include "gateway/named_weights.h"

namespace crankspur::gateway {

void WeightsClock::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  for (const NamedWeights& named : snapshot.weights) {
    std::vector<Named>& known = models_[named.model];
    const TimePoint named_at = named.named_at == TimePoint{} ? now : named.named_at;
    if (known.empty() || named.version > known.back().version) known.push_back({named.version, named_at});
    // Of those whose grace is over only the newest matters.
    while (known.size() > 1 && known[1].heard_at + grace_ <= now) known.erase(known.begin());
  }
}

std::optional<std::uint64_t> WeightsClock::leastWeights(const std::string& model, TimePoint now) const {
  const auto found = models_.find(model);
  if (found == models_.end()) return std::nullopt;
  std::optional<std::uint64_t> least;
  for (const Named& named : found->second) {
    if (named.heard_at + grace_ <= now) least = named.version;
  }
  return least;
}

std::optional<std::uint64_t> WeightsClock::newestWeights(const std::string& model) const {
  const auto found = models_.find(model);
  if (found == models_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().version;
}

}  // namespace crankspur::gateway
