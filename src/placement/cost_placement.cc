/// @file The production placement policy: chooses the engine with the lowest estimated time to the first
/// token plus the cost to later requests of the cache blocks that the choice evicts.

#include <algorithm>
#include <optional>

#include "base/hash.h"
#include "placement/eligibility.h"
#include "placement/queue_estimator.h"

namespace crankspur {
namespace {

/// Every eligible engine is evaluated in fleets of up to this many engines; larger fleets are sampled.
constexpr std::size_t kFullEvaluationMaxEngines = 32;
/// Holders of the longest cached prefixes that are evaluated in larger fleets.
constexpr std::size_t kMaxPrefixCandidates = 16;
/// Limit on random draws per wanted candidate; a drawn engine may be ineligible or already evaluated.
constexpr std::size_t kMaxDrawsPerCandidate = 4;
/// Number of lowest-cost candidates kept in the decision record.
constexpr std::size_t kMaxRecordedCandidates = 8;
/// Fixed cost of an import, in seconds, and its throughput in tokens per second.
constexpr double kImportFixedCost = 0.008;
constexpr double kImportTokensPerSecond = 100'000;
/// Lower bound of the first-token target when utilization is computed, in seconds.
constexpr double kMinFirstTokenTarget = 0.001;
/// Minimum time that an import must save, in seconds.
constexpr double kMinImportSaving = 0.010;

Duration toDuration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// An engine from which other engines may import blocks, and how many leading blocks it holds.
struct ImportSource {
  const EngineView* engine = nullptr;
  std::uint32_t blocks = 0;
};

/// Inputs of one decision.
struct Inputs {
  const PlacementRequest& request;
  const RoutingSnapshot& snapshot;
  const Knobs& knobs;
  const OutstandingWork& work;
  TimePoint now;
  Eligibility eligibility;
  std::vector<PrefixMatch> matches;
  ImportSource source;
};

/// A candidate engine and the values that the decision needs.
struct Candidate {
  CandidateEstimate estimate;
  const EngineView* engine = nullptr;
  std::uint32_t import_blocks = 0;  ///< Leading blocks held after the import; 0: no import.
};

bool canExport(const EngineView& engine) {
  const bool up = engine.state == EngineState::Live || engine.state == EngineState::Leaving;
  return up && !engine.address.empty();
}

/// @return the first holder of the longest confirmed prefix that can export its blocks, or of the longest
/// prefix when none is confirmed. Confirmed prefixes are preferred because an engine that has yet to compute
/// its blocks may not have them when they are requested.
ImportSource findSource(const std::vector<PrefixMatch>& matches, const RoutingSnapshot& snapshot) {
  ImportSource confirmed;
  ImportSource longest;
  for (const PrefixMatch& match : matches) {
    if (longest.engine != nullptr && match.confirmed_blocks <= confirmed.blocks) continue;
    const EngineView* engine = snapshot.engine(match.engine);
    if (engine == nullptr || !canExport(*engine)) continue;
    if (longest.engine == nullptr) longest = {engine, match.blocks};
    if (match.confirmed_blocks > confirmed.blocks) confirmed = {engine, match.confirmed_blocks};
  }
  return confirmed.engine != nullptr ? confirmed : longest;
}

/// @return the first holder, other than `chosen`, of the longest confirmed prefix among the engines that are
/// eligible for the request.
ImportSource findSecondHolder(const Inputs& inputs, const EngineView& chosen) {
  ImportSource source;
  for (const PrefixMatch& match : inputs.matches) {
    if (match.confirmed_blocks <= source.blocks) continue;
    const EngineView* engine = inputs.snapshot.engine(match.engine);
    if (engine == nullptr || engine == &chosen || engine->address.empty()) continue;
    if (inputs.eligibility.isEligible(*engine)) source = {engine, match.confirmed_blocks};
  }
  return source;
}

/// @return whether importing `tokens` tokens saves at least kMinImportSaving over computing them.
bool importIsFaster(double tokens, double tokens_per_second) {
  return tokens / tokens_per_second > kImportFixedCost + tokens / kImportTokensPerSecond + kMinImportSaving;
}

class CostPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "cost"; }
  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork& work, RandomSource& random,
                           TimePoint now) override;
  void observe(const PlacementFeedback& feedback, TimePoint) override { queues_.observe(feedback); }

private:
  std::vector<Candidate> evaluateCandidates(const Inputs& inputs, RandomSource& random) const;
  Candidate evaluate(const EngineView& engine, std::uint32_t cached_blocks, const Inputs& inputs) const;
  static void chooseImport(const Candidate& best, const Inputs& inputs, PlacementDecision& decision);
  static PlacementDecision decide(const std::vector<Candidate>& candidates, const Inputs& inputs);

  QueueEstimator queues_;
};

PlacementDecision CostPlacement::choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                                        const PrefixIndex& index, const OutstandingWork& work,
                                        RandomSource& random, TimePoint now) {
  Inputs inputs{request, snapshot, snapshot.bundle ? snapshot.bundle->knobs : Knobs{},
                work,    now,      Eligibility(request, snapshot),
                {},      {}};
  if (!inputs.eligibility.allowed()) return {};
  inputs.matches = index.match(request.blocks, now);
  inputs.source = findSource(inputs.matches, snapshot);
  std::vector<Candidate> candidates = evaluateCandidates(inputs, random);
  if (candidates.empty()) return {};
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    const bool differ = left.estimate.cost != right.estimate.cost;
    return differ ? left.estimate.cost < right.estimate.cost : left.estimate.engine < right.estimate.engine;
  });
  return decide(candidates, inputs);
}

std::vector<Candidate> CostPlacement::evaluateCandidates(const Inputs& inputs, RandomSource& random) const {
  std::vector<Candidate> candidates;
  std::vector<EngineSlot> evaluated;
  const auto add = [&](const EngineView& engine, std::uint32_t blocks) {
    if (std::find(evaluated.begin(), evaluated.end(), engine.slot) != evaluated.end()) return;
    evaluated.push_back(engine.slot);
    candidates.push_back(evaluate(engine, blocks, inputs));
  };
  const std::vector<EngineView>& engines = inputs.snapshot.engines;
  const bool evaluate_all = engines.size() <= kFullEvaluationMaxEngines;
  for (const PrefixMatch& match : inputs.matches) {
    if (!evaluate_all && candidates.size() >= kMaxPrefixCandidates) break;
    const EngineView* engine = inputs.snapshot.engine(match.engine);
    if (engine != nullptr && inputs.eligibility.isEligible(*engine)) add(*engine, match.blocks);
  }
  const std::size_t wanted = candidates.size() + std::max<std::size_t>(inputs.knobs.random_candidates, 1);
  for (std::size_t draw = 0; !evaluate_all && draw < kMaxDrawsPerCandidate * wanted; ++draw) {
    if (candidates.size() >= wanted) break;
    const EngineView& engine = engines[random.uniform(0, engines.size() - 1)];
    if (inputs.eligibility.isEligible(engine)) add(engine, 0);
  }
  if (!evaluate_all && !candidates.empty()) return candidates;
  for (const EngineView& engine : engines) {
    if (inputs.eligibility.isEligible(engine)) add(engine, 0);
  }
  return candidates;
}

Candidate CostPlacement::evaluate(const EngineView& engine, std::uint32_t cached_blocks,
                                  const Inputs& inputs) const {
  Candidate candidate;
  candidate.engine = &engine;
  candidate.estimate.engine = engine.slot;
  candidate.estimate.cached_blocks = cached_blocks;
  const double rate = prefillRate(engine);
  const double cached = static_cast<double>(cached_blocks) * kTokensPerBlock;
  double uncached = std::max(1.0, inputs.request.prompt_tokens - cached);
  double import = 0;
  const ImportSource& source = inputs.source;
  if (source.engine != nullptr && source.engine != &engine && source.blocks > cached_blocks) {
    const double tokens = static_cast<double>(source.blocks - cached_blocks) * kTokensPerBlock;
    if (importIsFaster(tokens, rate)) {
      import = kImportFixedCost + tokens / kImportTokensPerSecond;
      uncached = std::max(1.0, uncached - tokens);
      candidate.import_blocks = source.blocks;
    }
  }
  const double prefill = toSeconds(prefillTime(uncached, rate));
  candidate.estimate.queue = queues_.wait(engine, inputs.work, inputs.now);
  candidate.estimate.prefill = toDuration(prefill);
  candidate.estimate.import = toDuration(import);
  const double new_blocks = (inputs.request.prompt_tokens - cached) / kTokensPerBlock;
  candidate.estimate.cost = toSeconds(candidate.estimate.queue) + import +
                            prefill * inputs.knobs.decision_cached_token_value +
                            std::max(0.0, new_blocks) * inputs.knobs.eviction_seconds_per_block;
  return candidate;
}

void CostPlacement::chooseImport(const Candidate& best, const Inputs& inputs, PlacementDecision& decision) {
  if (best.import_blocks > 0) {
    decision.import_from = inputs.source.engine->address;
    decision.import_blocks = best.import_blocks;
    return;
  }
  // The engine may have evicted the blocks that it is assumed to hold, or may still have to import them for
  // another request. An engine imports only the blocks that it lacks when it starts, so naming a second
  // holder costs nothing while the assumption is right.
  const ImportSource source = findSecondHolder(inputs, *best.engine);
  const std::uint32_t blocks = std::min(source.blocks, best.estimate.cached_blocks);
  if (!importIsFaster(static_cast<double>(blocks) * kTokensPerBlock, prefillRate(*best.engine))) return;
  decision.import_from = source.engine->address;
  decision.import_blocks = blocks;
}

PlacementDecision CostPlacement::decide(const std::vector<Candidate>& candidates, const Inputs& inputs) {
  const Candidate& best = candidates.front();
  PlacementDecision decision;
  decision.found = true;
  decision.engine = best.engine->slot;
  decision.incarnation = best.engine->incarnation;
  decision.weights_version = best.engine->weightsOf(inputs.request.model);
  decision.cached_blocks = best.estimate.cached_blocks;
  decision.expected_first_token = best.estimate.queue + best.estimate.import + best.estimate.prefill;
  chooseImport(best, inputs, decision);
  double wait = 0;
  for (const Candidate& candidate : candidates) wait += toSeconds(candidate.estimate.queue);
  decision.queue_utilization = wait / static_cast<double>(candidates.size()) /
                               std::max(toSeconds(inputs.knobs.first_token_target), kMinFirstTokenTarget);
  const std::size_t recorded = std::min(candidates.size(), kMaxRecordedCandidates);
  for (std::size_t index = 0; index < recorded; ++index) {
    decision.candidates.push_back(candidates[index].estimate);
  }
  return decision;
}

}  // namespace

std::unique_ptr<PlacementPolicy> makeCostPlacement() {
  return std::make_unique<CostPlacement>();
}

}  // namespace crankspur
