#include <catch2/catch.hpp>

#include "tools/load/report.h"
#include "tools/load/workload.h"

using namespace crankspur;
using namespace crankspur::load;

namespace {

Bundle bundle() {
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

CallOutcome outcome(Verdict verdict, int milliseconds) {
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
  const Bundle held = bundle();
  Workload one(held, "key-", {});
  Workload two(held, "key-", {});
  std::map<std::string, std::string> heads;
  std::map<std::string, int> tenants;
  for (int number = 0; number < 300; ++number) {
    const PlannedRequest request = one.next();
    REQUIRE(request.prompt() == two.next().prompt());
    CHECK(request.api_key == "key-" + request.tenant);
    const auto [known, added] = heads.try_emplace(request.tenant, request.head);
    CHECK(known->second == request.head);
    ++tenants[request.tenant];
  }
  CHECK(tenants["first"] > tenants["second"]);
  CHECK(tenants["second"] > tenants["third"]);
  CHECK(heads["first"] != heads["second"]);
}

TEST_CASE("a report counts each verdict and takes times of whole answers only", "[load]") {
  LoadRunResult result;
  result.duration = std::chrono::seconds(2);
  for (int number = 1; number <= 100; ++number) result.outcomes.push_back(outcome(Verdict::Whole, number));
  result.outcomes.push_back(outcome(Verdict::Wrong, 5000));
  result.outcomes.push_back(outcome(Verdict::Cut, 5000));
  result.outcomes.push_back(outcome(Verdict::Refused, 5000));
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
