#pragma once
/// @file Contends for the order lease while weights have to be rolled out and, while it holds the lease,
/// gives the orders with its fencing token. Lives on the control thread.

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

/// What the giver asks its owner, and tells it.
struct RolloutCoordinatorCallbacks {
  std::function<std::vector<Backend>()> backends;
  /// @return how many live gateways go before this one in giving orders.
  std::function<std::size_t()> rank;
  std::function<bool(const std::string& holder)> holder_is_live;  ///< Whether another holder may still live.
  /// A back end reported. `loading`: an order of this gateway is under way there.
  std::function<void(const std::string& backend, const WeightsReport&, bool loading)> on_report;
  std::function<void(const std::string& backend)> on_loading;  ///< An order was sent to the back end.
};

/// Options of the giver.
struct RolloutCoordinatorOptions {
  std::string holder;  ///< The same at each start of one machine.
  Duration takeover_delay = std::chrono::seconds(3);
  RolloutOptions rollout;
  std::uint64_t random_seed = 1;
};

/// The giver.
class RolloutCoordinator {
public:
  RolloutCoordinator(const boost::asio::any_io_executor& executor, RolloutCoordinatorOptions options,
                     PlatformLink& platform, RolloutCoordinatorCallbacks callbacks, EventLog& log);
  /// @return whether the version is new.
  bool onNamed(const NamedWeights& named);
  std::vector<NamedWeights> named() const { return rollout_.named(); }
  /// Another gateway gives orders at present.
  void onOthersActive() { contention_.onOthersActive(clock_.now()); }
  /// The back ends changed: there may be work.
  void wake();
  /// @return whether this gateway held the order lease when last looked at.
  bool holding() const { return holding_; }
  /// @return orders sent since the start.
  std::uint64_t ordersSent() const { return orders_sent_; }
  /// Gives no further order and leaves the lease to others.
  void stop();

private:
  void tick();
  void pollLease(TimePoint now);
  void onLeaseRead(const std::optional<LeaseRow>& row);
  void onLeaseWritten(bool written, const std::optional<LeaseRow>& row);
  void noteLeaseAnswer(bool answered, TimePoint now);
  void noteRow(const LeaseRow& row, TimePoint now);
  bool othersMayOrder(TimePoint now) const;
  void noteHolding(TimePoint now);
  void giveOrders(TimePoint now);
  void perform(const RolloutAction& action, std::uint64_t token);

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
  bool lease_answers_ = true;
  TimePoint lease_lost_at_{};
  std::uint64_t orders_sent_ = 0;
  LeaseRow row_;                  ///< As last seen.
  std::string other_holder_;      ///< The last one seen that is not this gateway.
  TimePoint other_renewed_at_{};  ///< When its last renewal was seen.
  LeaseContention contention_;
};

}  // namespace crankspur::gateway
