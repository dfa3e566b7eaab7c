#pragma once
/// @file Where a gateway reads the platform's tables from: the platform's store, or another gateway that
/// reads it.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// How a call went.
enum class TableOutcome {
  Done,
  Conflict,          ///< A condition of a write does not hold; nothing was done.
  HistoryCompacted,  ///< The changes asked for are forgotten: read everything again.
  Rejected,          ///< Turned away; nothing was done.
  Unknown,           ///< No answer, or a broken one.
};

/// Answer to a call about rows.
struct TableResponse {
  TableOutcome outcome = TableOutcome::Unknown;
  std::vector<RelayedRow> rows;
  bool more = false;           ///< Further rows follow the last one.
  std::uint64_t version = 0;   ///< The store's newest.
  std::uint64_t clock_ms = 0;  ///< The store's steady clock at the answer; 0: not told.
  /// Everything written by then has been told, as another gateway says; empty: the store itself answered.
  std::optional<TimePoint> as_of;
};

using TableCallback = std::function<void(TableResponse)>;

/// One call is one exchange; nothing is repeated here.
class TableSource {
public:
  virtual ~TableSource() = default;
  /// Reads the rows of a table from key `from` on.
  virtual void read(const std::string& table, const std::string& from, TableCallback done) = 0;
  /// Waits up to `wait` for changes after `version`.
  virtual void waitForChanges(const std::string& table, std::uint64_t version, Duration wait,
                              TableCallback done) = 0;
  /// The answer to a call for the table is late: the next one takes another way, a new connection and, where
  /// there are several, another gateway.
  virtual void onLate(const std::string& table) = 0;
};

}  // namespace crankspur::gateway
