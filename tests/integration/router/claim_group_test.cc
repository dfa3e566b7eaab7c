#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "integration/http_call.h"
#include "integration/router/router_site.h"

using namespace crankspur;
using namespace crankspur::testing;

namespace {

constexpr char kKey[] = "demo-key-harbour-fittings";
constexpr int kRouters = 3;
/// Shortest claim lifetime that a bundle may configure, plus a margin for clocks that run at different
/// speeds.
constexpr double kCoveredSeconds = 72;
/// Timeout of waits that include this lifetime.
constexpr std::chrono::seconds kTimeout{180};

/// Three routers that grant claims by majority, and two sidecars connected to the last two of them.
class ClaimGroupSite {
public:
  ClaimGroupSite() : site(1) {
    site.setKnobs("claim_group_size = 3\nclaim_lifetime_s = 60\n");
    site.roll(site.signBundle(1));
    site.startRouter(0);
    for (int index = 1; index < kRouters; ++index)
      site.startRouter(index, {"--peers=" + site.routerAddress(0)});
    for (int index = 1; index < kRouters; ++index) {
      Process& sidecar = site.startSidecar(index);
      sidecars.push_back(fmt::format("127.0.0.1:{}", sidecar.port("listening")));
      const std::string admin = fmt::format("127.0.0.1:{}", sidecar.port("admin"));
      REQUIRE(eventually([&] { return get(admin, "/healthz").status == 200; }));
    }
    // The group can confirm that a key is unclaimed once it has existed for longer than a claim's lifetime.
    const auto covered = [&] {
      for (int index = 0; index < kRouters; ++index) {
        if (claims(index).at("covered_seconds").to_number<double>() < kCoveredSeconds) return false;
      }
      return true;
    };
    REQUIRE(eventually(covered, kTimeout));
  }

  boost::json::object claims(int index) const {
    return boost::json::parse(site.status(index)).at("claims").as_object();
  }
  void setTable(const char* mode) const {
    const std::string body = fmt::format(R"({{"service":"table","mode":"{}"}})", mode);
    REQUIRE(post(site.platformAddress(), "/control", body).status == 200);
  }
  CallResult order(std::size_t sidecar, const std::string& key) const {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/operations/place_order";
    request.headers["Authorization"] = std::string("Bearer ") + kKey;
    request.headers["Idempotency-Key"] = key;
    request.headers["X-Deadline-Ms"] = "8000";
    request.body = R"({"part":"keel bolt","count":2})";
    return call(sidecars.at(sidecar), request);
  }
  /// Sends an order through one sidecar, repeats it through the other, and checks that it ran once.
  void orderTwice(const std::string& key) const {
    const CallResult first = order(0, key);
    INFO(first.body);
    REQUIRE(first.status == 200);
    const CallResult repeated = order(1, key);
    INFO(repeated.body);
    REQUIRE(repeated.status == 200);
    CHECK(boost::json::parse(repeated.body).at("result") == boost::json::parse(first.body).at("result"));
    CHECK(executions(key) == 1);
  }
  std::int64_t executions(const std::string& key) const {
    const auto page = boost::json::parse(get(site.runnerAddress(), "/v1/executions").body);
    for (const auto& entry : page.at("executions").as_array()) {
      if (entry.at("idempotency_key").as_string() == key) return entry.at("count").to_number<std::int64_t>();
    }
    return 0;
  }

  RouterSite site;
  std::vector<std::string> sidecars;
};

}  // namespace

TEST_CASE("orders go on by a majority of routers while the table is down and a router is replaced",
          "[router][claim]") {
  ClaimGroupSite group;
  CHECK(group.claims(0).at("mode").as_string() == "group_and_table");
  group.orderTwice("before");
  group.setTable("down");
  group.orderTwice("during");
  group.site.router(0).kill();
  group.orderTwice("with-two-routers");
  // Its replacement has no vote; it receives the state of the group from its peers.
  group.site.startRouter(0, {"--peers=" + group.site.routerAddress(1)});
  REQUIRE(eventually([&] { return group.claims(0).at("epoch").to_number<int>() > 0; }));
  CHECK_FALSE(group.claims(0).at("voting").as_bool());
  group.orderTwice("with-a-replaced-router");
  CHECK(group.order(1, "during").status == 200);
  CHECK(group.executions("during") == 1);
  group.setTable("up");
  // A new epoch includes the replacement and has every claim.
  const auto votes = [&] { return group.claims(0).at("voting").as_bool(); };
  REQUIRE(eventually(votes, kTimeout));
  group.orderTwice("after");
  for (const char* key : {"before", "during", "with-two-routers", "with-a-replaced-router"}) {
    CHECK(group.order(0, key).status == 200);
    CHECK(group.executions(key) == 1);
  }
}
