#pragma once
/// @file Rows and transactions of the table service.

#include <cstdint>
#include <string>
#include <vector>

namespace crankspur {

/// A row as read from the table. Version 0 with an empty value means that the row is absent.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// Requires that a row has this version; 0 requires that it is absent.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// New value of a row.
struct RowWrite {
  std::string key;
  std::string value;
};

/// Atomic: applies all writes if all conditions hold, otherwise none.
struct TableTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// Version of a row after a write.
struct RowVersion {
  std::string key;
  std::uint64_t version = 0;
};

/// The transaction took effect.
struct TransactionCommitted {
  std::vector<RowVersion> versions;
};

/// The transaction had no effect; `rows` holds the current rows of its conditions.
struct TransactionConflict {
  std::vector<TableRow> rows;
};

}  // namespace crankspur
