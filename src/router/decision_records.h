#pragma once
/// @file The newest decision records of a shard, bounded in number, for `crankspurctl explain`.

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>

#include "router/request_router.h"

namespace crankspur {

/// Ring of records found by request id; the oldest gives way.
class DecisionRecords {
public:
  explicit DecisionRecords(std::size_t limit) : limit_(limit) {}
  /// Adds a record or replaces the one of the same request.
  void put(const DecisionRecord& record);
  /// @return the record of the request, or empty when it is unknown or has given way.
  std::optional<DecisionRecord> find(const std::string& request_id) const;

private:
  std::size_t limit_;
  std::deque<std::string> order_;
  absl::flat_hash_map<std::string, DecisionRecord> records_;
};

}  // namespace crankspur
