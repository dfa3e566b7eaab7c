#pragma once
/// @file Rows and transactions of the table service.

#include <cstdint>
#include <string>
#include <vector>

namespace crankspur {

/// A row as read. Version 0 with an empty value means that the row is absent.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// Demands that a row has a version; 0 demands that it is absent.
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// New value of a row.
struct RowWrite {
  std::string key;
  std::string value;
};

/// All conditions hold and all writes happen, or nothing happens.
struct TableTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// Version that a write gave a row.
struct RowVersion {
  std::string key;
  std::uint64_t version = 0;
};

/// The transaction took effect.
struct TransactionCommitted {
  std::vector<RowVersion> versions;
};

/// The transaction took no effect; `rows` are the present rows of its conditions.
struct TransactionConflict {
  std::vector<TableRow> rows;
};

}  // namespace crankspur
