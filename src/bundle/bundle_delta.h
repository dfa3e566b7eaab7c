#pragma once
/// @file Line-based deltas between bundle documents. A delta is not authenticated: the signatures must verify
/// over the resulting document. Algorithm: E. Myers, "An O(ND) Difference Algorithm and Its Variations",
/// 1986.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crankspur {

/// Maximum number of line insertions and deletions in a delta; bounds time and memory.
constexpr std::size_t kMaxDeltaEdits = 1000;

/// @return the delta from `before` to `after`, or empty when it exceeds kMaxDeltaEdits.
std::optional<std::string> makeDocumentDelta(std::string_view before, std::string_view after);

/// @return the result of applying the delta to `before`, or empty when the delta is malformed, was made from
/// a different document, or results in more than kMaxBundleBytes.
std::optional<std::string> applyDocumentDelta(std::string_view before, std::string_view delta);

}  // namespace crankspur
