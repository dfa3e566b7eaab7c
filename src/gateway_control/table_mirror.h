#pragma once
/// @file A copy of one table of the platform's store, kept by a gateway that reads it, for those that do not.
/// Pure decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// The copy. Rows are told first, then the contact that vouches for them. Not thread-safe.
class TableMirror {
public:
  /// A row changed or was removed.
  void onRow(const RelayedRow& row);
  /// The table was read whole: rows that are not among `keys` are gone, and changes before are not known.
  void onWhole(const std::vector<std::string>& keys);
  /// All rows up to `version` have been told, and everything that was written by `as_of`.
  void onContact(std::uint64_t version, TimePoint as_of);

  /// @return whether the table was ever told whole.
  bool known() const { return version_ > 0; }
  std::uint64_t version() const { return version_; }
  TimePoint asOf() const { return as_of_; }
  /// @return rows changed and removed after `version`; empty optional: that is not known any more.
  std::optional<std::vector<RelayedRow>> changesAfter(std::uint64_t version) const;
  /// @return the rows that are there.
  std::vector<RelayedRow> rows() const;

private:
  void compactRemovals();

  std::map<std::string, RelayedRow> rows_;  ///< By key, removed ones among them.
  std::vector<std::string>
      unversioned_removals_;  ///< Keys of removals told without a version since the contact.
  std::uint64_t version_ = 0;
  std::uint64_t compacted_version_ = 0;  ///< Changes after this version are known.
  bool fully_read_ = false;              ///< Told whole since the last contact.
  TimePoint as_of_{};
};

}  // namespace crankspur::gateway
