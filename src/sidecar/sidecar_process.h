#pragma once
/// @file The sidecar process: a control thread (bundle, machine list, admin port, signals) and a traffic
/// thread (callers and routers).

#include <memory>

#include "base/event_log.h"
#include "sidecar/sidecar_settings.h"

namespace crankspur {

/// Process of the sidecar; main() owns the only instance.
class SidecarProcess {
public:
  virtual ~SidecarProcess() = default;
  /// Listens, prints "listening PORT admin PORT" on standard output and serves until stopped by a signal.
  /// SIGTERM or SIGINT drains requests in flight; a second signal stops the process immediately.
  /// @return the exit status of the process.
  virtual int run() = 0;
};

/// Exit statuses of the process.
inline constexpr int kExitOk = 0;
inline constexpr int kExitSettings = 2;      ///< Invalid settings or flags.
inline constexpr int kExitCannotListen = 3;  ///< Listening on an address failed.

std::unique_ptr<SidecarProcess> makeSidecarProcess(SidecarSettings settings, EventLog& log);

}  // namespace crankspur
