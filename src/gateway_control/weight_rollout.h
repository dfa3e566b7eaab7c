#pragma once
/// @file Rolls out the weights version named by the operator to the back ends, a few at a time and within a
/// time limit. Pure decision code; run by the holder of the order lease.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"
#include "router/fleet_orders.h"

namespace crankspur::gateway {

/// A call to one back end, to be executed by the caller.
struct RolloutAction {
  /// Report requests a WeightsReport; Order orders the back end to load the weights.
  enum class Kind { Report, Order } kind = Kind::Report;
  std::string backend;
  std::string address;
  std::string model;          ///< For Order.
  std::uint64_t version = 0;  ///< For Order.
  /// For Order: WeightsReport::orders_taken on which the order is based. The back end rejects the order when
  /// its count differs, so that a delayed duplicate of an earlier order has no effect.
  std::uint64_t expected_orders_taken = 0;
};

/// Options of the roll-out.
struct RolloutOptions {
  Duration limit = std::chrono::seconds(8);  ///< From naming a version to its use at all back ends.
  std::uint32_t parallel = 2;  ///< Concurrent loads; exceeded when the time limit would be missed otherwise.
  /// Share of the back ends that may load concurrently even if it exceeds `parallel`: the others can carry
  /// the traffic at any size of the fleet.
  double parallel_share = 0.2;
};

/// The roll-out. Not thread-safe.
class WeightRollout {
public:
  explicit WeightRollout(RolloutOptions options);

  /// Records the version that the operator named for a model.
  /// @return whether it is newer than the version recorded before.
  bool onNamed(const NamedWeights& named, TimePoint now);
  /// @return the newest version of each model.
  std::vector<NamedWeights> named() const;
  /// @return whether a back end that accepts requests has weights older than the named version.
  bool pending(const std::vector<Backend>& backends) const;
  /// @return when the earliest version that is not yet in use at all back ends was named; nullopt when no
  /// back end is pending.
  std::optional<TimePoint> pendingSince(const std::vector<Backend>& backends) const;
  /// @return the calls that are due. Call this every kRolloutTick while the order lease is held.
  std::vector<RolloutAction> due(const std::vector<Backend>& backends, TimePoint now);
  /// @param report empty: the back end did not respond.
  void onReport(const std::string& backend, const std::optional<WeightsReport>& report, TimePoint now);
  void onOrderResponse(const std::string& backend, OrderResponse response, TimePoint now);
  /// @return whether any order of this roll-out is in progress.
  bool busy() const { return !active_orders_.empty(); }
  /// @return whether an order of this roll-out was sent to the back end and has not taken effect.
  bool isLoading(const std::string& backend) const;
  /// Discards the orders in progress; called when the order lease was lost.
  void reset();

private:
  /// Sequence of an order: request a report, send the order, then request reports until it has taken effect.
  enum class Step { AwaitingReport, ReadyToSend, Sending, AwaitingEffect };
  /// An order in progress at one back end.
  struct ActiveOrder {
    FleetOrder order;
    Step step = Step::AwaitingReport;
    bool call_running = false;
    std::uint64_t orders_taken = 0;
    TimePoint began_at{};
    TimePoint sent_at{};
    TimePoint next_report_at{};
  };
  /// The newest version named for a model.
  struct NamedVersion {
    std::uint64_t version = 0;
    TimePoint named_at{};
  };

  void startOrders(const std::vector<Backend>& backends, TimePoint now);
  std::uint32_t parallelNow(std::size_t remaining, std::size_t serving, TimePoint now) const;
  Bundle policy(const std::vector<Backend>& backends, std::uint32_t parallel) const;
  void fail(const std::string& backend, TimePoint now);

  RolloutOptions options_;
  FleetOrders orders_;
  std::map<std::string, NamedVersion> named_;         ///< By model.
  std::map<std::string, ActiveOrder> active_orders_;  ///< By back end.
  std::map<std::string, TimePoint> backoff_until_;    ///< Failed back ends get no calls until then.
  double load_seconds_ = 1.5;                         ///< Moving average of the time of one load.
};

/// Interval of calls to WeightRollout::due().
inline constexpr Duration kRolloutTick = std::chrono::milliseconds(100);

}  // namespace crankspur::gateway
