#pragma once
/// @file Writes the decisions of a gateway as log lines: one line for each, with the inputs that decided it.

#include "base/event_log.h"
#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// The lines are events 1220 to 1228.
class request_log : public request_observer {
public:
  /// @param log must outlive this object and never block.
  explicit request_log(EventLog& log) : log_(log) {}

  void onAdmitted(const request_admitted& record) override;
  void onPlaced(const request_placed& record) override;
  void onWaiting(const request_waiting& record) override;
  void onMoved(const request_moved& record) override;
  void onEnded(const request_ended& record) override;
  void onDistrusted(const backend_distrusted& record) override;

private:
  EventLog& log_;
};

}  // namespace crankspur::gateway
