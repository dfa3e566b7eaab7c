/// @file What must always hold, shown with real processes: work that may not be repeated, "not run", crashed
/// and leaving engines, and a herd of restarting routers. Judged by what callers got and what back ends did.

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

std::string addressOf(Process& process, const char* word = "listening") {
  return fmt::format("127.0.0.1:{}", process.port(word));
}

http::Request order(const std::string& idempotency_key) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/operations/place_order";
  request.headers["Authorization"] = std::string("Bearer ") + kKey;
  request.headers["Idempotency-Key"] = idempotency_key;
  request.headers["X-Deadline-Ms"] = "3000";
  request.body = R"({"part":"keel bolt","count":2})";
  return request;
}

http::Request chat(const std::string& prompt) {
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

/// Two routers, each with a sidecar of its own.
class TwoPaths {
public:
  TwoPaths() : site(2) {
    site.roll(site.signBundle(1));
    site.startRouter(0);
    site.startRouter(1, {"--peers=" + site.routerAddress(0)});
    first = addressOf(site.startSidecar(0));
    second = addressOf(site.startSidecar(1));
    REQUIRE(eventually([this] { return serves(first) && serves(second); }));
  }

  static bool serves(const std::string& sidecar) {
    return call(sidecar, chat("ready?")).status == 200 && call(sidecar, order("warm-up")).status == 200;
  }

  std::int64_t executions(const std::string& idempotency_key) const {
    const auto page = boost::json::parse(get(site.runnerAddress(), "/v1/executions").body);
    for (const auto& entry : page.at("executions").as_array()) {
      if (entry.at("idempotency_key").as_string() == idempotency_key) {
        return entry.at("count").to_number<std::int64_t>();
      }
    }
    return 0;
  }

  void setTable(const std::string& mode) const {
    const std::string body = fmt::format(R"({{"service":"table","mode":"{}"}})", mode);
    REQUIRE(post(site.platformAddress(), "/control", body).status == 200);
  }

  RouterSite site;
  std::string first;
  std::string second;
};

bool saysNotRun(const CallResult& result) {
  return boost::json::parse(result.body).at("error").at("ran").as_string() == "not_run";
}

}  // namespace

TEST_CASE("an order sent at once through two sidecars and routers runs once", "[proofs]") {
  TwoPaths paths;
  for (int number = 0; number < 5; ++number) {
    const std::string key = fmt::format("order-{}", number);
    BackgroundCall left(paths.first, order(key));
    BackgroundCall right(paths.second, order(key));
    const CallResult from_left = left.result();
    const CallResult from_right = right.result();
    CHECK((from_left.status == 200 || from_right.status == 200));
    CHECK(paths.executions(key) == 1);
    const CallResult again = call(paths.second, order(key));
    CHECK(again.status == 200);
    CHECK(paths.executions(key) == 1);
  }
}

TEST_CASE("while the table is down an order is refused at once, truthfully, and runs once later",
          "[proofs]") {
  TwoPaths paths;
  paths.setTable("down");
  const CallResult refused = call(paths.first, order("late"));
  CHECK(refused.status == 503);
  CHECK(saysNotRun(refused));
  CHECK(refused.headers.count("Retry-After") == 1);
  CHECK(paths.executions("late") == 0);
  paths.setTable("up");
  CHECK(eventually([&] { return call(paths.second, order("late")).status == 200; }));
  CHECK(paths.executions("late") == 1);
}

TEST_CASE("answers of the table lost after their effect never run an order twice", "[proofs]") {
  TwoPaths paths;
  paths.setTable("lose_answers");
  const CallResult through_first = call(paths.first, order("lost"));
  if (through_first.status != 200 && saysNotRun(through_first)) CHECK(paths.executions("lost") == 0);
  call(paths.second, order("lost"));
  CHECK(paths.executions("lost") <= 1);
  paths.setTable("up");
  CHECK(eventually([&] { return call(paths.second, order("lost")).status == 200; }, 30s));
  CHECK(paths.executions("lost") == 1);
}

TEST_CASE("an engine that crashed empty serves nothing from its former cache", "[proofs]") {
  RouterSite site(1);
  site.roll(site.signBundle(1));
  site.startRouter(0);
  const std::string sidecar = addressOf(site.startSidecar());
  const std::string prompt(6400, 'c');
  REQUIRE(eventually([&] { return call(sidecar, chat(prompt)).status == 200; }));
  REQUIRE(cachedTokens(call(sidecar, chat(prompt))) > 1000);
  REQUIRE(post(site.engineAddress(0), "/control", R"({"action":"crash"})").status == 200);
  CallResult after;
  REQUIRE(eventually([&] {
    after = call(sidecar, chat(prompt));
    return after.status == 200;
  }));
  CHECK(cachedTokens(after) == 0);
}

TEST_CASE("an engine that the machine list marks as leaving gets no new work after a few seconds",
          "[proofs]") {
  TwoPaths paths;
  const std::string mark = fmt::format(
      R"({{"machine":{{"name":"engine-0","role":"engine","pool":"general","address":"{}","zone":"zone-0",)"
      R"("region":"region","state":"leaving"}}}})",
      paths.site.engineAddress(0));
  REQUIRE(post(paths.site.platformAddress(), "/control", mark).status == 200);
  const auto knows = [&](int router) {
    return paths.site.status(router).find("\"state\":\"leaving\"") != std::string::npos;
  };
  REQUIRE(eventually([&] { return knows(0) && knows(1); }));
  const auto recordsOf = [&](int engine) {
    const std::string stats = get(paths.site.engineAddress(engine), "/v1/stats").body;
    return boost::json::parse(stats).at("records").as_array().size();
  };
  const std::size_t before = recordsOf(0);
  for (int number = 0; number < 20; ++number) {
    const std::string& sidecar = number % 2 == 0 ? paths.first : paths.second;
    CHECK(call(sidecar, chat(fmt::format("after the mark {}", number))).status == 200);
  }
  CHECK(recordsOf(0) == before);
}

TEST_CASE("all routers restart while the platform is down, and serve by what sidecars know", "[proofs]") {
  TwoPaths paths;
  const std::string first_address = paths.site.routerAddress(0);
  const std::string second_address = paths.site.routerAddress(1);
  paths.site.stopPlatform();
  paths.site.router(0).kill();
  paths.site.router(1).kill();
  paths.site.startRouter(0, {"--listen=" + first_address});
  paths.site.startRouter(1, {"--listen=" + second_address, "--peers=" + first_address});
  CHECK(eventually([&] { return call(paths.first, chat("after the herd")).status == 200; }));
  CHECK(eventually([&] { return call(paths.second, chat("after the herd")).status == 200; }));
}
