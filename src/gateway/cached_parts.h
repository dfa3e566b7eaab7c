#pragma once
/// @file Which parts of prompts a back end holds, on the way from the control side to traffic.

#include <cstdint>
#include <string>
#include <vector>

#include "prefix_index/prefix_index.h"

namespace crankspur::gateway {

/// One part as a cache holds it now.
struct CachedPart {
  std::string scope;  ///< ForwardTerms::cache_scope it was made under.
  std::string model;
  std::uint64_t part = 0;    ///< PromptPart::id.
  std::uint32_t tokens = 0;  ///< Leading tokens kept now; 0: none any more.
};

/// News of one cache, in its order.
struct CachedPartsUpdate {
  EngineSlot slot = 0;            ///< Of the back end.
  std::uint64_t incarnation = 0;  ///< Ignored by the index unless it is the snapshot's.
  bool complete = false;          ///< True: replaces all that was known (after a gap or a restart).
  std::vector<CachedPart> parts;
};

}  // namespace crankspur::gateway
