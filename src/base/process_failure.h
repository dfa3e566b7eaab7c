#pragma once
/// @file What a process writes when it ends by a fatal signal or by an exception that nothing handles: its
/// queued log lines and, on standard error, the signal and a stack trace. SIGKILL leaves nothing.

#include "base/bounded_event_log.h"

namespace crankspur {

/// Installs the handlers. One for SIGTERM is among them; ProcessSignals blocks that signal.
void installFailureHandlers();

/// During its lifetime such an end also writes the queued lines of a log.
class FailureReport {
public:
  /// @param log must outlive this object.
  explicit FailureReport(BoundedEventLog& log);
  ~FailureReport();
  FailureReport(const FailureReport&) = delete;
  FailureReport& operator=(const FailureReport&) = delete;
};

}  // namespace crankspur
