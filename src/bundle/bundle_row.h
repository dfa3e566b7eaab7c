#pragma once
/// @file The table row that names the accepted bundle, and the key of the object that holds its document.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Content of the row. A compare-and-set on it is the acceptance of a bundle.
struct BundleRow {
  std::uint64_t version = 0;
  std::string document_sha256;
  std::string author_signature;
  std::string approver_signature;
  std::string rolled_by;   ///< The operator, as told to others.
  std::string roll_token;  ///< Random; tells one's own lost answer from another's roll.
};

/// @return the table key of the row.
std::string bundleRowKey();

/// @return the object key of a document.
std::string bundleObjectKey(std::uint64_t version, std::string_view document_sha256);

/// @return the text of the row.
std::string encodeBundleRow(const BundleRow& row);

/// @return the row, or empty when the text is no bundle row.
std::optional<BundleRow> parseBundleRow(std::string_view text);

/// @return the signed body, or empty when the document is not the one the row names.
std::optional<BundleBody> bundleBodyFromRow(const BundleRow& row, std::string document);

}  // namespace crankspur
