#pragma once
/// @file Choice of the engine for one request. Each policy is one small file behind PlacementPolicy.

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "placement/engine_view.h"

namespace crankspur {

/// What placement needs to know of a request.
struct PlacementRequest {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string weights_version;  ///< Required version; empty: the bundle's.
  std::span<const BlockHash> blocks;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 1;
  Duration deadline{0};
  std::vector<EngineSlot> excluded;  ///< Engines that already failed this request.
};

/// Work this router sent to an engine and that its load report may not show yet.
class OutstandingWork {
public:
  virtual ~OutstandingWork() = default;
  /// @return uncached prompt tokens sent to the engine since its load report was measured and not yet
  /// started.
  virtual std::uint32_t pendingTokens(EngineSlot engine) const = 0;
  /// @return requests of this router that the engine runs or holds now.
  virtual std::uint32_t inFlight(EngineSlot engine) const = 0;
  /// @return time until the engine has prefilled all that this router sent it, first in, first out.
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
  Duration import{0};  ///< Time to import blocks; 0 when none are imported.
  double cost = 0;     ///< What the policy minimizes, in seconds.
};

/// Outcome of a choice.
struct PlacementDecision {
  bool found = false;
  EngineSlot engine = 0;
  std::uint64_t incarnation = 0;  ///< The request is sent with this; another incarnation refuses it.
  std::string weights_version;
  std::uint32_t cached_blocks = 0;  ///< Leading blocks believed to be cached there.
  Duration expected_first_token{0};
  /// Address of an engine or KV store that holds blocks, from which the engine imports what it lacks when it
  /// begins; empty: none.
  std::string import_from;
  std::uint32_t import_blocks = 0;  ///< Leading blocks that the engine shall hold then; 0: none.
  double queue_utilization = 0;  ///< Mean wait at the engines weighed, as a share of the first-token target.
  std::vector<CandidateEstimate> candidates;  ///< Those weighed, the chosen one included; bounded.
};

/// What became of a placed request, told to the policy once its first token came.
struct PlacementFeedback {
  EngineSlot engine = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;   ///< Found in the engine's cache on arrival.
  Duration expected_first_token{0};  ///< As the decision stated it.
  Duration first_token{0};           ///< From dispatch to the first token.
};

/// A placement policy. Holds state across calls; not thread-safe.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  /// @return the policy's name as used by tools.
  virtual std::string name() const = 0;
  /// Chooses among Live engines of the snapshot that serve the model and weights version to the tenant.
  virtual PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                                   const PrefixIndex& index, const OutstandingWork& work,
                                   RandomSource& random, TimePoint now) = 0;
  /// Learns from an outcome. Policies that learn nothing ignore it.
  virtual void observe(const PlacementFeedback& /*feedback*/, TimePoint /*now*/) {}
};

/// The product's policy: least estimated time to first token, weighing queue, uncached prefill and import.
std::unique_ptr<PlacementPolicy> makeCostPlacement();
/// Yardsticks for experiments.
std::unique_ptr<PlacementPolicy> makeRoundRobinPlacement();
std::unique_ptr<PlacementPolicy> makeLeastLoadPlacement();
std::unique_ptr<PlacementPolicy> makePromptHeadHashPlacement();

/// @return slots of Live engines that may serve the request, in slot order.
std::vector<EngineSlot> eligibleEngines(const PlacementRequest& request, const RoutingSnapshot& snapshot);

}  // namespace crankspur
