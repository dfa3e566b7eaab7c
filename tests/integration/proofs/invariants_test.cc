/// @file Tests of invariants with real processes: at-most-once execution, truthful "not run" errors, crashed
/// and leaving engines, and a simultaneous restart of all routers. Checked by the responses to callers and by
/// the executions that back ends recorded.

#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "integration/http_call.h"
#include "integration/router/router_site.h"

using namespace crankspur;
using namespace crankspur::testing;
using namespace std::chrono_literals;

namespace {

constexpr char kKey[] = "demo-key-harbour-fittings";

std::string addressOf(Process& process, const char* label = "listening") {
  return fmt::format("127.0.0.1:{}", process.port(label));
}

http::Request orderRequest(const std::string& idempotency_key) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/operations/place_order";
  request.headers["Authorization"] = std::string("Bearer ") + kKey;
  request.headers["Idempotency-Key"] = idempotency_key;
  request.headers["X-Deadline-Ms"] = "3000";
  request.body = R"({"part":"keel bolt","count":2})";
  return request;
}

http::Request chatRequest(const std::string& prompt) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers["Authorization"] = std::string("Bearer ") + kKey;
  request.body = boost::json::serialize(boost::json::object{
      {"model", "m"},
      {"max_tokens", 4},
      {"messages", boost::json::array{boost::json::object{{"role", "user"}, {"content", prompt}}}}});
  return request;
}

std::int64_t cachedTokens(const CallResult& result) {
  const auto usage = boost::json::parse(result.body).at("usage");
  return usage.at("prompt_tokens_details").at("cached_tokens").to_number<std::int64_t>();
}

/// Two routers, each with its own sidecar.
class TwoRouterSite {
public:
  TwoRouterSite() : router_site(2) {
    router_site.roll(router_site.signBundle(1));
    router_site.startRouter(0);
    router_site.startRouter(1, {"--peers=" + router_site.routerAddress(0)});
    first_sidecar = addressOf(router_site.startSidecar(0));
    second_sidecar = addressOf(router_site.startSidecar(1));
    REQUIRE(eventually([this] { return servesRequests(first_sidecar) && servesRequests(second_sidecar); }));
  }

  static bool servesRequests(const std::string& sidecar) {
    return call(sidecar, chatRequest("ready?")).status == 200 &&
           call(sidecar, orderRequest("warm-up")).status == 200;
  }

  std::int64_t executions(const std::string& idempotency_key) const {
    const auto page = boost::json::parse(get(router_site.runnerAddress(), "/v1/executions").body);
    for (const auto& entry : page.at("executions").as_array()) {
      if (entry.at("idempotency_key").as_string() == idempotency_key) {
        return entry.at("count").to_number<std::int64_t>();
      }
    }
    return 0;
  }

  void setTable(const std::string& mode) const {
    const std::string body = fmt::format(R"({{"service":"table","mode":"{}"}})", mode);
    REQUIRE(post(router_site.platformAddress(), "/control", body).status == 200);
  }

  RouterSite router_site;
  std::string first_sidecar;
  std::string second_sidecar;
};

bool reportedNotRun(const CallResult& result) {
  return boost::json::parse(result.body).at("error").at("ran").as_string() == "not_run";
}

}  // namespace

TEST_CASE("an order sent at once through two sidecars and routers runs once", "[proofs]") {
  TwoRouterSite site;
  for (int number = 0; number < 5; ++number) {
    const std::string key = fmt::format("order-{}", number);
    BackgroundCall through_first(site.first_sidecar, orderRequest(key));
    BackgroundCall through_second(site.second_sidecar, orderRequest(key));
    const CallResult first_result = through_first.result();
    const CallResult second_result = through_second.result();
    CHECK((first_result.status == 200 || second_result.status == 200));
    CHECK(site.executions(key) == 1);
    const CallResult repeated = call(site.second_sidecar, orderRequest(key));
    CHECK(repeated.status == 200);
    CHECK(site.executions(key) == 1);
  }
}

TEST_CASE("while the table is down an order is refused at once, truthfully, and runs once later",
          "[proofs]") {
  TwoRouterSite site;
  site.setTable("down");
  const CallResult refused = call(site.first_sidecar, orderRequest("late"));
  CHECK(refused.status == 503);
  CHECK(reportedNotRun(refused));
  CHECK(refused.headers.count("Retry-After") == 1);
  CHECK(site.executions("late") == 0);
  site.setTable("up");
  CHECK(eventually([&] { return call(site.second_sidecar, orderRequest("late")).status == 200; }));
  CHECK(site.executions("late") == 1);
}

TEST_CASE("answers of the table lost after their effect never run an order twice", "[proofs]") {
  TwoRouterSite site;
  site.setTable("lose_answers");
  const CallResult first_result = call(site.first_sidecar, orderRequest("lost"));
  if (first_result.status != 200 && reportedNotRun(first_result)) CHECK(site.executions("lost") == 0);
  call(site.second_sidecar, orderRequest("lost"));
  CHECK(site.executions("lost") <= 1);
  site.setTable("up");
  CHECK(eventually([&] { return call(site.second_sidecar, orderRequest("lost")).status == 200; }, 30s));
  CHECK(site.executions("lost") == 1);
}

TEST_CASE("an engine that crashed empty serves nothing from its former cache", "[proofs]") {
  RouterSite site(1);
  site.roll(site.signBundle(1));
  site.startRouter(0);
  const std::string sidecar = addressOf(site.startSidecar());
  const std::string prompt(6400, 'c');
  REQUIRE(eventually([&] { return call(sidecar, chatRequest(prompt)).status == 200; }));
  REQUIRE(cachedTokens(call(sidecar, chatRequest(prompt))) > 1000);
  REQUIRE(post(site.engineAddress(0), "/control", R"({"action":"crash"})").status == 200);
  CallResult after;
  REQUIRE(eventually([&] {
    after = call(sidecar, chatRequest(prompt));
    return after.status == 200;
  }));
  CHECK(cachedTokens(after) == 0);
}

TEST_CASE("an engine that the machine list marks as leaving gets no new work after a few seconds",
          "[proofs]") {
  TwoRouterSite site;
  const std::string leaving_mark = fmt::format(
      R"({{"machine":{{"name":"engine-0","role":"engine","pool":"general","address":"{}","zone":"zone-0",)"
      R"("region":"region","state":"leaving"}}}})",
      site.router_site.engineAddress(0));
  REQUIRE(post(site.router_site.platformAddress(), "/control", leaving_mark).status == 200);
  const auto sees_leaving_mark = [&](int router) {
    return site.router_site.status(router).find("\"state\":\"leaving\"") != std::string::npos;
  };
  REQUIRE(eventually([&] { return sees_leaving_mark(0) && sees_leaving_mark(1); }));
  const auto recordCount = [&](int engine) {
    const std::string stats = get(site.router_site.engineAddress(engine), "/v1/stats").body;
    return boost::json::parse(stats).at("records").as_array().size();
  };
  const std::size_t records_before = recordCount(0);
  for (int number = 0; number < 20; ++number) {
    const std::string& sidecar = number % 2 == 0 ? site.first_sidecar : site.second_sidecar;
    CHECK(call(sidecar, chatRequest(fmt::format("after the mark {}", number))).status == 200);
  }
  CHECK(recordCount(0) == records_before);
}

TEST_CASE("all routers restart while the platform is down, and serve by what sidecars know", "[proofs]") {
  TwoRouterSite site;
  const std::string first_address = site.router_site.routerAddress(0);
  const std::string second_address = site.router_site.routerAddress(1);
  site.router_site.stopPlatform();
  site.router_site.router(0).kill();
  site.router_site.router(1).kill();
  site.router_site.startRouter(0, {"--listen=" + first_address});
  site.router_site.startRouter(1, {"--listen=" + second_address, "--peers=" + first_address});
  CHECK(eventually([&] { return call(site.first_sidecar, chatRequest("after the herd")).status == 200; }));
  CHECK(eventually([&] { return call(site.second_sidecar, chatRequest("after the herd")).status == 200; }));
}
