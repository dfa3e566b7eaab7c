#pragma once
/// @file Which engines should load which weights and adapters now, so that the fleet comes to what the bundle
/// says, in waves that the weight store bears. Pure decision code; one lease holder runs it.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bundle/bundle.h"
#include "placement/engine_view.h"

namespace crankspur {

/// What an engine is told to load.
enum class FleetOrderKind { LoadWeights, LoadAdapter };

/// One order; sent with the lease's fencing token.
struct FleetOrder {
  FleetOrderKind kind = FleetOrderKind::LoadWeights;
  std::string engine;
  std::string address;
  std::uint64_t incarnation = 0;
  std::string model;
  std::string weights_version;
  std::string adapter;  ///< For LoadAdapter.
};

/// Tunables of the roll-out.
struct FleetOrderOptions {
  Duration weights_timeout = std::chrono::minutes(5);  ///< An order without effect by then is given again.
};

/// The roll-out. Holds which orders are under way; a new holder begins with none and learns from the engines.
class FleetOrders {
public:
  explicit FleetOrders(FleetOrderOptions options = {}) : options_(options) {}
  /// @param engines every engine of the fleet.
  /// @return orders to send now.
  std::vector<FleetOrder> due(const Bundle& bundle, const std::vector<EngineView>& engines, TimePoint now);
  /// An engine refused or did not answer: the order counts as not given.
  void onFailed(const FleetOrder& order);
  /// Forgets everything; the lease was lost.
  void reset() { running_.clear(); }
  /// @return orders under way.
  std::size_t running() const { return running_.size(); }

private:
  struct Running {
    std::uint64_t incarnation = 0;
    std::string model;
    std::string goal;  ///< Weights version or adapter.
    FleetOrderKind kind = FleetOrderKind::LoadWeights;
    TimePoint ends_at{};
  };
  void dropFinished(const std::vector<EngineView>& engines, TimePoint now);
  bool mayLoad(const ModelPolicy& model, const EngineView& engine,
               const std::vector<EngineView>& engines) const;
  std::size_t loading() const;

  FleetOrderOptions options_;
  std::map<std::string, Running> running_;  ///< By engine: one order at a time.
};

}  // namespace crankspur
