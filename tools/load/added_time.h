#pragma once
/// @file The time that sidecar and router add: the same requests straight to an engine and through sidecar
/// and router to the same engine, in one open-loop run that alternates between both ways.

#include <cstdint>
#include <string>

#include "tools/load/load_run.h"
#include "tools/load/report.h"

namespace crankspur::load {

/// What was measured. Times of single requests cannot be subtracted from each other, so percentiles are.
struct AddedTime {
  std::uint64_t direct_requests = 0;
  std::uint64_t routed_requests = 0;
  std::uint64_t bad_answers = 0;  ///< All that were not whole, either way.
  Percentiles direct_first_token;
  Percentiles routed_first_token;
  Percentiles direct_total;
  Percentiles routed_total;
};

/// @param options the sidecars; half of requests_per_second goes each way.
/// @param engine "IP:port" of the only engine behind the sidecars.
AddedTime measureAddedTime(const Bundle& bundle, const LoadRunOptions& options, const std::string& engine);

std::string addedTimeReport(const AddedTime& measured);

}  // namespace crankspur::load
