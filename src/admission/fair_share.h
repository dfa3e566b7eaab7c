#pragma once
/// @file Weighted max-min fair division of a capacity.

#include <vector>

namespace crankspur {

/// What one party asks for.
struct ShareDemand {
  double demand = 0;
  double weight = 1;
};

/// @return the amount per unit of weight that no party may exceed, so that nobody gets more than it demands,
/// what the modest leave goes to the others by weight, and all together get `capacity`. Infinite when the
/// capacity meets every demand.
double fairShareLevel(std::vector<ShareDemand> demands, double capacity);

}  // namespace crankspur
