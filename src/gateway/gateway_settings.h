#pragma once
/// @file Settings of a gateway's decisions that hold for the life of the process.

#include <cstddef>

#include "base/time.h"
#include "gateway/crash_policy.h"

namespace crankspur::gateway {

/// How many repeats (dispatches beyond the first of a request) the gateways together may make to one pool:
/// `ratio` of the requests for it in `window`, plus `slack`.
struct RetryBudgetSettings {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 20;
};

/// Settings of one Gateway.
struct GatewaySettings {
  RetryBudgetSettings retry_budget;
  /// Time after a newer version was named for which back ends with older weights may begin requests.
  Duration older_weights_grace = std::chrono::seconds(6);
  /// From the end of that grace until nothing may begin on older weights any more; a back end whose queue is
  /// longer gets no request for older weights this much earlier.
  Duration older_weights_margin = std::chrono::seconds(2);
  /// Silence of a back end, towards all that wait for it, after which requests that may be repeated move on.
  Duration silence_limit = std::chrono::milliseconds(1500);
  /// The same at a back end that is known to be silent, which takes no evidence of the request's own.
  Duration unresponsive_silence_limit = std::chrono::milliseconds(300);
  /// A trusted back end may be silent for this many times the time in which the first byte was expected: it
  /// may be reading a long prompt, which another one would read anew.
  double silence_per_expected = 2.0;
  CrashPolicy crash_policy;
  std::size_t index_entries = 100'000;  ///< Cached prompt parts remembered, over all back ends.
  /// Taken off a deadline handed to a back end, so that its own refusal comes back in time.
  Duration answer_margin = std::chrono::milliseconds(5);
};

}  // namespace crankspur::gateway
