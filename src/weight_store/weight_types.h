#pragma once
/// @file Transfers of the weight store.

#include <cstdint>

#include "base/time.h"

namespace crankspur {

/// A transfer of weights that has started.
struct WeightsTransfer {
  std::uint64_t bytes = 0;
  Duration duration{0};  ///< Grows with the number of concurrent transfers beyond a few.
};

}  // namespace crankspur
