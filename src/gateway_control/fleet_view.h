#pragma once
/// @file The back ends as seen by one gateway: the platform's list, corrected by observations of traffic and
/// orders. Pure decision code.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/gateway_snapshot.h"
#include "gateway_control/platform_link.h"
#include "placement/slot_pool.h"

namespace crankspur::gateway {

/// The source of a back end's assumed state.
enum class StateSource {
  list,          ///< The platform's list.
  own_traffic,   ///< Requests that this gateway sent.
  report,        ///< The back end's report, received directly or forwarded by another gateway.
  order,         ///< An order to load weights, sent by this gateway or another one.
  elapsed_time,  ///< The previous state expired.
};

/// @return the source as written in logs.
std::string_view nameOf(StateSource source);

/// A change of a back end's state, for the log.
struct FleetChange {
  std::string id;
  std::string pool;
  EngineState previous = EngineState::Dead;
  EngineState state = EngineState::Dead;
  std::string_view cause;  ///< For example "draining" or "unreachable".
  StateSource source = StateSource::list;
  Duration kept{0};  ///< Of a back end that leaves: how long it was used after its entry had disappeared.
};

/// A change of the weights that a back end is assumed to hold, for the log.
struct WeightsChange {
  std::string id;
  std::string model;
  std::string previous;
  std::string version;
  StateSource source = StateSource::list;
};

/// Assumed state of all back ends. Not thread-safe.
class FleetView {
public:
  /// @param departure_limit maximum time from the listing of a back end as leaving to the last new request
  /// for it.
  explicit FleetView(Duration departure_limit = std::chrono::seconds(2))
      : departure_limit_(departure_limit) {}

  void onListed(const ListedBackend& listed, TimePoint now);
  void onRemoved(const std::string& id, TimePoint now);
  /// The complete list was read: listed back ends that are not among `ids` are removed.
  void onFullList(const std::vector<std::string>& ids, TimePoint now);
  /// The platform was unavailable: entries that disappear soon after it may belong to healthy back ends.
  /// These stay in use for a grace period within the departure limit, which later failures do not prolong.
  void onPlatformFailure(TimePoint now);
  /// Traffic could not reach the back end.
  void onUnreachable(EngineSlot slot, std::uint64_t incarnation, TimePoint now);
  /// The back end has not responded to this gateway's calls that follow its cache since `since`. Expires
  /// after a while unless it is reported again.
  void onUnresponsive(const std::string& id, TimePoint since, TimePoint now);
  /// The back end responded to such a call after it had been unresponsive.
  /// @return whether it was still assumed to be.
  bool onResponsive(const std::string& id, TimePoint now);
  /// The back end responded to such a call.
  /// @return whether that was not known of it.
  bool onResponse(const std::string& id, TimePoint now);
  /// As above, for calls of another gateway.
  void onUnresponsiveReport(const std::string& id, TimePoint since, TimePoint now);
  bool onResponsiveReport(const std::string& id, TimePoint now);
  /// @return whether at least half of the back ends that this gateway calls do not respond to it: it is more
  /// likely to be cut off itself.
  bool isMostlyUnresponsive(TimePoint now) const;
  /// A report or response of the back end stated the version of the weights that it holds.
  void onWeights(const std::string& id, const std::string& model, const std::string& version, TimePoint now,
                 StateSource source = StateSource::report);
  /// As above, for a back end that holds one model.
  void onWeightsOfSlot(EngineSlot slot, std::uint64_t incarnation, const std::string& version, TimePoint now);
  /// The back end executes an order to load weights until `until` and takes no new request before.
  void onLoading(const std::string& id, TimePoint until);
  void onLoadReport(const std::string& id, const LoadReport& load, TimePoint now);

  /// Drops back ends that were removed long ago.
  /// @return all others, by slot.
  std::vector<Backend> backends(TimePoint now);
  /// @return the next time at which a state changes by elapsed time; TimePoint::max() if there is none.
  TimePoint nextChange(TimePoint now) const;
  /// @return state changes since the last call.
  std::vector<FleetChange> takeChanges();
  /// @return changes of weights since the last call.
  std::vector<WeightsChange> takeWeightsChanges();

private:
  /// Time during which a back end does not respond to calls.
  struct UnresponsiveTime {
    TimePoint since{};
    TimePoint until{};  ///< When the last report expires.

    bool includes(TimePoint now) const { return now < until; }
    TimePoint startIfIncludes(TimePoint now) const { return includes(now) ? since : TimePoint{}; }
    void extend(TimePoint reported_since, TimePoint now);
    /// @return whether it included `now`.
    bool end(TimePoint now);
  };
  struct Entry {
    Backend backend;
    std::uint64_t first_version = 0;  ///< Entry version when it was first listed at its address.
    std::uint64_t added_order = 0;    ///< Orders entries that state no version.
    bool listed = true;
    bool draining = false;
    TimePoint unlisted_at{};
    TimePoint leaving_from{};    ///< When an unlisted back end counts as leaving.
    TimePoint avoided_until{};   ///< Set when traffic fails to reach it.
    std::uint32_t failures = 0;  ///< Consecutive failures of traffic to reach it.
    TimePoint last_failure{};
    TimePoint loading_until{};
    UnresponsiveTime unresponsive;           ///< To this gateway's calls.
    UnresponsiveTime reported_unresponsive;  ///< To those of other gateways.
    TimePoint responded_at{};                ///< To the last of this gateway's calls.
    TimePoint weights_observed_at{};
    EngineState last_state = EngineState::Dead;
  };

  Entry* findSlot(EngineSlot slot, std::uint64_t incarnation);
  /// A state with its cause and source.
  struct EvaluatedState {
    EngineState state = EngineState::Live;
    std::string_view cause;
    StateSource source = StateSource::list;
  };
  using NewestByAddress = absl::flat_hash_map<std::string_view, const Entry*>;
  static EvaluatedState evaluate(const Entry& entry, const NewestByAddress& newest, TimePoint now);
  static bool answersCalls(const Entry& entry, TimePoint now);
  static bool startedBefore(const Entry& entry, const Entry& other);
  static bool isSuperseded(const Entry& entry, const NewestByAddress& newest);
  NewestByAddress newestListed() const;
  void raiseWeights(Entry& entry, const std::string& model, const std::string& version, StateSource source);
  void recordListedWeights(const Entry& entry, const std::vector<LoadedModel>& previous_models);

  Duration departure_limit_;
  std::map<std::string, Entry> entries_;
  std::uint64_t entries_added_ = 0;
  TimePoint platform_failed_at_{};
  bool platform_has_failed_ = false;
  SlotPool slots_;
  std::vector<FleetChange> changes_;
  std::vector<WeightsChange> weights_changes_;
};

/// @return the version as a number; 0 if it is not numeric.
std::uint64_t weightsVersionNumber(const std::string& version);

}  // namespace crankspur::gateway
