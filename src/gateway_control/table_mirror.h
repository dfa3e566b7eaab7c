#pragma once
/// @file Copy of one table of the platform's store. A gateway that reads the store keeps it for gateways that
/// do not. Pure decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// The copy. Rows are passed first, then the contact that confirms them. Not thread-safe.
class TableMirror {
public:
  /// A row changed or was removed.
  void onRow(const RelayedRow& row);
  /// The complete table was read: rows that are not among `keys` are removed, and the history of earlier
  /// changes is not known.
  void onFullRead(const std::vector<std::string>& keys);
  /// All rows up to `version`, and everything written by `as_of`, have been passed.
  void onContact(std::uint64_t version, TimePoint as_of);

  /// @return whether the table has been read completely at least once.
  bool known() const { return version_ > 0; }
  std::uint64_t version() const { return version_; }
  TimePoint asOf() const { return as_of_; }
  /// @return rows changed or removed after `version`; nullopt if that part of the history was discarded.
  std::optional<std::vector<RelayedRow>> changesAfter(std::uint64_t version) const;
  /// @return all present rows.
  std::vector<RelayedRow> rows() const;

private:
  void compactRemovals();

  std::map<std::string, RelayedRow> rows_;         ///< By key; includes removed rows.
  std::vector<std::string> unversioned_removals_;  ///< Keys removed without a version since the last contact.
  std::uint64_t version_ = 0;
  std::uint64_t compacted_version_ = 0;  ///< Only changes after this version are known.
  bool fully_read_ = false;              ///< Completely read since the last contact.
  TimePoint as_of_{};
};

}  // namespace crankspur::gateway
