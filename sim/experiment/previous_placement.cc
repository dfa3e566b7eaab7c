/// @file Baseline: the first merged version of the cost policy, kept unchanged for comparison.

#include <algorithm>

#include "placement/eligibility.h"
#include "sim/experiment/baseline_policies.h"

namespace crankspur::experiment {
namespace {

/// Up to this many eligible engines, all of them are scored.
constexpr std::size_t kMaxEnginesToScoreAll = 32;
/// Number of holders of the longest prefixes that are scored.
constexpr std::size_t kMaxPrefixCandidates = 16;
/// Candidates kept in the decision record.
constexpr std::size_t kMaxRecordedCandidates = 8;
/// Prefill rate assumed when the load report has none, in tokens per second.
constexpr double kAssumedPrefillRate = 8000;

Duration toDuration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Inputs of one decision.
struct DecisionInputs {
  const PlacementRequest& request;
  const Knobs& knobs;
  const OutstandingWork& work;
  TimePoint now;
};

double prefillRate(const EngineView& engine) {
  const double rate = engine.load.prefill_tokens_per_second;
  return rate > 0 ? rate : kAssumedPrefillRate;
}

/// @return tokens ahead of this request at the engine: those of the load report minus the work done since it
/// was measured, plus own work that the report does not include yet.
double tokensAhead(const EngineView& engine, const DecisionInputs& inputs) {
  const double age = std::max(0.0, toSeconds(inputs.now - engine.load.measured_at));
  const double drained = age * prefillRate(engine);
  const double reported = std::max(0.0, engine.load.queued_tokens - drained);
  return reported + inputs.work.pendingTokens(engine.slot);
}

CandidateEstimate estimate(const EngineView& engine, std::uint32_t cached_blocks,
                           const DecisionInputs& inputs) {
  CandidateEstimate result;
  result.engine = engine.slot;
  result.cached_blocks = cached_blocks;
  const double cached_tokens = static_cast<double>(cached_blocks) * kTokensPerBlock;
  const double uncached = std::max(0.0, inputs.request.prompt_tokens - cached_tokens);
  const double queue = tokensAhead(engine, inputs) / prefillRate(engine);
  const double prefill = uncached / prefillRate(engine);
  result.queue = toDuration(queue);
  result.prefill = toDuration(prefill);
  result.cost = queue + prefill * inputs.knobs.decision_cached_token_value;
  return result;
}

class PreviousPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "previous"; }

  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex& index, const OutstandingWork& work, RandomSource& random,
                           TimePoint now) override {
    const std::vector<const EngineView*> eligible = findEligible(request, snapshot);
    if (eligible.empty()) return {};
    const DecisionInputs inputs{request, snapshot.bundle->knobs, work, now};
    std::vector<CandidateEstimate> candidates = scoreCandidates(eligible, snapshot, index, inputs, random);
    std::sort(candidates.begin(), candidates.end(),
              [](const CandidateEstimate& left, const CandidateEstimate& right) {
                return left.cost != right.cost ? left.cost < right.cost : left.engine < right.engine;
              });
    const CandidateEstimate& best = candidates.front();
    const EngineView& engine = *snapshot.engine(best.engine);
    PlacementDecision decision;
    decision.found = true;
    decision.engine = engine.slot;
    decision.incarnation = engine.incarnation;
    decision.weights_version = engine.weightsOf(request.model);
    decision.cached_blocks = best.cached_blocks;
    decision.expected_first_token = best.queue + best.prefill;
    candidates.resize(std::min(candidates.size(), kMaxRecordedCandidates));
    decision.candidates = std::move(candidates);
    return decision;
  }

private:
  /// Scores the holders of the longest prefixes and some random engines, or all engines when they are few.
  static std::vector<CandidateEstimate> scoreCandidates(const std::vector<const EngineView*>& eligible,
                                                        const RoutingSnapshot& snapshot,
                                                        const PrefixIndex& index,
                                                        const DecisionInputs& inputs, RandomSource& random) {
    std::vector<CandidateEstimate> candidates;
    std::vector<EngineSlot> scored;
    const auto add = [&](const EngineView& engine, std::uint32_t blocks) {
      if (std::find(scored.begin(), scored.end(), engine.slot) != scored.end()) return;
      scored.push_back(engine.slot);
      candidates.push_back(estimate(engine, blocks, inputs));
    };
    for (const PrefixMatch& match : index.match(inputs.request.blocks, inputs.now)) {
      if (candidates.size() >= kMaxPrefixCandidates) break;
      const EngineView* engine = snapshot.engine(match.engine);
      if (engine != nullptr && isEligible(eligible, match.engine)) add(*engine, match.blocks);
    }
    if (eligible.size() <= kMaxEnginesToScoreAll) {
      for (const EngineView* engine : eligible) add(*engine, 0);
      return candidates;
    }
    const std::size_t draws = std::max<std::size_t>(inputs.knobs.random_candidates, 1);
    for (std::size_t draw = 0; draw < draws; ++draw) {
      add(*eligible[random.uniform(0, eligible.size() - 1)], 0);
    }
    return candidates;
  }

  static bool isEligible(const std::vector<const EngineView*>& eligible, EngineSlot slot) {
    const auto found =
        std::lower_bound(eligible.begin(), eligible.end(), slot,
                         [](const EngineView* engine, EngineSlot target) { return engine->slot < target; });
    return found != eligible.end() && (*found)->slot == slot;
  }
};

}  // namespace

std::unique_ptr<PlacementPolicy> makePreviousPlacement() {
  return std::make_unique<PreviousPlacement>();
}

}  // namespace crankspur::experiment
