#include "base/process_failure.h"

#include <absl/debugging/failure_signal_handler.h>

#include <atomic>
#include <cstdlib>
#include <exception>

namespace crankspur {
namespace {

/// Signal handlers have no arguments of their own.
std::atomic<BoundedEventLog*> failure_log = nullptr;

/// Called by the signal handler for each piece of its report, which it writes to standard error itself.
void flushLog(const char*) {
  if (BoundedEventLog* log = failure_log.load(); log != nullptr) log->flushBeforeFailure();
}

std::string describe(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a std::exception";
  }
}

[[noreturn]] void onTerminate() {
  const std::exception_ptr exception = std::current_exception();
  BoundedEventLog* const log = failure_log.load();
  if (log != nullptr) {
    log->writeBeforeFailure(EventId::ProcessFailed,
                            {{"what", exception ? describe(exception) : "no exception"}});
  }
  std::abort();  // The signal handler flushes the line.
}

}  // namespace

void installFailureHandlers() {
  absl::FailureSignalHandlerOptions options;
  options.writerfn = flushLog;
  absl::InstallFailureSignalHandler(options);
  std::set_terminate(onTerminate);
}

FailureReport::FailureReport(BoundedEventLog& log) {
  failure_log = &log;
}

FailureReport::~FailureReport() {
  failure_log = nullptr;
}

}  // namespace crankspur
