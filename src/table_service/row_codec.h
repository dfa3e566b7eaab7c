#pragma once
/// @file Text forms of the rows that crankspur keeps in the table service, and their keys.

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

/// The text form of a claim row. `row_version` is not part of it. `result` must be valid UTF-8.
std::string encodeClaimRow(const ClaimRow& row);
/// @return the claim row; a default one with version 0 for an absent row; empty when the text is no claim
/// row.
std::optional<ClaimRow> decodeClaimRow(const TableRow& row);

/// The text form of the claim group's row. `row_version` is not part of it.
std::string encodeClaimGroupRow(const ClaimGroupRow& row);
/// @return the row; one of epoch 0 for an absent row; empty when the text is no such row.
std::optional<ClaimGroupRow> decodeClaimGroupRow(const TableRow& row);

/// The text form of a lease row. `row_version` is not part of it.
std::string encodeLeaseRow(const LeaseRow& row);
/// @return the lease row; a default one with version 0 for an absent row; empty when the text is no lease
/// row.
std::optional<LeaseRow> decodeLeaseRow(const TableRow& row);

}  // namespace crankspur
