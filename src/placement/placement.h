#pragma once
/// @file Interface of the placement policies, which choose the engine for a request. Each policy is in a file
/// of its own and is created by a factory function.

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "placement/engine_view.h"

namespace crankspur {

/// The properties of a request that placement depends on.
struct PlacementRequest {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string weights_version;  ///< Required version; empty: the bundle's version.
  std::span<const BlockHash> blocks;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 1;
  Duration deadline{0};
  std::vector<EngineSlot> excluded;  ///< Engines that already failed this request.
};

/// Work that this router sent to engines, which their load reports may not include yet.
class OutstandingWork {
public:
  virtual ~OutstandingWork() = default;
  /// @return uncached prompt tokens sent to the engine since its load report was measured, of requests whose
  /// first token has not arrived.
  virtual std::uint32_t pendingTokens(EngineSlot engine) const = 0;
  /// @return requests of this router that are queued or running at the engine.
  virtual std::uint32_t inFlight(EngineSlot engine) const = 0;
  /// @return time until the engine has prefilled all prompts that this router sent it, in order of dispatch.
  virtual Duration backlog(EngineSlot /*engine*/, double /*tokens_per_second*/, TimePoint /*now*/) const {
    return Duration(0);
  }
};

/// Estimate for one candidate; kept for `crankspurctl explain`.
struct CandidateEstimate {
  EngineSlot engine = 0;
  std::uint32_t cached_blocks = 0;
  Duration queue{0};
  Duration prefill{0};
  Duration import{0};  ///< Time to import blocks; 0: no import.
  double cost = 0;     ///< The value that the policy minimizes, in seconds.
};

/// Result of a placement.
struct PlacementDecision {
  bool found = false;
  EngineSlot engine = 0;
  std::uint64_t incarnation = 0;  ///< Sent with the request; another incarnation refuses it.
  std::string weights_version;
  std::uint32_t cached_blocks = 0;  ///< Leading blocks assumed to be cached at the engine.
  Duration expected_first_token{0};
  /// Address of an engine or KV store that holds blocks; the engine imports those that it lacks when it
  /// starts the request. Empty: no import.
  std::string import_from;
  std::uint32_t import_blocks = 0;  ///< Leading blocks to be held after the import; 0: no import.
  double queue_utilization = 0;     ///< Mean wait at the candidates, as a share of the first-token target.
  std::vector<CandidateEstimate> candidates;  ///< Evaluated candidates, including the chosen one; bounded.
};

/// Outcome of a placed request, reported to the policy when its first token arrives.
struct PlacementFeedback {
  EngineSlot engine = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;   ///< Found in the engine's cache when the request arrived there.
  Duration expected_first_token{0};  ///< The value in the decision.
  Duration first_token{0};           ///< From dispatch to the first token.
};

/// A placement policy. Holds state across calls; not thread-safe.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// @return the name of the policy, as used by tools.
  virtual std::string name() const = 0;
  /// Chooses among the Live engines of the snapshot that serve the model and weights version to the tenant;
  /// `found` is false when there is none.
  virtual PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                                   const PrefixIndex& index, const OutstandingWork& work,
                                   RandomSource& random, TimePoint now) = 0;
  /// Adjusts the estimates of the policy by an outcome; does nothing by default.
  virtual void observe(const PlacementFeedback& /*feedback*/, TimePoint /*now*/) {}
};

/// The production policy: minimizes the estimated time to the first token from queue, uncached prefill and
/// import, plus the cost of evictions.
std::unique_ptr<PlacementPolicy> makeCostPlacement();
/// Baselines for experiments.
std::unique_ptr<PlacementPolicy> makeRoundRobinPlacement();
std::unique_ptr<PlacementPolicy> makeLeastLoadPlacement();
std::unique_ptr<PlacementPolicy> makePromptHeadHashPlacement();

/// @return slots of Live engines that may serve the request, in slot order.
std::vector<EngineSlot> eligibleEngines(const PlacementRequest& request, const RoutingSnapshot& snapshot);

}  // namespace crankspur
