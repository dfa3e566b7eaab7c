#pragma once
/// @file Source of the platform's tables: the platform's store, or another gateway that reads it.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// Outcome of a call.
enum class TableOutcome {
  Done,
  Conflict,          ///< A precondition of a write failed; nothing was written.
  HistoryCompacted,  ///< The requested changes were discarded; the table must be read again.
  Rejected,          ///< The call was rejected and not executed.
  Unknown,           ///< No response, or a malformed one.
};

/// Response to a call about rows.
struct TableResponse {
  TableOutcome outcome = TableOutcome::Unknown;
  std::vector<RelayedRow> rows;
  bool more = false;           ///< Further rows follow the last one.
  std::uint64_t version = 0;   ///< Newest version in the store.
  std::uint64_t clock_ms = 0;  ///< The store's steady clock at the response; 0: not stated.
  /// Set if another gateway responded: everything written by then has been delivered. Empty: the store itself
  /// responded.
  std::optional<TimePoint> as_of;
};

using TableCallback = std::function<void(TableResponse)>;

/// Each call is a single exchange without retries.
class TableSource {
public:
  virtual ~TableSource() = default;
  /// Reads the rows of a table, starting at key `from`.
  virtual void read(const std::string& table, const std::string& from, TableCallback done) = 0;
  /// Waits up to `wait` for changes after `version`.
  virtual void waitForChanges(const std::string& table, std::uint64_t version, Duration wait,
                              TableCallback done) = 0;
  /// The response to a call for the table is late: the next call uses a new connection and, if there are
  /// several gateways, another one.
  virtual void onLate(const std::string& table) = 0;
};

}  // namespace crankspur::gateway
