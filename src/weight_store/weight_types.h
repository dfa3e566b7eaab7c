#pragma once
/// @file What the weight store says of one transfer.

#include <cstdint>

#include "base/time.h"

namespace crankspur {

/// A transfer of weights that has begun.
struct WeightsTransfer {
  std::uint64_t bytes = 0;
  Duration duration{0};  ///< Longer when more than a few load at once.
};

}  // namespace crankspur
