#pragma once
/// @file JSON encoding of the table service's rows and transactions. Decoding is strict: any deviation from
/// the format yields an empty value.

#include <optional>
#include <string>
#include <string_view>

#include "table_service/table_types.h"

namespace crankspur {

std::string encodeRow(const TableRow& row);
std::optional<TableRow> decodeRow(std::string_view text);

std::string encodeTransaction(const TableTransaction& transaction);
std::optional<TableTransaction> decodeTransaction(std::string_view text);

std::string encodeCommitted(const TransactionCommitted& committed);
std::optional<TransactionCommitted> decodeCommitted(std::string_view text);

std::string encodeConflict(const TransactionConflict& conflict);
std::optional<TransactionConflict> decodeConflict(std::string_view text);

}  // namespace crankspur
