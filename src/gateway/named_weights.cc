#include "gateway/named_weights.h"

namespace crankspur::gateway {

void WeightsClock::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  for (const NamedWeights& named : snapshot.weights) {
    std::vector<Named>& known = models_[named.model];
    const TimePoint named_at = named.named_at == TimePoint{} ? now : named.named_at;
    if (known.empty() || named.version > known.back().version) known.push_back({named.version, named_at});
    // Only the newest of the versions whose grace period is over is needed.
    while (known.size() > 1 && known[1].named_at + grace_ <= now) known.erase(known.begin());
  }
}

std::optional<std::uint64_t> WeightsClock::minWeightsVersion(const std::string& model, TimePoint now) const {
  const auto found = models_.find(model);
  if (found == models_.end()) return std::nullopt;
  std::optional<std::uint64_t> min_version;
  for (const Named& named : found->second) {
    if (named.named_at + grace_ <= now) min_version = named.version;
  }
  return min_version;
}

TimePoint WeightsClock::supersededFrom(const std::string& model, std::uint64_t version) const {
  const auto found = models_.find(model);
  if (found == models_.end()) return TimePoint::max();
  for (const Named& named : found->second) {
    if (named.version > version) return named.named_at + grace_;
  }
  return TimePoint::max();
}

std::optional<std::uint64_t> WeightsClock::newestWeightsVersion(const std::string& model) const {
  const auto found = models_.find(model);
  if (found == models_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().version;
}

}  // namespace crankspur::gateway
