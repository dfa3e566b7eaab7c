#pragma once
/// @file Contends for the order lease while weights have to be rolled out and, while it holds the lease,
/// sends the orders with its fencing token. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "gateway_control/lease_contention.h"
#include "gateway_control/platform_link.h"
#include "gateway_control/weight_rollout.h"

namespace crankspur::gateway {

/// Queries and notifications to the owner of the coordinator.
struct RolloutCoordinatorCallbacks {
  std::function<std::vector<Backend>()> backends;
  /// @return how many live gateways rank before this one in contending for the lease.
  std::function<std::size_t()> rank;
  /// @return whether another holder may still be live.
  std::function<bool(const std::string& holder)> holder_is_live;
  /// A back end reported. `loading`: an order of this gateway is under way there.
  std::function<void(const std::string& backend, const WeightsReport&, bool loading)> on_report;
  std::function<void(const std::string& backend)> on_loading;  ///< An order was sent to the back end.
};

/// Options of the coordinator.
struct RolloutCoordinatorOptions {
  std::string holder;  ///< The same at each start of one machine.
  /// Time to wait after another holder's lease has run out before orders are sent.
  Duration takeover_delay = std::chrono::seconds(3);
  RolloutOptions rollout;
  std::uint64_t random_seed = 1;
};

/// See the file comment.
class RolloutCoordinator {
public:
  RolloutCoordinator(const boost::asio::any_io_executor& executor, RolloutCoordinatorOptions options,
                     PlatformLink& platform, RolloutCoordinatorCallbacks callbacks, EventLog& log);
  /// @return whether the version is new.
  bool onNamed(const NamedWeights& named);
  std::vector<NamedWeights> named() const { return rollout_.named(); }
  /// Another gateway is sending orders.
  void onOthersActive() { contention_.onOthersActive(clock_.now()); }
  /// The back ends changed: there may be pending work.
  void wake();
  /// @return whether this gateway held the order lease at the last check.
  bool holding() const { return holding_; }
  /// @return orders sent since the start.
  std::uint64_t ordersSent() const { return orders_sent_; }
  /// Sends no further orders and releases the lease.
  void stop();

private:
  void tick();
  void pollLease(TimePoint now);
  void onLeaseRead(const std::optional<LeaseRow>& row);
  void onLeaseWritten(bool written, const std::optional<LeaseRow>& row);
  void recordLeaseResponse(bool responded, TimePoint now);
  void recordRow(const LeaseRow& row, TimePoint now);
  bool othersMayOrder(TimePoint now) const;
  void updateHolding(TimePoint now);
  void sendOrders(TimePoint now);
  void execute(const RolloutAction& action, std::uint64_t token);

  RolloutCoordinatorOptions options_;
  PlatformLink& platform_;
  RolloutCoordinatorCallbacks callbacks_;
  EventLog& log_;
  SteadyClock clock_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Lease> lease_;
  WeightRollout rollout_;
  bool ticking_ = false;
  bool stopped_ = false;
  bool holding_ = false;
  bool lease_reachable_ = true;
  TimePoint lease_lost_at_{};
  std::uint64_t orders_sent_ = 0;
  LeaseRow row_;                  ///< As last received.
  std::string other_holder_;      ///< The last holder observed that is not this gateway.
  TimePoint other_renewed_at_{};  ///< When its last renewal was observed.
  LeaseContention contention_;
};

}  // namespace crankspur::gateway
