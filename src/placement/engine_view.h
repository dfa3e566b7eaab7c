#pragma once
/// @file Immutable snapshot of the fleet's back ends, published by the control thread to the traffic shards.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "bundle/bundle.h"
#include "prefix_index/prefix_index.h"

namespace crankspur {

/// Whether a back end may receive new work.
enum class EngineState {
  Live,
  Leaving,  ///< Finishes its work; receives no new work.
  Ejected,  ///< Slow or failing; receives only occasional probes.
  Dead,
};

/// The phases of inference that an engine runs.
enum class EngineRole { Mixed, Prefill, Decode };

/// A model that an engine has loaded.
struct LoadedModel {
  std::string model;
  std::string weights_version;
  std::vector<std::string> adapters;
};

/// Load as reported by the engine; lags behind its actual load.
struct LoadReport {
  TimePoint measured_at{};          ///< Time of receipt minus the age stated by the engine.
  std::uint32_t queued_tokens = 0;  ///< Prompt tokens that wait for prefill.
  std::uint32_t queued_requests = 0;
  std::uint32_t running_requests = 0;
  std::uint32_t batch_limit = 0;  ///< Maximum number of requests run concurrently.
  std::uint32_t cache_blocks_total = 0;
  std::uint32_t cache_blocks_used = 0;
  double prefill_tokens_per_second = 8000;  ///< Measured by the engine.
};

/// One model engine or application runner.
struct EngineView {
  EngineSlot slot = 0;
  std::string name;
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string region;
  std::string pool;
  std::uint64_t incarnation = 0;  ///< 0 until the first contact with the engine.
  EngineState state = EngineState::Live;
  EngineRole role = EngineRole::Mixed;
  std::vector<LoadedModel> models;
  LoadReport load;

  /// @return the weights version loaded for `model`, or an empty string.
  std::string weightsOf(std::string_view model) const;
};

/// All input that a traffic shard needs for its decisions. Immutable once published.
struct RoutingSnapshot {
  std::shared_ptr<const Bundle> bundle;  ///< Null until the first bundle has been received.
  std::vector<EngineView> engines;       ///< Sorted by slot; model engines.
  std::vector<EngineView> runners;       ///< Application runners.
  std::string own_zone;
  std::string own_region;
  std::uint32_t router_count = 1;  ///< Live routers, this one included.
  bool claims_by_group = false;    ///< A claim group decides claims on work that must not run twice.

  /// @return the engine in the slot, or nullptr.
  const EngineView* engine(EngineSlot slot) const;
};

}  // namespace crankspur
