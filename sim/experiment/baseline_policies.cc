#include "sim/experiment/baseline_policies.h"

#include <optional>

namespace crankspur::experiment {
namespace {

/// Estimated wait for a slot in a full batch, per request above the limit.
constexpr Duration kFullBatchWait = std::chrono::milliseconds(100);

class ClairvoyantPlacement : public PlacementPolicy {
public:
  ClairvoyantPlacement(Fleet& fleet, bool use_imports) : fleet_(fleet), use_imports_(use_imports) {}
  std::string name() const override { return use_imports_ ? "clairvoyant_import" : "clairvoyant"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot&, const PrefixIndex&,
                           const OutstandingWork&, RandomSource&, TimePoint now) override {
    const Source source = findSource(request);
    std::optional<Candidate> best;
    for (const auto& engine : fleet_.engines()) {
      if (!engine->up() || engine->frozen() || isExcluded(request, engine->slot())) continue;
      const Candidate candidate = estimateEngine(*engine, request, source, now);
      if (!best || candidate.estimate.cost < best->estimate.cost) best = candidate;
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

  /// The engine that currently holds the longest prefix.
  struct Source {
    EngineHost* engine = nullptr;
    std::uint32_t blocks = 0;
  };
  struct Candidate {
    CandidateEstimate estimate;
    std::uint32_t import_blocks = 0;
  };

  Source findSource(const PlacementRequest& request) {
    Source source;
    if (!use_imports_) return source;
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

  Candidate estimateEngine(EngineHost& engine, const PlacementRequest& request, const Source& source,
                           TimePoint now) {
    const standin::EngineTimings& timings = fleet_.site().timings;
    const WorkLedger& ledger = fleet_.ledger(engine.slot());
    Candidate candidate;
    CandidateEstimate& estimate = candidate.estimate;
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
      const Duration remaining_prefill = prefillTime(std::max(uncached, imported + 1) - imported);
      if (import + remaining_prefill < estimate.prefill) {
        estimate.import = import;
        estimate.prefill = remaining_prefill;
        candidate.import_blocks = source.blocks;
      }
    }
    estimate.queue = ledger.backlog(now);
    const std::size_t in_flight = engine.model().inFlight();
    if (in_flight >= timings.batch_limit) {
      estimate.queue += kFullBatchWait * static_cast<std::int64_t>(in_flight + 1 - timings.batch_limit);
    }
    estimate.cost = toSeconds(estimate.queue + estimate.import + estimate.prefill);
    return candidate;
  }

  Fleet& fleet_;
  bool use_imports_;
};

}  // namespace

std::unique_ptr<PlacementPolicy> makeClairvoyantPlacement(Fleet& fleet, bool use_imports) {
  return std::make_unique<ClairvoyantPlacement>(fleet, use_imports);
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
