#pragma once
/// @file Client of the table service. Callbacks run on the executor's thread, never from inside the call.
/// Concurrent reads do not share one call: a read that started before a write may return the old row.

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "platform_service/service_caller.h"
#include "table_service/table_types.h"

namespace crankspur {

using ReadResult = std::variant<TableRow, ServiceUnavailable, ServiceRateLimited>;

/// After ServiceUnavailable with effect_unknown the write may still be in flight: read the rows, or retry
/// with the same conditions, before drawing conclusions.
using TransactionResult =
    std::variant<TransactionCommitted, TransactionConflict, ServiceUnavailable, ServiceRateLimited>;

/// Calls the table service. Destruction cancels pending calls without running their callbacks.
class TableClient {
public:
  virtual ~TableClient() = default;
  /// Replaces the rate limit.
  virtual void setLimit(RateLimit limit) = 0;
  virtual void read(const std::string& key, std::function<void(ReadResult)> done) = 0;
  virtual void commit(const TableTransaction& transaction, std::function<void(TransactionResult)> done) = 0;

  /// Writes one row if its version is `expected_version` (0: absent).
  void compareAndSet(const std::string& key, std::uint64_t expected_version, const std::string& value,
                     std::function<void(TransactionResult)> done) {
    commit({{{key, expected_version}}, {{key, value}}}, std::move(done));
  }
};

/// @param client and `clock` must outlive the table client.
std::unique_ptr<TableClient> makeTableClient(boost::asio::any_io_executor executor, http::Client& client,
                                             const Clock& clock, ServiceOptions options);

}  // namespace crankspur
