#include "placement/engine_view.h"

#include <algorithm>

namespace crankspur {

std::string EngineView::weightsOf(std::string_view model) const {
  const auto loaded = std::find_if(models.begin(), models.end(),
                                   [&](const LoadedModel& candidate) { return candidate.model == model; });
  return loaded == models.end() ? std::string() : loaded->weights_version;
}

const EngineView* RoutingSnapshot::engine(EngineSlot slot) const {
  // Slots are dense, so the engine is usually at the index of its slot.
  if (slot < engines.size() && engines[slot].slot == slot) return &engines[slot];
  const auto found =
      std::lower_bound(engines.begin(), engines.end(), slot,
                       [](const EngineView& view, EngineSlot wanted) { return view.slot < wanted; });
  return found == engines.end() || found->slot != slot ? nullptr : &*found;
}

}  // namespace crankspur
