#include "admission/fair_share.h"

#include <algorithm>
#include <limits>

namespace crankspur {

double fairShareLevel(std::vector<ShareDemand> demands, double capacity) {
  // Demands are satisfied in ascending order of demand per unit of weight.
  std::sort(demands.begin(), demands.end(), [](const ShareDemand& left, const ShareDemand& right) {
    return left.demand * right.weight < right.demand * left.weight;
  });
  double weight_left = 0;
  for (const ShareDemand& party : demands) weight_left += party.weight;
  double capacity_left = std::max(0.0, capacity);
  for (const ShareDemand& party : demands) {
    const double level = capacity_left / weight_left;
    if (party.demand > level * party.weight) return level;
    capacity_left -= party.demand;
    weight_left -= party.weight;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace crankspur
