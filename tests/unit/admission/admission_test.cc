#include "admission/admission.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "admission/fair_share.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{Duration(1'000'000'000)};

TenantPolicy tenantOf(const std::string& name) {
  TenantPolicy tenant;
  tenant.name = name;
  return tenant;
}

std::shared_ptr<Bundle> bundleOf(std::vector<TenantPolicy> tenants) {
  auto bundle = std::make_shared<Bundle>();
  bundle->tenants = std::move(tenants);
  return bundle;
}

AdmissionRequest requestOf(const std::string& tenant, std::uint32_t cost) {
  AdmissionRequest request;
  request.tenant = tenant;
  request.cost_tokens = cost;
  request.deadline = 1s;
  return request;
}

}  // namespace

TEST_CASE("each router enforces the tenant's token rate divided by the number of routers", "[admission]") {
  TenantPolicy tenant = tenantOf("yard");
  tenant.tokens_per_second = 4000;
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenant}), 4, kStart);
  const AdmissionRequest request = requestOf("yard", 100);
  double admitted = 0;
  for (int step = 0; step < 2000; ++step) {
    const TimePoint now = kStart + step * 10ms;
    if (!admission->admit(request, now).admitted) continue;
    admitted += 100;
    admission->finished(request, 100, now);
  }
  // 20 s at 1,000 tokens per second and a burst of 2 s.
  CHECK(admitted == Approx(22'000).epsilon(0.02));
}

TEST_CASE("a tenant's limit is divided by the number of routers that serve its models", "[admission]") {
  const auto admittedAtOnce = [](std::vector<std::string> models) {
    TenantPolicy tenant = tenantOf("yard");
    tenant.max_in_flight = 8;
    tenant.models = std::move(models);
    auto admission = makeAdmission();
    admission->configure(bundleOf({tenant}), 4, kStart);
    int admitted = 0;
    while (admission->admit(requestOf("yard", 1), kStart).admitted) ++admitted;
    return admitted;
  };
  CHECK(admittedAtOnce({"large"}) == 8);
  CHECK(admittedAtOnce({"large", "small"}) == 4);
  CHECK(admittedAtOnce({"a", "b", "c", "d", "e", "f"}) == 2);
  CHECK(admittedAtOnce({}) == 2);
}

TEST_CASE("a retry succeeds after the delay stated in the refusal", "[admission]") {
  TenantPolicy tenant = tenantOf("yard");
  tenant.tokens_per_second = 1000;
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenant}), 1, kStart);
  const AdmissionRequest large = requestOf("yard", 5000);
  REQUIRE(admission->admit(large, kStart).admitted);
  const AdmissionDecision refused = admission->admit(large, kStart);
  REQUIRE_FALSE(refused.admitted);
  CHECK(refused.code == ErrorCode::RateLimited);
  REQUIRE(refused.retry_after > 0s);
  CHECK_FALSE(admission->admit(large, kStart + refused.retry_after / 2).admitted);
  CHECK(admission->admit(large, kStart + refused.retry_after).admitted);
}

TEST_CASE("unused tokens are returned to the bucket", "[admission]") {
  TenantPolicy tenant = tenantOf("yard");
  tenant.tokens_per_second = 1000;
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenant}), 1, kStart);
  const AdmissionRequest large = requestOf("yard", 5000);
  REQUIRE(admission->admit(large, kStart).admitted);
  admission->finished(large, 100, kStart);
  CHECK(admission->admit(large, kStart).admitted);
}

TEST_CASE("the limit on requests in flight is enforced and is at least one per router", "[admission]") {
  TenantPolicy tenant = tenantOf("yard");
  tenant.max_in_flight = 2;
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenant}), 8, kStart);
  const AdmissionRequest request = requestOf("yard", 10);
  CHECK(admission->admit(request, kStart).admitted);
  const AdmissionDecision refused = admission->admit(request, kStart);
  CHECK(refused.code == ErrorCode::RateLimited);
  CHECK(refused.retry_after > 0s);
  admission->finished(request, 10, kStart);
  CHECK(admission->admit(request, kStart).admitted);
}

TEST_CASE("a request that cannot start before its deadline is refused at once", "[admission]") {
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenantOf("yard")}), 1, kStart);
  AdmissionRequest request = requestOf("yard", 10);
  request.expected_first_token = 1500ms;
  const AdmissionDecision refused = admission->admit(request, kStart);
  CHECK(refused.code == ErrorCode::Overloaded);
  CHECK(refused.retry_after == 500ms);
  request.deadline = -1ms;
  CHECK(admission->admit(request, kStart).code == ErrorCode::DeadlineExceeded);
  CHECK(admission->admit(requestOf("stranger", 10), kStart).code == ErrorCode::Unauthorized);
}

TEST_CASE("retries are limited to a fraction of first attempts", "[admission]") {
  TenantPolicy tenant = tenantOf("yard");
  tenant.retry_budget = 0.1;
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenant}), 1, kStart);
  int admitted = 0;
  for (int step = 0; step < 1000; ++step) {
    AdmissionRequest request = requestOf("yard", 1);
    REQUIRE(admission->admit(request, kStart).admitted);
    request.retry = true;
    for (int retry = 0; retry < 3; ++retry) admitted += admission->admit(request, kStart).admitted ? 1 : 0;
  }
  CHECK(admitted <= 104);
  CHECK(admitted >= 100);
}

TEST_CASE("in a full fleet a tenant that sends ten times its share does not affect other tenants",
          "[admission]") {
  auto admission = makeAdmission();
  admission->configure(bundleOf({tenantOf("greedy"), tenantOf("small"), tenantOf("other")}), 1, kStart);
  int small_refused = 0;
  int small_demoted = 0;
  double admitted_tokens = 0;
  for (int step = 0; step < 3000; ++step) {
    const TimePoint now = kStart + step * 10ms;
    const double seconds = std::max(1.0, step * 0.01);
    // The fleet serves 30,000 tokens a second; "small" and "other" request 5,000 each, "greedy" 50,000.
    const double utilization = admitted_tokens / seconds / 30'000;
    for (int copy = 0; copy < 12; ++copy) {
      AdmissionRequest request = requestOf(copy < 10 ? "greedy" : copy == 10 ? "small" : "other", 50);
      request.fleet_utilization = utilization;
      const AdmissionDecision decision = admission->admit(request, now);
      if (decision.admitted) {
        admitted_tokens += 50;
        admission->finished(request, 50, now);
      }
      if (copy == 10 && !decision.admitted) ++small_refused;
      if (copy == 10 && decision.priority != request.priority) ++small_demoted;
    }
  }
  CHECK(small_refused == 0);
  CHECK(small_demoted == 0);
  CHECK(admitted_tokens / 30 / 30'000 < 1.0);
  CHECK(admitted_tokens / 30 / 30'000 > 0.7);
}

TEST_CASE("capacity left unused by small demands is divided among the others by weight", "[admission]") {
  CHECK(fairShareLevel({{10, 1}, {100, 1}, {100, 2}}, 100) == Approx(30));
  CHECK(std::isinf(fairShareLevel({{10, 1}, {20, 1}}, 30)));
  CHECK(fairShareLevel({{10, 1}, {20, 1}}, 0) == 0);
}
