#include "sim/experiment/yardsticks.h"

#include <optional>

namespace crankspur::experiment {
namespace {

/// Wait for a place in a full batch, per request above its limit.
constexpr Duration kFullBatchWait = std::chrono::milliseconds(100);

class ClairvoyantPlacement : public PlacementPolicy {
public:
  ClairvoyantPlacement(Fleet& fleet, bool imports) : fleet_(fleet), imports_(imports) {}
  std::string name() const override { return imports_ ? "clairvoyant_import" : "clairvoyant"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot&, const PrefixIndex&,
                           const OutstandingWork&, RandomSource&, TimePoint now) override {
    const Source source = findSource(request);
    std::optional<Choice> best;
    for (const auto& engine : fleet_.engines()) {
      if (!engine->up() || engine->frozen() || isExcluded(request, engine->slot())) continue;
      const Choice choice = estimateExactly(*engine, request, source, now);
      if (!best || choice.estimate.cost < best->estimate.cost) best = choice;
    }
    PlacementDecision decision;
    if (!best) return decision;
    const CandidateEstimate& estimate = best->estimate;
    decision.found = true;
    decision.engine = estimate.engine;
    decision.incarnation = fleet_.engine(estimate.engine).model().incarnation();
    decision.weights_version = kWeights;
    decision.cached_blocks = estimate.cached_blocks;
    decision.expected_first_token = estimate.queue + estimate.import + estimate.prefill;
    decision.import_blocks = best->import_blocks;
    if (best->import_blocks > 0) decision.import_from = source.engine->address();
    return decision;
  }

private:
  static bool isExcluded(const PlacementRequest& request, EngineSlot slot) {
    return std::find(request.excluded.begin(), request.excluded.end(), slot) != request.excluded.end();
  }

  /// The engine that holds the longest prefix now.
  struct Source {
    EngineHost* engine = nullptr;
    std::uint32_t blocks = 0;
  };
  struct Choice {
    CandidateEstimate estimate;
    std::uint32_t import_blocks = 0;
  };

  Source findSource(const PlacementRequest& request) {
    Source source;
    if (!imports_) return source;
    for (const auto& engine : fleet_.engines()) {
      if (!engine->up() || engine->frozen()) continue;
      const std::uint32_t held = engine->model().cachedPrefixLength(request.blocks);
      if (held > source.blocks) source = {engine.get(), held};
    }
    return source;
  }

  Duration prefillTime(std::uint32_t tokens) const {
    const standin::EngineTimings& timings = fleet_.site().timings;
    const std::uint32_t chunks = (tokens + timings.prefill_chunk_tokens - 1) / timings.prefill_chunk_tokens;
    return Duration(static_cast<std::int64_t>(tokens / timings.prefill_tokens_per_second * 1e6)) +
           timings.prefill_chunk_base * chunks;
  }

  Choice estimateExactly(EngineHost& engine, const PlacementRequest& request, const Source& source,
                         TimePoint now) {
    const standin::EngineTimings& timings = fleet_.site().timings;
    const WorkLedger& ledger = fleet_.ledger(engine.slot());
    Choice choice;
    CandidateEstimate& estimate = choice.estimate;
    estimate.engine = engine.slot();
    estimate.cached_blocks =
        ledger.plannedPrefix(request.blocks, engine.model().cachedPrefixLength(request.blocks));
    const auto cached = static_cast<std::uint32_t>(estimate.cached_blocks * kTokensPerBlock);
    const std::uint32_t uncached = std::max(request.prompt_tokens, cached + 1) - cached;
    estimate.prefill = prefillTime(uncached);
    if (source.engine != nullptr && source.engine != &engine && source.blocks > estimate.cached_blocks) {
      const auto imported =
          static_cast<std::uint32_t>((source.blocks - estimate.cached_blocks) * kTokensPerBlock);
      const Duration import =
          timings.import_latency + 2 * fleet_.delay(engine.zone(), source.engine->zone()) +
          Duration(static_cast<std::int64_t>(imported / timings.import_tokens_per_second * 1e6));
      const Duration rest = prefillTime(std::max(uncached, imported + 1) - imported);
      if (import + rest < estimate.prefill) {
        estimate.import = import;
        estimate.prefill = rest;
        choice.import_blocks = source.blocks;
      }
    }
    estimate.queue = ledger.backlog(now);
    const std::size_t in_flight = engine.model().inFlight();
    if (in_flight >= timings.batch_limit) {
      estimate.queue += kFullBatchWait * static_cast<std::int64_t>(in_flight + 1 - timings.batch_limit);
    }
    estimate.cost = toSeconds(estimate.queue + estimate.import + estimate.prefill);
    return choice;
  }

  Fleet& fleet_;
  bool imports_;
};

}  // namespace

std::unique_ptr<PlacementPolicy> makeClairvoyantPlacement(Fleet& fleet, bool imports) {
  return std::make_unique<ClairvoyantPlacement>(fleet, imports);
}

std::unique_ptr<PlacementPolicy> makePolicy(const std::string& name, Fleet& fleet) {
  if (name == "cost") return makeCostPlacement();
  if (name == "round_robin") return makeRoundRobinPlacement();
  if (name == "least_load") return makeLeastLoadPlacement();
  if (name == "prompt_head") return makePromptHeadHashPlacement();
  if (name == "clairvoyant") return makeClairvoyantPlacement(fleet, false);
  if (name == "clairvoyant_import") return makeClairvoyantPlacement(fleet, true);
  if (name == "previous") return makePreviousPlacement();
  return nullptr;
}

}  // namespace crankspur::experiment
