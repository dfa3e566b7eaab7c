#pragma once
/// @file Encoding of the rows stored in the table service, and their keys.

#include <optional>
#include <string>
#include <string_view>

#include "claim/claim.h"
#include "internal_protocol/claim_messages.h"
#include "lease/lease.h"
#include "table_service/table_types.h"

namespace crankspur {

/// @return the key of a lease row.
std::string leaseRowKey(std::string_view lease_name);

/// Encodes a claim row without its `row_version`. `result` must be valid UTF-8.
std::string encodeClaimRow(const ClaimRow& row);
/// @return the claim row; a default one with version 0 for an absent row; empty when the text is invalid.
std::optional<ClaimRow> decodeClaimRow(const TableRow& row);

/// Encodes the claim group's row without its `row_version`.
std::string encodeClaimGroupRow(const ClaimGroupRow& row);
/// @return the row; one with epoch 0 for an absent row; empty when the text is invalid.
std::optional<ClaimGroupRow> decodeClaimGroupRow(const TableRow& row);

/// Encodes a lease row without its `row_version`.
std::string encodeLeaseRow(const LeaseRow& row);
/// @return the lease row; a default one with version 0 for an absent row; empty when the text is invalid.
std::optional<LeaseRow> decodeLeaseRow(const TableRow& row);

}  // namespace crankspur
