#pragma once
/// @file Orders to engines to load weights and adapters until the fleet matches the bundle. Loads are started
/// in waves to bound the load on the weight store. Decision logic only, without I/O; run by one lease holder.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bundle/bundle.h"
#include "placement/engine_view.h"

namespace crankspur {

/// What an order makes an engine load.
enum class FleetOrderKind { LoadWeights, LoadAdapter };

/// An order to one engine, sent with the lease's fencing token.
struct FleetOrder {
  FleetOrderKind kind = FleetOrderKind::LoadWeights;
  std::string engine;
  std::string address;
  std::uint64_t incarnation = 0;
  std::string model;
  std::string weights_version;
  std::string adapter;  ///< For LoadAdapter.
};

/// Parameters of the rollout.
struct FleetOrderOptions {
  Duration weights_timeout = std::chrono::minutes(5);  ///< An order without effect by then is repeated.
};

/// Rollout state: the orders in progress. A new lease holder starts without any and derives the state of the
/// fleet from the engines' reports. Not thread-safe.
class FleetOrders {
public:
  explicit FleetOrders(FleetOrderOptions options = {}) : options_(options) {}
  /// @param engines all engines of the fleet.
  /// @return orders to send now.
  std::vector<FleetOrder> due(const Bundle& bundle, const std::vector<EngineView>& engines, TimePoint now);
  /// An engine refused the order or did not respond; the order is no longer in progress and may be repeated.
  void onFailed(const FleetOrder& order);
  /// Discards all orders in progress because the lease was lost.
  void reset() { running_.clear(); }
  /// @return the number of orders in progress.
  std::size_t running() const { return running_.size(); }

private:
  struct Running {
    std::uint64_t incarnation = 0;
    std::string model;
    std::string target;  ///< Weights version or adapter.
    FleetOrderKind kind = FleetOrderKind::LoadWeights;
    TimePoint ends_at{};
  };
  void dropFinished(const std::vector<EngineView>& engines, TimePoint now);
  /// @return whether the engine may load weights of the model now. Limits the share of the engines serving
  /// the model that load at the same time.
  bool mayLoad(const ModelPolicy& model, const EngineView& engine,
               const std::vector<EngineView>& engines) const;
  /// @return the number of weight loads in progress.
  std::size_t loadingCount() const;

  FleetOrderOptions options_;
  std::map<std::string, Running> running_;  ///< By engine name; at most one order per engine.
};

}  // namespace crankspur
