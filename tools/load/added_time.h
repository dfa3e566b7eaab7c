#pragma once
/// @file Measures the latency that sidecar and router add: one open-loop run sends requests of the same
/// workload alternately straight to an engine and through sidecar and router to the same engine.

#include <cstdint>
#include <string>

#include "tools/load/load_run.h"
#include "tools/load/report.h"

namespace crankspur::load {

/// Result of a measurement. Direct and routed requests do not form pairs, so the added time is computed as
/// a difference of percentiles.
struct AddedTime {
  std::uint64_t direct_requests = 0;
  std::uint64_t routed_requests = 0;
  std::uint64_t incomplete_responses = 0;  ///< Direct and routed.
  Percentiles direct_first_token;
  Percentiles routed_first_token;
  Percentiles direct_total;
  Percentiles routed_total;
};

/// @param options its targets are the sidecars; half of the requests go to them, half to the engine.
/// @param engine "IP:port" of the only engine behind the sidecars.
AddedTime measureAddedTime(const Bundle& bundle, const LoadRunOptions& options, const std::string& engine);

std::string formatAddedTime(const AddedTime& added_time);

}  // namespace crankspur::load
