/// @file Admission of requests and of their retries.

#include "router/request_router_impl.h"

namespace crankspur {

bool RequestRouterImpl::admit(RequestEntry& entry, const AdmissionRequest& request, TimePoint now) {
  finishAdmission(entry, 0, now);
  const AdmissionDecision decision = options_.admission->admit(request, now);
  if (decision.admitted) {
    entry.admitted = request;
    entry.priority = decision.priority;
    return true;
  }
  refuse(entry, decision.code, decision.retry_after, decision.reason, now);
  return false;
}

void RequestRouterImpl::finishAdmission(RequestEntry& entry, std::uint32_t used_tokens, TimePoint now) {
  if (!entry.admitted) return;
  options_.admission->finished(*entry.admitted, used_tokens, now);
  entry.admitted.reset();
}

const ModelCapacity& RequestRouterImpl::capacityOf(const ModelPolicy& model) {
  const auto [cached, added] = capacity_.try_emplace(model.name);
  if (added) cached->second = measureCapacity(*snapshot_, model);
  return cached->second;
}

}  // namespace crankspur
