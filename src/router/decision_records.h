#pragma once
/// @file Bounded store of a shard's most recent decision records, for `crankspurctl explain`.

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>

#include "router/request_router.h"

namespace crankspur {

/// Records by request id; the oldest is evicted at the limit.
class DecisionRecords {
public:
  explicit DecisionRecords(std::size_t limit) : limit_(limit) {}
  /// Adds a record, or replaces the record of the same request.
  void put(const DecisionRecord& record);
  /// @return the record of the request, or empty when it is unknown or was evicted.
  std::optional<DecisionRecord> find(const std::string& request_id) const;

private:
  std::size_t limit_;
  std::deque<std::string> order_;
  absl::flat_hash_map<std::string, DecisionRecord> records_;
};

}  // namespace crankspur
