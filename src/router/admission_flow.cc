/// @file Admission of requests and of their retries.

#include "router/request_router_impl.h"

namespace crankspur {

bool RequestRouterImpl::admit(RequestEntry& entry, const AdmissionRequest& request, TimePoint now) {
  settleAdmission(entry, 0, now);
  const AdmissionDecision decision = options_.admission->admit(request, now);
  if (decision.admitted) {
    entry.admitted = request;
    return true;
  }
  refuse(entry, decision.code, decision.retry_after, decision.reason, now);
  return false;
}

void RequestRouterImpl::settleAdmission(RequestEntry& entry, std::uint32_t used_tokens, TimePoint now) {
  if (!entry.admitted) return;
  options_.admission->finished(*entry.admitted, used_tokens, now);
  entry.admitted.reset();
}

double RequestRouterImpl::utilization(const std::string& model) {
  const auto [cached, added] = utilization_.try_emplace(model, 0.0);
  if (!added) return cached->second;
  std::uint64_t busy = 0;
  std::uint64_t limit = 0;
  for (const EngineView& engine : snapshot_->engines) {
    if (engine.state != EngineState::Live || engine.weightsOf(model).empty()) continue;
    busy += engine.load.running_requests + engine.load.queued_requests;
    limit += engine.load.batch_limit;
  }
  if (limit > 0) cached->second = static_cast<double>(busy) / static_cast<double>(limit);
  return cached->second;
}

}  // namespace crankspur
