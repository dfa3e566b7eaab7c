#pragma once
/// @file Admission: tenant limits, weighted fairness, priorities, deadline feasibility and retry budgets.
/// A request that cannot be served in time is refused at once, truthfully "not run", with when to come back.

#include <cstdint>
#include <memory>
#include <string>

#include "bundle/bundle.h"

namespace crankspur {

/// What admission needs to know of a request.
struct AdmissionRequest {
  std::string tenant;
  std::uint32_t priority = 1;
  std::uint32_t cost_tokens = 0;     ///< Uncached prompt tokens plus the answer's maximum.
  Duration deadline{0};              ///< Time left; 0: none stated; negative: passed.
  Duration expected_first_token{0};  ///< Estimate of the best placement.
  double fleet_utilization = 0;      ///< Share of the serving pools' capacity in use, 0 to 1 and above.
  bool retry = false;
  /// Part of the answer has reached the caller: only the deadline and the retry budget may refuse it.
  bool continuation = false;
};

/// Outcome of admission.
struct AdmissionDecision {
  bool admitted = false;
  ErrorCode code = ErrorCode::Ok;  ///< RateLimited, Overloaded, DeadlineExceeded or Unauthorized.
  Duration retry_after{0};     ///< When a further try may succeed; above 0 in each refusal but Unauthorized.
  std::uint32_t priority = 1;  ///< Priority to dispatch with: lowered while the tenant exceeds its share.
  std::string reason;          ///< For logs and explain.
};

/// Admission of one traffic shard. Limits are fleet-wide: each router holds its share of a tenant's
/// limit. Completions of one model meet one router, so the share is one over the tenant's models, at most one
/// over the routers; while a model's load overflows to a second router the fleet may admit more than the
/// limit. Not thread-safe.
class Admission {
public:
  virtual ~Admission() = default;
  /// Takes the tenants and limits of a bundle and the number of live routers.
  virtual void configure(std::shared_ptr<const Bundle> bundle, std::uint32_t router_count, TimePoint now) = 0;
  /// Decides; an admitted request counts as in flight until finished() is called.
  virtual AdmissionDecision admit(const AdmissionRequest& request, TimePoint now) = 0;
  /// Ends an admitted request and settles its cost.
  /// @param used_tokens tokens really computed.
  virtual void finished(const AdmissionRequest& request, std::uint32_t used_tokens, TimePoint now) = 0;
};

std::unique_ptr<Admission> makeAdmission();

}  // namespace crankspur
