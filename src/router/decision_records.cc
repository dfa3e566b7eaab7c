#include "router/decision_records.h"

namespace crankspur {

void DecisionRecords::put(const DecisionRecord& record) {
  if (limit_ == 0) return;
  const bool added = records_.insert_or_assign(record.request_id, record).second;
  if (!added) return;
  order_.push_back(record.request_id);
  if (order_.size() <= limit_) return;
  records_.erase(order_.front());
  order_.pop_front();
}

std::optional<DecisionRecord> DecisionRecords::find(const std::string& request_id) const {
  const auto found = records_.find(request_id);
  if (found == records_.end()) return std::nullopt;
  return found->second;
}

}  // namespace crankspur
