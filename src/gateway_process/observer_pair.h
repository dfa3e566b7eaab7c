#pragma once
/// @file Request observer that forwards each decision to two observers, in order.

#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// Forwards to `first`, then to `second`. Both must outlive this object.
class ObserverPair : public RequestObserver {
public:
  ObserverPair(RequestObserver& first, RequestObserver& second) : first_(first), second_(second) {}

  void onAdmitted(const RequestAdmitted& record) override {
    first_.onAdmitted(record);
    second_.onAdmitted(record);
  }
  void onOriginDecided(const OriginDecided& record) override {
    first_.onOriginDecided(record);
    second_.onOriginDecided(record);
  }
  void onPlaced(const RequestPlaced& record) override {
    first_.onPlaced(record);
    second_.onPlaced(record);
  }
  void onWaiting(const RequestWaiting& record) override {
    first_.onWaiting(record);
    second_.onWaiting(record);
  }
  void onMoved(const RequestMoved& record) override {
    first_.onMoved(record);
    second_.onMoved(record);
  }
  void onEnded(const RequestEnded& record) override {
    first_.onEnded(record);
    second_.onEnded(record);
  }
  void onOverQuota(const RequestOverQuota& record) override {
    first_.onOverQuota(record);
    second_.onOverQuota(record);
  }
  void onDistrusted(const BackendDistrusted& record) override {
    first_.onDistrusted(record);
    second_.onDistrusted(record);
  }
  void onSuspected(const RequestSuspected& record) override {
    first_.onSuspected(record);
    second_.onSuspected(record);
  }
  void onSuspicionWithdrawn(const SuspicionWithdrawn& record) override {
    first_.onSuspicionWithdrawn(record);
    second_.onSuspicionWithdrawn(record);
  }
  void onEndUnobserved(const EndUnobserved& record) override {
    first_.onEndUnobserved(record);
    second_.onEndUnobserved(record);
  }
  void onBackendLimitChanged(const BackendLimitChanged& record) override {
    first_.onBackendLimitChanged(record);
    second_.onBackendLimitChanged(record);
  }
  void onRelayed(const RequestRelayed& record) override {
    first_.onRelayed(record);
    second_.onRelayed(record);
  }
  void onBackendLimitInvalid(const BackendLimitInvalid& record) override {
    first_.onBackendLimitInvalid(record);
    second_.onBackendLimitInvalid(record);
  }
  void onBackendPaused(const BackendPaused& record) override {
    first_.onBackendPaused(record);
    second_.onBackendPaused(record);
  }
  void onBackendPauseInvalid(const BackendPauseInvalid& record) override {
    first_.onBackendPauseInvalid(record);
    second_.onBackendPauseInvalid(record);
  }
  void onBackendLeaving(const BackendLeaving& record) override {
    first_.onBackendLeaving(record);
    second_.onBackendLeaving(record);
  }
  void onBackendBrittle(const BackendBrittle& record) override {
    first_.onBackendBrittle(record);
    second_.onBackendBrittle(record);
  }

private:
  RequestObserver& first_;
  RequestObserver& second_;
};

}  // namespace crankspur::gateway
