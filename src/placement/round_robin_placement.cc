#include "placement/eligibility.h"

namespace crankspur {
namespace {

/// Baseline: each eligible engine in turn.
class RoundRobinPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "round_robin"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork&, RandomSource&,
                           TimePoint now) override {
    const std::vector<const EngineView*> eligible = findEligible(request, snapshot);
    if (eligible.empty()) return {};
    return decideFor(*eligible[turn_++ % eligible.size()], request, index, now);
  }

private:
  std::size_t turn_ = 0;
};

}  // namespace

std::unique_ptr<PlacementPolicy> makeRoundRobinPlacement() {
  return std::make_unique<RoundRobinPlacement>();
}

}  // namespace crankspur
