#pragma once
/// @file Updates of the prompt parts that a back end has cached, sent by the control side to traffic shards.

#include <cstdint>
#include <string>
#include <vector>

#include "prefix_index/prefix_index.h"

namespace crankspur::gateway {

/// Current state of one part in a cache.
struct CachedPart {
  std::string scope;  ///< ForwardTerms::cache_scope that it was cached under.
  std::string model;
  std::uint64_t part = 0;    ///< PromptPart::id.
  std::uint32_t tokens = 0;  ///< Leading tokens that are cached; 0: the part was evicted.
};

/// Update of one cache. Updates of a cache are delivered in its order.
struct CachedPartsUpdate {
  EngineSlot slot = 0;            ///< Of the back end.
  std::uint64_t incarnation = 0;  ///< Ignored by the index unless it is the snapshot's.
  bool complete = false;          ///< Replaces all previous state (after a gap or a restart).
  std::vector<CachedPart> parts;
};

}  // namespace crankspur::gateway
