#pragma once
/// @file The router process: creates the threads, runs until a signal arrives and shuts down in order.

#include <memory>

#include "base/event_log.h"
#include "router_process/router_settings.h"

namespace crankspur {

/// Exit codes of the process.
inline constexpr int kRouterExitOk = 0;
inline constexpr int kRouterExitSettings = 2;      ///< The settings are invalid.
inline constexpr int kRouterExitCannotListen = 3;  ///< A port cannot be bound.

/// See the file comment.
class RouterProcess {
public:
  virtual ~RouterProcess() = default;
  /// Prints "listening PORT admin PORT" and serves until SIGTERM or SIGINT. The first signal starts a planned
  /// shutdown that waits for requests in flight; a second signal ends the process immediately.
  /// @return an exit code.
  virtual int run() = 0;
};

/// @param log must outlive the returned object.
std::unique_ptr<RouterProcess> makeRouterProcess(RouterSettings settings, EventLog& log);

}  // namespace crankspur
