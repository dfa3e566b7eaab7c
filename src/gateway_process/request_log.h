#pragma once
/// @file Writes one log line for each decision of a gateway, with the inputs that the decision was based on.

#include "base/event_log.h"
#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// Writes events 1220 to 1237.
class RequestLog : public RequestObserver {
public:
  /// @param log must outlive this object and never block.
  explicit RequestLog(EventLog& log) : log_(log) {}

  void onAdmitted(const RequestAdmitted& record) override;
  void onOriginDecided(const OriginDecided& record) override;
  void onPlaced(const RequestPlaced& record) override;
  void onWaiting(const RequestWaiting& record) override;
  void onMoved(const RequestMoved& record) override;
  void onEnded(const RequestEnded& record) override;
  void onOverQuota(const RequestOverQuota& record) override;
  void onDistrusted(const BackendDistrusted& record) override;
  void onSuspected(const RequestSuspected& record) override;
  void onSuspicionWithdrawn(const SuspicionWithdrawn& record) override;
  /// Writes nothing: the line of the request's move or end has its cause.
  void onEndUnobserved(const EndUnobserved&) override {}
  void onBackendLimitChanged(const BackendLimitChanged& record) override;
  void onRelayed(const RequestRelayed& record) override;
  void onBackendLimitInvalid(const BackendLimitInvalid& record) override;
  void onBackendPaused(const BackendPaused& record) override;
  void onBackendPauseInvalid(const BackendPauseInvalid& record) override;
  void onBackendLeaving(const BackendLeaving& record) override;
  void onBackendBrittle(const BackendBrittle& record) override;

private:
  EventLog& log_;
};

}  // namespace crankspur::gateway
