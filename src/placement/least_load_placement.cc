#include "placement/eligibility.h"

namespace crankspur {
namespace {

/// Baseline: the eligible engine with the fewest queued tokens, counting those it reported and those that
/// this router has pending there. Ties are broken at random.
class LeastLoadPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "least_load"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork& work, RandomSource& random,
                           TimePoint now) override {
    const EngineView* best = nullptr;
    std::uint64_t best_load = 0;
    std::uint64_t ties = 0;
    for (const EngineView* candidate : findEligible(request, snapshot)) {
      const EngineView& engine = *candidate;
      const std::uint64_t load = std::uint64_t{engine.load.queued_tokens} + work.pendingTokens(engine.slot);
      if (best != nullptr && load > best_load) continue;
      ties = best == nullptr || load < best_load ? 1 : ties + 1;
      if (ties > 1 && random.uniform(1, ties) != 1) continue;
      best = &engine;
      best_load = load;
    }
    return best == nullptr ? PlacementDecision{} : decideFor(*best, request, index, now);
  }
};

}  // namespace

std::unique_ptr<PlacementPolicy> makeLeastLoadPlacement() {
  return std::make_unique<LeastLoadPlacement>();
}

}  // namespace crankspur
