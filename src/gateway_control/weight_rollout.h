#pragma once
/// @file Brings the back ends to the weights that the operator named, a few at a time and in the time
/// allowed. Pure decision code; the holder of the order lease runs it.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"
#include "router/fleet_orders.h"

namespace crankspur::gateway {

/// What the roll-out wants done at one back end.
struct RolloutAction {
  enum class Kind { Report, Order } kind = Kind::Report;
  std::string backend;
  std::string address;
  std::string model;                        ///< For Order.
  std::uint64_t version = 0;                ///< For Order.
  std::uint64_t expected_orders_taken = 0;  ///< For Order: a late copy of an older order then fails.
};

/// Tunables of the roll-out.
struct RolloutOptions {
  Duration limit = std::chrono::seconds(8);  ///< From the naming to the use everywhere.
  std::uint32_t parallel = 2;                ///< Loads at once while time allows; more when it does not.
  /// Share of the back ends that may load at once in any case: the others carry the traffic, whatever their
  /// number.
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
  /// @return whether some back end that takes requests holds older weights than named.
  bool pending(const std::vector<Backend>& backends) const;
  /// @return when the oldest version that is not everywhere was named; empty when nothing is pending.
  std::optional<TimePoint> pendingSince(const std::vector<Backend>& backends) const;
  /// @return what to do now. To be called every kRolloutTick while the lease is held.
  std::vector<RolloutAction> due(const std::vector<Backend>& backends, TimePoint now);
  /// @param report empty: the back end did not answer.
  void onReport(const std::string& backend, const std::optional<WeightsReport>& report, TimePoint now);
  void onAnswer(const std::string& backend, OrderResponse answer, TimePoint now);
  /// @return whether an order of this roll-out is under way at some back end.
  bool busy() const { return !runs_.empty(); }
  /// @return whether an order of this roll-out was sent to the back end and has not shown its effect.
  bool isLoading(const std::string& backend) const;
  /// Forgets what is under way: the lease was lost.
  void reset();

private:
  enum class Step { Asking, ToSend, Sending, Watching };
  struct Run {
    FleetOrder order;
    Step step = Step::Asking;
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
  std::map<std::string, Named> named_;        ///< By model.
  std::map<std::string, Run> runs_;           ///< By back end.
  std::map<std::string, TimePoint> resting_;  ///< Back ends that failed, until when they are left alone.
  double load_seconds_ = 1.5;                 ///< Smoothed time of one load.
};

/// Time between two looks of the roll-out.
inline constexpr Duration kRolloutTick = std::chrono::milliseconds(100);

}  // namespace crankspur::gateway
