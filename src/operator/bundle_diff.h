#pragma once
/// @file Differences between two bundles by entry and field.

#include <string>
#include <vector>

#include "bundle/bundle.h"

namespace crankspur {

/// @return one line per difference: "+ tenant a", "- model b", "~ tenant c weight: 1 -> 2". Empty if the
/// bundles are equivalent, even if their text differs.
std::vector<std::string> diffBundles(const Bundle& before, const Bundle& after);

}  // namespace crankspur
