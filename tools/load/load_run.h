#pragma once
/// @file An open-loop run: requests leave at drawn instants whether or not earlier ones were answered.

#include <cstdint>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "tools/load/load_call.h"

namespace crankspur::load {

/// Options of one run.
struct LoadRunOptions {
  std::vector<Target> targets;  ///< Requests go to them in turn.
  double requests_per_second = 10;
  Duration duration = std::chrono::seconds(10);
  std::uint32_t threads = 2;
  std::uint32_t maximum_outstanding = 10'000;  ///< Over all threads; a request beyond it is not sent.
  std::string key_prefix;
  WorkloadOptions workload;
};

/// What a run gave.
struct LoadRunResult {
  std::vector<CallOutcome> outcomes;
  std::uint64_t not_sent = 0;  ///< Planned requests that maximum_outstanding held back.
  Duration duration{0};        ///< From the first planned start to the last.
};

/// Runs to the end: every request that was sent has its outcome.
LoadRunResult runLoad(const Bundle& bundle, const LoadRunOptions& options);

}  // namespace crankspur::load
