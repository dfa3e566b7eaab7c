#pragma once
/// @file Line-based deltas between bundle documents. A delta carries no trust: signatures must verify over
/// the document that it yields. Source of the algorithm: E. Myers, "An O(ND) Difference Algorithm and Its
/// Variations", 1986.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur {

/// Line insertions and deletions beyond which no delta is made; bounds time and memory.
constexpr std::size_t kMaximumDeltaEdits = 1000;

/// @return the delta that turns `before` into `after`, or empty when they differ too much for one.
std::optional<std::string> makeDocumentDelta(std::string_view before, std::string_view after);

/// @return what the delta yields from `before`, or empty when the delta is malformed, was made from another
/// document, or yields more than kMaximumBundleBytes.
std::optional<std::string> applyDocumentDelta(std::string_view before, std::string_view delta);

}  // namespace crankspur
