#pragma once
/// @file The table row that names the accepted bundle, as docs/ARCHITECTURE.md states it.

#include <optional>
#include <string>
#include <string_view>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Key of the row.
inline const std::string kBundleRowKey = "crankspur/bundle";

/// What the row says. The document itself is in the object store.
struct AcceptedBundle {
  BundleBody body;         ///< Without the document.
  std::string object_key;  ///< Where the document is.
};

/// @return the decoded row, or empty when the text has another form.
std::optional<AcceptedBundle> decodeBundleRow(std::string_view text);

}  // namespace crankspur
