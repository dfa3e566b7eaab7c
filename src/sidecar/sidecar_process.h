#pragma once
/// @file The sidecar process: a control thread (bundle, machine list, admin port, signals) and a traffic
/// thread (callers and routers).

#include <memory>

#include "base/event_log.h"
#include "sidecar/sidecar_settings.h"

namespace crankspur {

/// The process. One instance lives in main().
class SidecarProcess {
public:
  virtual ~SidecarProcess() = default;
  /// Listens, prints "listening PORT admin PORT" on standard output and serves until a signal ends it.
  /// SIGTERM or SIGINT finishes what is in flight; a second one ends the process at once.
  /// @return the exit status of the process.
  virtual int run() = 0;
};

/// Exit statuses.
inline constexpr int kExitOk = 0;
inline constexpr int kExitSettings = 2;      ///< Settings or flags are wrong.
inline constexpr int kExitCannotListen = 3;  ///< An address cannot be listened on.

std::unique_ptr<SidecarProcess> makeSidecarProcess(SidecarSettings settings, EventLog& log);

}  // namespace crankspur
