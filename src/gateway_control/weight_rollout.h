#pragma once
/// @file Brings the back ends to the weights that the operator named, a few at a time and within a time
/// limit. Pure decision code; run by the holder of the order lease.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"
#include "router/fleet_orders.h"

namespace crankspur::gateway {

/// A call that the roll-out requests to one back end.
struct RolloutAction {
  enum class Kind { Report, Order } kind = Kind::Report;
  std::string backend;
  std::string address;
  std::string model;                        ///< For Order.
  std::uint64_t version = 0;                ///< For Order.
  std::uint64_t expected_orders_taken = 0;  ///< For Order: makes a late copy of an older order fail.
};

/// Options of the roll-out.
struct RolloutOptions {
  Duration limit = std::chrono::seconds(8);  ///< From naming a version to its use everywhere.
  std::uint32_t parallel = 2;                ///< Concurrent loads while time allows; more when not.
  /// Share of the back ends that may always load concurrently: the others carry the traffic, however many
  /// there are.
  double parallel_share = 0.2;
};

/// The roll-out. Not thread-safe.
class WeightRollout {
public:
  explicit WeightRollout(RolloutOptions options);

  /// @return whether the version is new.
  bool onNamed(const NamedWeights& named, TimePoint now);
  /// @return the newest version of each model.
  std::vector<NamedWeights> named() const;
  /// @return whether a back end that takes requests holds weights older than the named version.
  bool pending(const std::vector<Backend>& backends) const;
  /// @return when the oldest version that is not in use everywhere was named; empty when nothing is pending.
  std::optional<TimePoint> pendingSince(const std::vector<Backend>& backends) const;
  /// @return the calls to make now. To be called every kRolloutTick while the lease is held.
  std::vector<RolloutAction> due(const std::vector<Backend>& backends, TimePoint now);
  /// @param report empty: the back end did not respond.
  void onReport(const std::string& backend, const std::optional<WeightsReport>& report, TimePoint now);
  void onOrderResponse(const std::string& backend, OrderResponse response, TimePoint now);
  /// @return whether an order of this roll-out is under way at some back end.
  bool busy() const { return !runs_.empty(); }
  /// @return whether an order of this roll-out was sent to the back end and has not taken effect.
  bool isLoading(const std::string& backend) const;
  /// Discards the orders under way, because the lease was lost.
  void reset();

private:
  enum class Step { AwaitingReport, ToSend, Sending, Watching };
  struct Run {
    FleetOrder order;
    Step step = Step::AwaitingReport;
    bool call_running = false;
    std::uint64_t orders_taken = 0;
    TimePoint began_at{};
    TimePoint sent_at{};
    TimePoint next_report_at{};
  };
  struct Named {
    std::uint64_t version = 0;
    TimePoint named_at{};
  };

  void startRuns(const std::vector<Backend>& backends, TimePoint now);
  std::uint32_t parallelNow(std::size_t remaining, std::size_t serving, TimePoint now) const;
  Bundle policy(const std::vector<Backend>& backends, std::uint32_t parallel) const;
  void fail(const std::string& backend, TimePoint now);

  RolloutOptions options_;
  FleetOrders orders_;
  std::map<std::string, Named> named_;              ///< By model.
  std::map<std::string, Run> runs_;                 ///< By back end.
  std::map<std::string, TimePoint> backoff_until_;  ///< Back ends that failed, until when they get no calls.
  double load_seconds_ = 1.5;                       ///< Smoothed time of one load.
};

/// Interval of calls to WeightRollout::due().
inline constexpr Duration kRolloutTick = std::chrono::milliseconds(100);

}  // namespace crankspur::gateway
