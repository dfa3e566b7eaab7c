#pragma once
/// @file Admission control: tenant limits, weighted fairness, priorities, deadline feasibility and retry
/// budgets. A request that cannot be served in time is refused at once, correctly reported as "not run", with
/// the time after which to retry.

#include <cstdint>
#include <memory>
#include <string>

#include "bundle/bundle.h"

namespace crankspur {

/// The properties of a request that admission depends on.
struct AdmissionRequest {
  std::string tenant;
  std::uint32_t priority = 1;
  std::uint32_t cost_tokens = 0;     ///< Uncached prompt tokens plus the maximum length of the response.
  Duration deadline{0};              ///< Time left; 0: no deadline; negative: the deadline has passed.
  Duration expected_first_token{0};  ///< Estimate for the best placement.
  double fleet_utilization = 0;      ///< Used share of the serving pools' capacity; may exceed 1.
  bool retry = false;
  /// Part of the response has reached the caller: only the deadline and the retry budget may refuse the
  /// request.
  bool continuation = false;
};

/// Result of admission control.
struct AdmissionDecision {
  bool admitted = false;
  ErrorCode code = ErrorCode::Ok;  ///< RateLimited, Overloaded, DeadlineExceeded or Unauthorized.
  Duration retry_after{0};     ///< When a retry may succeed; above 0 in every refusal except Unauthorized.
  std::uint32_t priority = 1;  ///< Dispatch priority; less urgent while the tenant exceeds its share.
  std::string reason;          ///< For logs and explain.
};

/// Admission control of one traffic shard. Limits are fleet-wide, and each router enforces its share of a
/// tenant's limit. Completions of one model are sent to one router, so the limit is divided by the number of
/// the tenant's models, but at most by the number of routers. While the load of a model overflows to a second
/// router the fleet may admit more than the limit. Not thread-safe.
class Admission {
public:
  virtual ~Admission() = default;
  /// Applies the tenants and limits of a bundle and the number of live routers. A null bundle has no tenants.
  virtual void configure(std::shared_ptr<const Bundle> bundle, std::uint32_t router_count, TimePoint now) = 0;
  /// Decides; an admitted request counts as in flight until finished() is called.
  virtual AdmissionDecision admit(const AdmissionRequest& request, TimePoint now) = 0;
  /// Ends an admitted request and replaces its estimated cost by the actual one.
  /// @param used_tokens tokens actually computed.
  virtual void finished(const AdmissionRequest& request, std::uint32_t used_tokens, TimePoint now) = 0;
};

std::unique_ptr<Admission> makeAdmission();

}  // namespace crankspur
