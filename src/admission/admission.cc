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

constexpr double kMinWeight = 1e-6;
/// Burst of a tenant's token bucket, in seconds of its rate.
constexpr double kBurstSeconds = 2.0;
/// Decay time of the token rates that fairness is judged by.
constexpr Duration kUsageDecayTime = std::chrono::seconds(4);
/// Interval at which the fair level is recomputed.
constexpr Duration kFairLevelInterval = std::chrono::milliseconds(100);
/// Utilization from which tenants above their share are dispatched with a lower priority.
constexpr double kDemoteUtilization = 0.7;
/// Utilization from which requests of tenants above their share are refused.
constexpr double kRefuseUtilization = 0.95;
/// Utilization that the fair shares of all tenants add up to.
constexpr double kTargetUtilization = 0.9;
/// Utilization from which requests of priority kBackgroundPriority or less urgent are refused.
constexpr double kBackgroundUtilization = 1.1;
constexpr std::uint32_t kBackgroundPriority = 2;
/// Maximum number of retries that a tenant may accumulate.
constexpr double kMaxSavedRetries = 10;
/// Retries available to a newly configured tenant, such as after the start of the process.
constexpr double kInitialRetries = 3;
/// Minimum retry delay sent to a refused caller.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
/// Retry delay when a request in flight must finish first.
constexpr Duration kSlotRetryAfter = std::chrono::milliseconds(250);

/// State of one tenant at this router.
struct TenantState {
  TenantPolicy policy;
  TokenBucket bucket;
  std::uint32_t in_flight = 0;
  std::uint32_t in_flight_limit = 0;  ///< 0: no limit.
  double retries = kInitialRetries;
  DecayingRate offered{kUsageDecayTime};   ///< Tokens requested.
  DecayingRate admitted{kUsageDecayTime};  ///< Tokens admitted.
};

/// @return the number of routers that share a tenant's load: sidecars send completions of one model to one
/// router, and operations to all routers equally.
std::uint32_t routersServingTenant(const TenantPolicy& policy, std::uint32_t router_count) {
  const std::uint32_t routers = std::max<std::uint32_t>(router_count, 1);
  if (policy.models.empty()) return routers;
  return std::min(routers, static_cast<std::uint32_t>(policy.models.size()));
}

AdmissionDecision refuse(ErrorCode code, Duration retry_after, std::string reason) {
  AdmissionDecision decision;
  decision.code = code;
  decision.retry_after = std::max(retry_after, kMinRetryAfter);
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
  void updateFairLevel(double utilization, TimePoint now);

  absl::flat_hash_map<std::string, TenantState> tenants_;
  TimePoint fair_level_updated_at_ = TimePoint::min();
  double fair_level_ = 0;  ///< Tokens per second, per unit of weight, that a tenant may use under contention.
};

void TenantAdmission::configure(std::shared_ptr<const Bundle> bundle, std::uint32_t router_count,
                                TimePoint now) {
  absl::flat_hash_map<std::string, TenantState> tenants;
  if (bundle != nullptr) {
    for (const TenantPolicy& policy : bundle->tenants) {
      const auto known = tenants_.find(policy.name);
      TenantState state = known == tenants_.end() ? TenantState{} : known->second;
      state.policy = policy;
      const double share = 1.0 / routersServingTenant(policy, router_count);
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
    return refuse(ErrorCode::DeadlineExceeded, kMinRetryAfter, "the deadline has passed");
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

void TenantAdmission::updateFairLevel(double utilization, TimePoint now) {
  if (fair_level_updated_at_ != TimePoint::min() && now - fair_level_updated_at_ < kFairLevelInterval) return;
  fair_level_updated_at_ = now;
  std::vector<ShareDemand> demands;
  double admitted = 0;
  for (auto& [name, tenant] : tenants_) {
    demands.push_back({tenant.offered.perSecond(now), std::max(tenant.policy.weight, kMinWeight)});
    admitted += tenant.admitted.perSecond(now);
  }
  // The admitted rate causes the observed utilization, so their ratio is the capacity.
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
  updateFairLevel(request.fleet_utilization, now);
  const double fair_rate = fair_level_ * std::max(tenant.policy.weight, kMinWeight);
  const double used = tenant.admitted.perSecond(now);
  if (used <= fair_rate) return decision;
  if (request.fleet_utilization >= kRefuseUtilization) {
    const double excess = std::log(used / std::max(fair_rate, used * 1e-3));
    return refuse(ErrorCode::Overloaded,
                  Duration(static_cast<std::int64_t>(excess * kUsageDecayTime.count())),
                  "the tenant uses more than its share of a full fleet");
  }
  decision.priority = request.priority + 1;
  decision.reason = "above its share: lower priority";
  return decision;
}

AdmissionDecision TenantAdmission::admit(const AdmissionRequest& request, TimePoint now) {
  const auto found = tenants_.find(request.tenant);
  if (found == tenants_.end()) return refuse(ErrorCode::Unauthorized, Duration(0), "unknown tenant");
  TenantState& tenant = found->second;
  tenant.offered.add(request.cost_tokens, now);
  if (!request.retry)
    tenant.retries = std::min(tenant.retries + tenant.policy.retry_budget, kMaxSavedRetries);
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
  const auto found = tenants_.find(request.tenant);
  if (found == tenants_.end()) return;
  TenantState& tenant = found->second;
  if (tenant.in_flight > 0) --tenant.in_flight;
  tenant.bucket.take(static_cast<double>(used_tokens) - request.cost_tokens, now);
}

}  // namespace

std::unique_ptr<Admission> makeAdmission() {
  return std::make_unique<TenantAdmission>();
}

}  // namespace crankspur
