#include "placement/engine_view.h"

#include <algorithm>

namespace crankspur {

std::string EngineView::weightsOf(std::string_view model) const {
  const auto loaded = std::find_if(models.begin(), models.end(),
                                   [&](const LoadedModel& candidate) { return candidate.model == model; });
  return loaded == models.end() ? std::string() : loaded->weights_version;
}

const EngineView* RoutingSnapshot::engine(EngineSlot slot) const {
  // Slots are dense: as a rule the engine lies at its own number.
  if (slot < engines.size() && engines[slot].slot == slot) return &engines[slot];
  const auto place =
      std::lower_bound(engines.begin(), engines.end(), slot,
                       [](const EngineView& view, EngineSlot wanted) { return view.slot < wanted; });
  return place == engines.end() || place->slot != slot ? nullptr : &*place;
}

}  // namespace crankspur
