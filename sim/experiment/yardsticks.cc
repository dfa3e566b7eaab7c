#include "sim/experiment/yardsticks.h"

#include <optional>

namespace crankspur::experiment {
namespace {

/// Wait for a place in a full batch, per request above its limit.
constexpr Duration kFullBatchWait = std::chrono::milliseconds(100);

class ClairvoyantPlacement : public PlacementPolicy {
public:
  explicit ClairvoyantPlacement(Fleet& fleet) : fleet_(fleet) {}
  std::string name() const override { return "clairvoyant"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot&, const PrefixIndex&,
                           const OutstandingWork&, RandomSource&, TimePoint now) override {
    std::optional<CandidateEstimate> best;
    for (const auto& engine : fleet_.engines()) {
      if (!engine->up() || engine->frozen() || isExcluded(request, engine->slot())) continue;
      const CandidateEstimate estimate = estimateExactly(*engine, request, now);
      if (!best || estimate.cost < best->cost) best = estimate;
    }
    PlacementDecision decision;
    if (!best) return decision;
    decision.found = true;
    decision.engine = best->engine;
    decision.incarnation = fleet_.engine(best->engine).model().incarnation();
    decision.weights_version = kWeights;
    decision.cached_blocks = best->cached_blocks;
    decision.expected_first_token = best->queue + best->prefill;
    return decision;
  }

private:
  static bool isExcluded(const PlacementRequest& request, EngineSlot slot) {
    return std::find(request.excluded.begin(), request.excluded.end(), slot) != request.excluded.end();
  }

  CandidateEstimate estimateExactly(EngineHost& engine, const PlacementRequest& request, TimePoint now) {
    const standin::EngineTimings& timings = fleet_.site().timings;
    const WorkLedger& ledger = fleet_.ledger(engine.slot());
    CandidateEstimate estimate;
    estimate.engine = engine.slot();
    estimate.cached_blocks = ledger.plannedPrefix(request.blocks, engine.model().heldPrefix(request.blocks));
    const auto cached = static_cast<std::uint32_t>(estimate.cached_blocks * kTokensPerBlock);
    const std::uint32_t uncached = std::max(request.prompt_tokens, cached + 1) - cached;
    const std::uint32_t chunks = (uncached + timings.prefill_chunk_tokens - 1) / timings.prefill_chunk_tokens;
    estimate.prefill =
        Duration(static_cast<std::int64_t>(uncached / timings.prefill_tokens_per_second * 1e6)) +
        timings.prefill_chunk_base * chunks;
    estimate.queue = ledger.backlog(now);
    const std::size_t in_flight = engine.model().inFlight();
    if (in_flight >= timings.batch_limit) {
      estimate.queue += kFullBatchWait * static_cast<std::int64_t>(in_flight + 1 - timings.batch_limit);
    }
    estimate.cost = toSeconds(estimate.queue + estimate.prefill);
    return estimate;
  }

  Fleet& fleet_;
};

}  // namespace

std::unique_ptr<PlacementPolicy> makeClairvoyantPlacement(Fleet& fleet) {
  return std::make_unique<ClairvoyantPlacement>(fleet);
}

std::unique_ptr<PlacementPolicy> makePolicy(const std::string& name, Fleet& fleet) {
  if (name == "cost") return makeCostPlacement();
  if (name == "round_robin") return makeRoundRobinPlacement();
  if (name == "least_load") return makeLeastLoadPlacement();
  if (name == "prompt_head") return makePromptHeadHashPlacement();
  if (name == "clairvoyant") return makeClairvoyantPlacement(fleet);
  if (name == "previous") return makePreviousPlacement();
  return nullptr;
}

}  // namespace crankspur::experiment
