#include "admission/admission.h"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "admission/decaying_rate.h"
#include "admission/fair_share.h"
#include "admission/token_bucket.h"

namespace crankspur {
namespace {

constexpr double kMinimumWeight = 1e-6;
/// Burst of a tenant's bucket, in seconds of its rate.
constexpr double kBurstSeconds = 2.0;
/// Memory of the use that fairness judges by.
constexpr Duration kUseMemory = std::chrono::seconds(4);
/// How often fair shares are computed anew.
constexpr Duration kShareInterval = std::chrono::milliseconds(100);
/// Utilization from which tenants above their share are dispatched with a lower priority.
constexpr double kDemoteUtilization = 0.7;
/// Utilization from which requests of tenants above their share are refused.
constexpr double kRefuseUtilization = 0.95;
/// Utilization that fair shares add up to.
constexpr double kTargetUtilization = 0.9;
/// Utilization from which work of priority 2 and lower urgency is refused.
constexpr double kBackgroundUtilization = 1.1;
constexpr std::uint32_t kBackgroundPriority = 2;
/// Retries a tenant may save up.
constexpr double kRetryReserve = 10;
/// Retries allowed right after the start of the process.
constexpr double kInitialRetries = 3;
/// Least advice given to a refused caller.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(50);
/// Advice when a slot in flight must come free first.
constexpr Duration kSlotRetryAfter = std::chrono::milliseconds(250);

/// State of one tenant at this router.
struct TenantState {
  TenantPolicy policy;
  TokenBucket bucket;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_limit = 0;  ///< 0: none.
  double retries = kInitialRetries;
  DecayingRate offered{kUseMemory};   ///< Tokens asked for.
  DecayingRate admitted{kUseMemory};  ///< Tokens admitted.
};

/// @return routers that a tenant's work meets: sidecars send completions of one model to one router, and
/// operations to all routers alike.
std::uint32_t routersInUse(const TenantPolicy& policy, std::uint32_t router_count) {
  const std::uint32_t routers = std::max<std::uint32_t>(router_count, 1);
  if (policy.models.empty()) return routers;
  return std::min(routers, static_cast<std::uint32_t>(policy.models.size()));
}

AdmissionDecision refuse(ErrorCode code, Duration retry_after, std::string reason) {
  AdmissionDecision decision;
  decision.code = code;
  decision.retry_after = std::max(retry_after, kMinimumRetryAfter);
  decision.reason = std::move(reason);
  return decision;
}

class TenantAdmission : public Admission {
public:
  void configure(std::shared_ptr<const Bundle> bundle, std::uint32_t router_count, TimePoint now) override;
  AdmissionDecision admit(const AdmissionRequest& request, TimePoint now) override;
  void finished(const AdmissionRequest& request, std::uint32_t used_tokens, TimePoint now) override;

private:
  static AdmissionDecision checkDeadline(const AdmissionRequest& request);
  static AdmissionDecision checkLimits(TenantState& tenant, const AdmissionRequest& request, TimePoint now);
  AdmissionDecision checkFairness(TenantState& tenant, const AdmissionRequest& request, TimePoint now);
  void divideShares(double utilization, TimePoint now);

  absl::flat_hash_map<std::string, TenantState> tenants_;
  TimePoint shares_divided_at_ = TimePoint::min();
  double fair_level_ = 0;  ///< Tokens per second and weight that a tenant may use under contention.
};

void TenantAdmission::configure(std::shared_ptr<const Bundle> bundle, std::uint32_t router_count,
                                TimePoint now) {
  absl::flat_hash_map<std::string, TenantState> tenants;
  if (bundle != nullptr) {
    for (const TenantPolicy& policy : bundle->tenants) {
      const auto known = tenants_.find(policy.name);
      TenantState state = known == tenants_.end() ? TenantState{} : known->second;
      state.policy = policy;
      const double share = 1.0 / routersInUse(policy, router_count);
      const double rate = policy.tokens_per_second * share;
      state.bucket.configure(rate, rate * kBurstSeconds, now);
      state.in_flight_limit = static_cast<std::uint32_t>(std::ceil(policy.max_in_flight * share));
      tenants.emplace(policy.name, std::move(state));
    }
  }
  tenants_ = std::move(tenants);
}

AdmissionDecision TenantAdmission::checkDeadline(const AdmissionRequest& request) {
  AdmissionDecision admitted;
  admitted.admitted = true;
  admitted.priority = request.priority;
  if (request.deadline.count() == 0) return admitted;
  if (request.deadline.count() < 0) {
    return refuse(ErrorCode::DeadlineExceeded, kMinimumRetryAfter, "the deadline has passed");
  }
  if (request.expected_first_token <= request.deadline) return admitted;
  return refuse(ErrorCode::Overloaded, request.expected_first_token - request.deadline,
                fmt::format("first token expected in {:.0f} ms, deadline in {:.0f} ms",
                            toMilliseconds(request.expected_first_token), toMilliseconds(request.deadline)));
}

AdmissionDecision TenantAdmission::checkLimits(TenantState& tenant, const AdmissionRequest& request,
                                               TimePoint now) {
  AdmissionDecision admitted;
  admitted.admitted = true;
  admitted.priority = request.priority;
  const bool limited = !request.continuation;
  if (limited && tenant.in_flight_limit != 0 && tenant.in_flight >= tenant.in_flight_limit) {
    return refuse(ErrorCode::RateLimited, kSlotRetryAfter, "requests in flight at the tenant's limit");
  }
  if (limited && !tenant.bucket.available(now)) {
    return refuse(ErrorCode::RateLimited, tenant.bucket.timeUntilAvailable(now),
                  "token rate at the tenant's limit");
  }
  if (request.retry && tenant.retries < 1) {
    const double rate = std::max(tenant.policy.retry_budget, 0.01);
    return refuse(ErrorCode::Overloaded,
                  Duration(static_cast<std::int64_t>(1e6 * (1 - tenant.retries) / rate)),
                  "retry budget used up");
  }
  return admitted;
}

void TenantAdmission::divideShares(double utilization, TimePoint now) {
  if (shares_divided_at_ != TimePoint::min() && now - shares_divided_at_ < kShareInterval) return;
  shares_divided_at_ = now;
  std::vector<ShareDemand> demands;
  double admitted = 0;
  for (auto& [name, tenant] : tenants_) {
    demands.push_back({tenant.offered.perSecond(now), std::max(tenant.policy.weight, kMinimumWeight)});
    admitted += tenant.admitted.perSecond(now);
  }
  // What is admitted now makes the utilization seen, so their ratio tells the capacity.
  fair_level_ = fairShareLevel(std::move(demands), admitted / utilization * kTargetUtilization);
}

AdmissionDecision TenantAdmission::checkFairness(TenantState& tenant, const AdmissionRequest& request,
                                                 TimePoint now) {
  AdmissionDecision decision;
  decision.admitted = true;
  decision.priority = request.priority;
  if (request.fleet_utilization >= kBackgroundUtilization && request.priority >= kBackgroundPriority) {
    return refuse(ErrorCode::Overloaded, kSlotRetryAfter, "background work waits while the fleet is full");
  }
  if (request.fleet_utilization < kDemoteUtilization) return decision;
  divideShares(request.fleet_utilization, now);
  const double fair_rate = fair_level_ * std::max(tenant.policy.weight, kMinimumWeight);
  const double used = tenant.admitted.perSecond(now);
  if (used <= fair_rate) return decision;
  if (request.fleet_utilization >= kRefuseUtilization) {
    const double excess = std::log(used / std::max(fair_rate, used * 1e-3));
    return refuse(ErrorCode::Overloaded, Duration(static_cast<std::int64_t>(excess * kUseMemory.count())),
                  "the tenant uses more than its share of a full fleet");
  }
  decision.priority = request.priority + 1;
  decision.reason = "above its share: lower priority";
  return decision;
}

AdmissionDecision TenantAdmission::admit(const AdmissionRequest& request, TimePoint now) {
  const auto place = tenants_.find(request.tenant);
  if (place == tenants_.end()) return refuse(ErrorCode::Unauthorized, Duration(0), "unknown tenant");
  TenantState& tenant = place->second;
  tenant.offered.add(request.cost_tokens, now);
  if (!request.retry) tenant.retries = std::min(tenant.retries + tenant.policy.retry_budget, kRetryReserve);
  AdmissionDecision decision = checkDeadline(request);
  if (decision.admitted) decision = checkLimits(tenant, request, now);
  if (decision.admitted && !request.continuation) decision = checkFairness(tenant, request, now);
  if (!decision.admitted) return decision;
  if (request.retry) tenant.retries -= 1;
  tenant.bucket.take(request.cost_tokens, now);
  tenant.admitted.add(request.cost_tokens, now);
  ++tenant.in_flight;
  return decision;
}

void TenantAdmission::finished(const AdmissionRequest& request, std::uint32_t used_tokens, TimePoint now) {
  const auto place = tenants_.find(request.tenant);
  if (place == tenants_.end()) return;
  TenantState& tenant = place->second;
  if (tenant.in_flight > 0) --tenant.in_flight;
  tenant.bucket.take(static_cast<double>(used_tokens) - request.cost_tokens, now);
}

}  // namespace

std::unique_ptr<Admission> makeAdmission() {
  return std::make_unique<TenantAdmission>();
}

}  // namespace crankspur
