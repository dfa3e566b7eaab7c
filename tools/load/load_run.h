#pragma once
/// @file An open-loop run: requests are sent as a Poisson process, whether or not earlier ones have
/// completed.

#include <cstdint>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "tools/load/load_call.h"

namespace crankspur::load {

/// Options of one run.
struct LoadRunOptions {
  std::vector<Target> targets;  ///< Used in round-robin order.
  double requests_per_second = 10;
  Duration duration = std::chrono::seconds(10);
  std::uint32_t threads = 2;
  std::uint32_t max_outstanding = 10'000;  ///< Over all threads; requests above the limit are not sent.
  std::string key_prefix;
  WorkloadOptions workload;
};

/// Result of a run.
struct LoadRunResult {
  std::vector<CallOutcome> outcomes;
  std::uint64_t not_sent = 0;  ///< Scheduled requests dropped because of max_outstanding.
  Duration duration{0};        ///< Time in which requests were scheduled.
};

/// Returns when every request that was sent has an outcome.
LoadRunResult runLoad(const Bundle& bundle, const LoadRunOptions& options);

}  // namespace crankspur::load
