#pragma once
/// @file Writes the suspicions of a gateway to the trace of a run.

#include "gateway/request_observer.h"
#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

/// Traces suspicions; ignores the other events of a gateway.
class SuspicionTrace : public gateway::RequestObserver {
public:
  SuspicionTrace(FleetContext& context, const sim::Host& host) : context_(context), host_(host) {}

  void onAdmitted(const gateway::RequestAdmitted&) override {}
  void onOriginDecided(const gateway::OriginDecided&) override {}
  void onPlaced(const gateway::RequestPlaced&) override {}
  void onWaiting(const gateway::RequestWaiting&) override {}
  void onMoved(const gateway::RequestMoved&) override {}
  void onEnded(const gateway::RequestEnded&) override {}
  void onOverQuota(const gateway::RequestOverQuota&) override {}
  void onEndUnobserved(const gateway::EndUnobserved&) override {}
  void onBackendLimitChanged(const gateway::BackendLimitChanged&) override {}
  void onRelayed(const gateway::RequestRelayed&) override {}
  void onBackendLimitInvalid(const gateway::BackendLimitInvalid&) override {}
  void onBackendPaused(const gateway::BackendPaused&) override {}
  void onBackendPauseInvalid(const gateway::BackendPauseInvalid&) override {}
  void onBackendLeaving(const gateway::BackendLeaving&) override {}
  void onBackendBrittle(const gateway::BackendBrittle&) override {}
  void onDistrusted(const gateway::BackendDistrusted&) override {}
  void onSuspected(const gateway::RequestSuspected& record) override {
    context_.trace.note(host_.name(), "suspects {}: {} crashes, the last at {}, {} for {:.3f} s",
                        record.request_id, record.crashes, record.backend, nameOf(record.suspicion),
                        toSeconds(record.quarantine));
  }
  void onSuspicionWithdrawn(const gateway::SuspicionWithdrawn& record) override {
    context_.trace.note(host_.name(), "withdraws evidence by {} at {}, it lives: {}", record.request_id,
                        record.backend, record.backend_live);
  }

private:
  FleetContext& context_;
  const sim::Host& host_;
};

}  // namespace crankspur::gateway_sim
