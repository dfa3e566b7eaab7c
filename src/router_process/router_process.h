#pragma once
/// @file The router process: builds the threads, runs until a signal, stops in order.

#include <memory>

#include "base/event_log.h"
#include "router_process/router_settings.h"

namespace crankspur {

/// Exit codes of the process.
inline constexpr int kRouterExitOk = 0;
inline constexpr int kRouterExitSettings = 2;      ///< The settings are wrong.
inline constexpr int kRouterExitCannotListen = 3;  ///< A port cannot be bound.

/// The process.
class RouterProcess {
public:
  virtual ~RouterProcess() = default;
  /// Prints "listening PORT admin PORT" and serves until SIGTERM or SIGINT. The first signal is a planned
  /// stop: nothing in flight is cut; a second one ends the process at once.
  /// @return an exit code.
  virtual int run() = 0;
};

/// @param log must outlive the process object.
std::unique_ptr<RouterProcess> makeRouterProcess(RouterSettings settings, EventLog& log);

}  // namespace crankspur
