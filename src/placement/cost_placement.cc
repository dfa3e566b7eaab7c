/// @file The product's placement: the engine with the least estimated time to the first token, plus what the
/// choice costs later requests by eviction.

#include <algorithm>
#include <optional>

#include "base/hash.h"
#include "placement/eligibility.h"
#include "placement/queue_estimator.h"

namespace crankspur {
namespace {

/// All engines are weighed when there are at most this many.
constexpr std::size_t kWeighAllBelow = 32;
/// Holders of the longest prefixes that are weighed otherwise.
constexpr std::size_t kPrefixCandidates = 16;
/// Engines drawn at random for each one wanted, since some may not serve the request.
constexpr std::size_t kDrawsPerCandidate = 4;
/// Candidates kept in the decision record.
constexpr std::size_t kRecordedCandidates = 8;
/// Fixed cost of an import, seconds, and its speed in tokens per second.
constexpr double kImportBase = 0.008;
constexpr double kImportRate = 100'000;
/// Least first-token target that utilization is measured by, seconds.
constexpr double kLeastTarget = 0.001;
/// Least time that an import must save, seconds.
constexpr double kImportGain = 0.010;

Duration toDuration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// The engine whose blocks others may import.
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

/// A candidate with what the decision needs of it.
struct Candidate {
  CandidateEstimate estimate;
  const EngineView* engine = nullptr;
  std::uint32_t import_blocks = 0;  ///< Leading blocks held after the import; 0: none.
};

bool canSend(const EngineView& engine) {
  const bool up = engine.state == EngineState::Live || engine.state == EngineState::Leaving;
  return up && !engine.address.empty();
}

/// @return the first holder of the longest confirmed prefix that can send its blocks, or of the longest one
/// when none is confirmed: what an engine is yet to compute it may not have when it is asked.
ImportSource findSource(const std::vector<PrefixMatch>& matches, const RoutingSnapshot& snapshot) {
  ImportSource confirmed;
  ImportSource longest;
  for (const PrefixMatch& match : matches) {
    if (longest.engine != nullptr && match.confirmed_blocks <= confirmed.blocks) continue;
    const EngineView* engine = snapshot.engine(match.engine);
    if (engine == nullptr || !canSend(*engine)) continue;
    if (longest.engine == nullptr) longest = {engine, match.blocks};
    if (match.confirmed_blocks > confirmed.blocks) confirmed = {engine, match.confirmed_blocks};
  }
  return confirmed.engine != nullptr ? confirmed : longest;
}

/// @return the first holder of the longest confirmed prefix that could serve the request itself and is not
/// `chosen`.
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

/// @return whether importing `tokens` tokens is worth it, against computing them.
bool importGains(double tokens, double tokens_per_second) {
  return tokens / tokens_per_second > kImportBase + tokens / kImportRate + kImportGain;
}

class CostPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "cost"; }
  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork& work, RandomSource& random,
                           TimePoint now) override;
  void observe(const PlacementFeedback& feedback, TimePoint) override { queues_.observe(feedback); }

private:
  std::vector<Candidate> weigh(const Inputs& inputs, RandomSource& random) const;
  Candidate weighOne(const EngineView& engine, std::uint32_t cached_blocks, const Inputs& inputs) const;
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
  std::vector<Candidate> candidates = weigh(inputs, random);
  if (candidates.empty()) return {};
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    const bool differ = left.estimate.cost != right.estimate.cost;
    return differ ? left.estimate.cost < right.estimate.cost : left.estimate.engine < right.estimate.engine;
  });
  return decide(candidates, inputs);
}

std::vector<Candidate> CostPlacement::weigh(const Inputs& inputs, RandomSource& random) const {
  std::vector<Candidate> candidates;
  std::vector<EngineSlot> weighed;
  const auto add = [&](const EngineView& engine, std::uint32_t blocks) {
    if (std::find(weighed.begin(), weighed.end(), engine.slot) != weighed.end()) return;
    weighed.push_back(engine.slot);
    candidates.push_back(weighOne(engine, blocks, inputs));
  };
  const std::vector<EngineView>& engines = inputs.snapshot.engines;
  const bool weigh_all = engines.size() <= kWeighAllBelow;
  for (const PrefixMatch& match : inputs.matches) {
    if (!weigh_all && candidates.size() >= kPrefixCandidates) break;
    const EngineView* engine = inputs.snapshot.engine(match.engine);
    if (engine != nullptr && inputs.eligibility.isEligible(*engine)) add(*engine, match.blocks);
  }
  const std::size_t wanted = candidates.size() + std::max<std::size_t>(inputs.knobs.random_candidates, 1);
  for (std::size_t draw = 0; !weigh_all && draw < kDrawsPerCandidate * wanted; ++draw) {
    if (candidates.size() >= wanted) break;
    const EngineView& engine = engines[random.uniform(0, engines.size() - 1)];
    if (inputs.eligibility.isEligible(engine)) add(engine, 0);
  }
  if (!weigh_all && !candidates.empty()) return candidates;
  for (const EngineView& engine : engines) {
    if (inputs.eligibility.isEligible(engine)) add(engine, 0);
  }
  return candidates;
}

Candidate CostPlacement::weighOne(const EngineView& engine, std::uint32_t cached_blocks,
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
    if (importGains(tokens, rate)) {
      import = kImportBase + tokens / kImportRate;
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
  // What the engine is believed to hold it may have evicted, or be about to import for another request. It
  // imports only what it lacks when it begins, so a second holder costs nothing while the belief is right.
  const ImportSource source = findSecondHolder(inputs, *best.engine);
  const std::uint32_t blocks = std::min(source.blocks, best.estimate.cached_blocks);
  if (!importGains(static_cast<double>(blocks) * kTokensPerBlock, prefillRate(*best.engine))) return;
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
                               std::max(toSeconds(inputs.knobs.first_token_target), kLeastTarget);
  const std::size_t recorded = std::min(candidates.size(), kRecordedCandidates);
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
