#pragma once
/// @file The back ends as one gateway sees them: the platform's list, corrected by what traffic and orders
/// learned. Pure decision code.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_snapshot.h"
#include "gateway_control/platform_link.h"
#include "placement/slot_pool.h"

namespace crankspur::gateway {

/// What a belief about a back end rests on.
enum class StateSource {
  list,          ///< The platform's list.
  own_traffic,   ///< Requests that this gateway sent.
  report,        ///< The back end's report, to this gateway or to another one that told it on.
  order,         ///< An order to load weights, by this gateway or another one.
  elapsed_time,  ///< What previous_models before has run out.
};

/// @return the source as it stands in logs.
std::string_view nameOf(StateSource source);

/// A change of a back end's state, for the log.
struct FleetChange {
  std::string id;
  std::string pool;
  EngineState previous = EngineState::Dead;
  EngineState state = EngineState::Dead;
  std::string_view cause;  ///< For example "draining" or "unreachable".
  StateSource source = StateSource::list;
};

/// A change of the weights that a back end is believed to hold, for the log.
struct WeightsChange {
  std::string id;
  std::string model;
  std::string previous;
  std::string version;
  StateSource source = StateSource::list;
};

/// The view. Not thread-safe.
class FleetView {
public:
  void onListed(const ListedBackend& listed, TimePoint now);
  void onRemoved(const std::string& id, TimePoint now);
  /// Back ends that are listed and not among `ids` are gone.
  void onFullList(const std::vector<std::string>& ids, TimePoint now);
  /// The platform answers badly: entries that vanish soon after may belong to sound back ends.
  void onPlatformFailure(TimePoint now);
  /// Traffic could not reach the back end.
  void onUnreachable(EngineSlot slot, std::uint64_t incarnation, TimePoint now);
  /// It has not answered those who follow its cache since `since`. Holds for a while unless it is told again.
  void onUnresponsive(const std::string& id, TimePoint since, TimePoint now);
  /// It has answered one of them.
  /// @return whether it was taken to be silent.
  bool onResponsive(const std::string& id, TimePoint now);
  /// The back end itself, or an answer of it, stated the version of weights that it holds.
  void onWeights(const std::string& id, const std::string& model, const std::string& version, TimePoint now,
                 StateSource source = StateSource::report);
  /// As above, for a back end that holds one model.
  void onWeightsOfSlot(EngineSlot slot, std::uint64_t incarnation, const std::string& version, TimePoint now);
  /// An order to load weights is running at the back end until `until`; it takes no new request meanwhile.
  void onLoading(const std::string& id, TimePoint until);
  void onLoadReport(const std::string& id, const LoadReport& load, TimePoint now);

  /// @return back ends that may still matter, by slot. Forgets those long gone.
  std::vector<Backend> backends(TimePoint now);
  /// @return when a state changes by time alone; TimePoint::max() if none does.
  TimePoint nextChange(TimePoint now) const;
  /// @return state changes since the last call.
  std::vector<FleetChange> takeChanges();
  /// @return changes of weights since the last call.
  std::vector<WeightsChange> takeWeightsChanges();

private:
  struct Entry {
    Backend backend;
    bool listed = true;
    bool draining = false;
    TimePoint unlisted_at{};
    TimePoint leaving_from{};    ///< When an unlisted back end counts as leaving.
    TimePoint avoided_until{};   ///< Traffic failed to reach it.
    std::uint32_t failures = 0;  ///< In a row.
    TimePoint last_failure{};
    TimePoint loading_until{};
    TimePoint silent_since{};
    TimePoint unresponsive_until{};  ///< When the last word of its silence is too old to count.
    TimePoint weights_learned_at{};
    EngineState last_state = EngineState::Dead;
  };

  Entry* findSlot(EngineSlot slot, std::uint64_t incarnation);
  /// A state with what it rests on.
  struct EvaluatedState {
    EngineState state = EngineState::Live;
    std::string_view cause;
    StateSource source = StateSource::list;
  };
  EvaluatedState evaluate(const Entry& entry, TimePoint now) const;
  bool superseded(const Entry& entry) const;
  void raiseWeights(Entry& entry, const std::string& model, const std::string& version, StateSource source);
  void recordListedWeights(const Entry& entry, const std::vector<LoadedModel>& previous_models);

  std::map<std::string, Entry> entries_;
  std::map<std::string, std::string> newest_at_address_;  ///< Address to the id listed there last.
  TimePoint platform_failed_at_{};
  bool platform_has_failed_ = false;
  SlotPool slots_;
  std::vector<FleetChange> changes_;
  std::vector<WeightsChange> weights_changes_;
};

/// @return the version as a number; 0 when it is none.
std::uint64_t weightsNumber(const std::string& version);

}  // namespace crankspur::gateway
