#include <algorithm>

#include "base/hash.h"
#include "placement/eligibility.h"

namespace crankspur {
namespace {

/// Number of leading blocks that are hashed.
constexpr std::size_t kHeadBlocks = 16;

/// Baseline: rendezvous hashing of the leading prompt blocks over the eligible engines.
class PromptHeadHashPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "prompt_head"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork&, RandomSource&,
                           TimePoint now) override {
    const std::size_t head_size = std::min(request.blocks.size(), kHeadBlocks);
    const std::uint64_t head = head_size == 0 ? hashBytes(request.tenant) : request.blocks[head_size - 1];
    const EngineView* best = nullptr;
    std::uint64_t best_score = 0;
    for (const EngineView* candidate : findEligible(request, snapshot)) {
      const std::uint64_t score = combineHashes(hashBytes(candidate->name), head);
      if (best != nullptr && score <= best_score) continue;
      best = candidate;
      best_score = score;
    }
    return best == nullptr ? PlacementDecision{} : decideFor(*best, request, index, now);
  }
};

}  // namespace

std::unique_ptr<PlacementPolicy> makePromptHeadHashPlacement() {
  return std::make_unique<PromptHeadHashPlacement>();
}

}  // namespace crankspur
