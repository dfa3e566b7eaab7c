#pragma once
/// @file The table row that references the accepted bundle, and the key of the object that stores its
/// document.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "internal_protocol/messages.h"

namespace crankspur {

/// Content of the row. A bundle is accepted by a compare-and-set on the row.
struct BundleRow {
  std::uint64_t version = 0;
  std::string document_sha256;
  std::string author_signature;
  std::string approver_signature;
  std::string rolled_by;   ///< Name of the operator that rolled out the bundle.
  std::string roll_token;  ///< Random; identifies the own write when its response was lost.
};

/// @return the table key of the row.
std::string bundleRowKey();

/// @return the object key of a document.
std::string bundleObjectKey(std::uint64_t version, std::string_view document_sha256);

/// @return the row serialised as JSON.
std::string encodeBundleRow(const BundleRow& row);

/// @return the row, or empty when `text` is not a valid bundle row.
std::optional<BundleRow> parseBundleRow(std::string_view text);

/// @return the signed body, or empty when the document's digest differs from the one in the row.
std::optional<BundleBody> bundleBodyFromRow(const BundleRow& row, std::string document);

}  // namespace crankspur
