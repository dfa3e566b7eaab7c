#pragma once
/// @file Settings of a gateway's decisions that stay the same for the lifetime of the process.

#include <cstddef>

#include "admission/fleet_quotas.h"
#include "base/time.h"
#include "gateway/crash_policy.h"

namespace crankspur::gateway {

/// Maximum number of retries (dispatches after the first one of a request) to one pool by all gateways
/// together: `ratio` of the requests for it in `window`, plus `slack`.
struct RetryBudgetSettings {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 20;
};

/// Settings of one Gateway.
struct GatewaySettings {
  RetryBudgetSettings retry_budget;
  QuotaTolerance quota_tolerance;
  /// Time after a newer version was named during which back ends with older weights may start requests.
  Duration older_weights_grace = std::chrono::seconds(6);
  /// Time from the end of that grace period until no request may start on older weights. A back end with
  /// older weights gets no request for which its queue delay exceeds the rest of the grace period plus this
  /// time.
  Duration older_weights_margin = std::chrono::seconds(2);
  /// Time without bytes from a back end, on any of its requests, after which repeatable requests are moved to
  /// another one.
  Duration silence_limit = std::chrono::milliseconds(1500);
  /// The same for a back end that is known to be unresponsive, where the request needs no evidence of its
  /// own.
  Duration unresponsive_silence_limit = std::chrono::milliseconds(300);
  /// A trusted back end may send nothing for this many times the expected time to the first byte: it may be
  /// busy with the prefill of a long prompt, which another back end would have to repeat.
  double silence_per_expected = 2.0;
  CrashPolicy crash_policy;
  std::size_t index_entries = 100'000;  ///< Cached prompt parts in the index, over all back ends.
  /// Subtracted from the deadline sent to a back end, so that its own refusal arrives in time.
  Duration deadline_margin = std::chrono::milliseconds(5);
};

}  // namespace crankspur::gateway
