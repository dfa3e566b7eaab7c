/// @file Construction of a RequestRouter with the production components.

#include "router/request_router.h"

namespace crankspur {

std::unique_ptr<RequestRouter> makeRequestRouter(RequestRouterOptions options) {
  if (!options.placement) options.placement = makeCostPlacement();
  if (!options.admission) options.admission = makeAdmission();
  if (!options.index) options.index = makePrefixIndex(options.index_entries);
  return makeRequestRouterFromParts(std::move(options));
}

}  // namespace crankspur
