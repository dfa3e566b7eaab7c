#pragma once
/// @file Tells two observers of each decision, in order.

#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// Both must outlive the pair.
class observer_pair : public request_observer {
public:
  observer_pair(request_observer& first, request_observer& second) : first_(first), second_(second) {}

  void onAdmitted(const request_admitted& record) override {
    first_.onAdmitted(record);
    second_.onAdmitted(record);
  }
  void onPlaced(const request_placed& record) override {
    first_.onPlaced(record);
    second_.onPlaced(record);
  }
  void onWaiting(const request_waiting& record) override {
    first_.onWaiting(record);
    second_.onWaiting(record);
  }
  void onMoved(const request_moved& record) override {
    first_.onMoved(record);
    second_.onMoved(record);
  }
  void onEnded(const request_ended& record) override {
    first_.onEnded(record);
    second_.onEnded(record);
  }
  void onDistrusted(const backend_distrusted& record) override {
    first_.onDistrusted(record);
    second_.onDistrusted(record);
  }

private:
  request_observer& first_;
  request_observer& second_;
};

}  // namespace crankspur::gateway
