#pragma once
/// @file What changes between two bundles, entry by entry and field by field.

#include <string>
#include <vector>

#include "bundle/bundle.h"

namespace crankspur {

/// @return one line for each difference: "+ tenant a", "- model b", "~ tenant c weight: 1 -> 2". Empty when
/// the bundles mean the same, whatever their text.
std::vector<std::string> diffBundles(const Bundle& before, const Bundle& after);

}  // namespace crankspur
