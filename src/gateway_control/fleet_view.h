#pragma once
/// @file The back ends as one gateway sees them: the platform's list, corrected by what traffic and orders
/// learned. Pure decision code.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_snapshot.h"
#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

/// A change of a back end's state, for the log.
struct FleetChange {
  std::string id;
  std::string pool;
  EngineState previous = EngineState::Dead;
  EngineState state = EngineState::Dead;
};

/// The view. Not thread-safe.
class FleetView {
public:
  void onListed(const ListedBackend& listed, TimePoint now);
  void onGone(const std::string& id, TimePoint now);
  /// Back ends that are listed and not among `ids` are gone.
  void onWholeList(const std::vector<std::string>& ids, TimePoint now);
  /// The platform answers badly: entries that vanish soon after may belong to sound back ends.
  void onPlatformTrouble(TimePoint now);
  /// Traffic could not reach the back end.
  void onUnreachable(EngineSlot slot, std::uint64_t incarnation, TimePoint now);
  /// The back end itself, or an answer of it, stated the version of weights that it holds.
  void onWeights(const std::string& id, const std::string& model, const std::string& version, TimePoint now);
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

private:
  struct Entry {
    Backend backend;
    bool listed = true;
    bool draining = false;
    TimePoint unlisted_at{};
    TimePoint gone_from{};       ///< When an unlisted back end counts as leaving.
    TimePoint avoided_until{};   ///< Traffic failed to reach it.
    std::uint32_t failures = 0;  ///< In a row.
    TimePoint last_failure{};
    TimePoint loading_until{};
    TimePoint weights_learned_at{};
    EngineState last_state = EngineState::Dead;
  };

  Entry* findSlot(EngineSlot slot, std::uint64_t incarnation);
  EngineState stateOf(const Entry& entry, TimePoint now) const;
  bool superseded(const Entry& entry) const;
  static void raiseWeights(Entry& entry, const std::string& model, const std::string& version);

  std::map<std::string, Entry> entries_;
  std::map<std::string, std::string> newest_at_address_;  ///< Address to the id listed there last.
  TimePoint trouble_at_{};
  bool had_trouble_ = false;
  EngineSlot next_slot_ = 0;
  std::vector<FleetChange> changes_;
};

/// @return the version as a number; 0 when it is none.
std::uint64_t weightsNumber(const std::string& version);

}  // namespace crankspur::gateway
