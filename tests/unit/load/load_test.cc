#include <catch2/catch.hpp>

#include "tools/load/report.h"
#include "tools/load/workload.h"

using namespace crankspur;
using namespace crankspur::load;

namespace {

Bundle makeBundle() {
  Bundle value;
  ModelPolicy model;
  model.name = "desk";
  model.weights_version = "w1";
  value.models = {model};
  for (const char* name : {"first", "second", "third"}) {
    TenantPolicy tenant;
    tenant.name = name;
    tenant.models = {"desk"};
    value.tenants.push_back(tenant);
  }
  return value;
}

CallOutcome makeOutcome(Verdict verdict, int milliseconds) {
  CallOutcome value;
  value.verdict = verdict;
  value.tenant = "t";
  value.prompt_tokens = 100;
  value.cached_tokens = 80;
  value.first_token = std::chrono::milliseconds(milliseconds);
  return value;
}

}  // namespace

TEST_CASE("the same seed gives the same requests, whose prefixes nest", "[load]") {
  const Bundle bundle = makeBundle();
  Workload workload(bundle, "key-", {});
  Workload same_seed_workload(bundle, "key-", {});
  std::map<std::string, std::string> head_by_tenant;
  std::map<std::string, int> tenants;
  for (int index = 0; index < 300; ++index) {
    const PlannedRequest request = workload.next();
    REQUIRE(request.prompt() == same_seed_workload.next().prompt());
    CHECK(request.api_key == "key-" + request.tenant);
    const auto [entry, inserted] = head_by_tenant.try_emplace(request.tenant, request.head);
    CHECK(entry->second == request.head);
    ++tenants[request.tenant];
  }
  CHECK(tenants["first"] > tenants["second"]);
  CHECK(tenants["second"] > tenants["third"]);
  CHECK(head_by_tenant["first"] != head_by_tenant["second"]);
}

TEST_CASE("a report counts each verdict and takes times of whole answers only", "[load]") {
  LoadRunResult result;
  result.duration = std::chrono::seconds(2);
  for (int index = 1; index <= 100; ++index) result.outcomes.push_back(makeOutcome(Verdict::Whole, index));
  result.outcomes.push_back(makeOutcome(Verdict::Wrong, 5000));
  result.outcomes.push_back(makeOutcome(Verdict::Cut, 5000));
  result.outcomes.push_back(makeOutcome(Verdict::Refused, 5000));
  const LoadSummary all = summarize(result).front();
  CHECK(all.requests == 103);
  CHECK(all.whole == 100);
  CHECK(all.wrong == 1);
  CHECK(all.cut == 1);
  CHECK(all.refused == 1);
  CHECK(all.hitRate() == Approx(0.8));
  CHECK(all.requests_per_second == Approx(50));
  CHECK(all.first_token.p50 == Approx(50));
  CHECK(all.first_token.p99 == Approx(99));
}
