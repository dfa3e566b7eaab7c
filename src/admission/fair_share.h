#pragma once
/// @file Weighted max-min fair sharing of a capacity.

#include <vector>

namespace crankspur {

/// Demand and weight of one party.
struct ShareDemand {
  double demand = 0;
  double weight = 1;
};

/// @return the weighted max-min fair level: the amount per unit of weight that no party may exceed, such that
/// no party gets more than its demand, capacity that small demands leave unused is divided among the others
/// by weight, and the total is `capacity`. Infinite when the capacity meets every demand.
double fairShareLevel(std::vector<ShareDemand> demands, double capacity);

}  // namespace crankspur
