/// @file Guards against streams that go on at the builds of a pool to which their route was moved while they
/// ran, and against memory for each route of each configuration in a series of changes.

#include "gateway/recent_stream_routes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "base/hash.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);
constexpr std::string_view kHost = "desk.example";

Route routeOf(const char* prefix, const char* pool) {
  Route route;
  route.host = std::string(kHost);
  route.path_prefix = prefix;
  route.repeatability = Repeatability::ResumableStream;
  route.pools.push_back({pool, 1});
  return route;
}

/// The routes of one gateway.
struct Routes {
  void publish(const std::vector<Route>& routes, TimePoint now) {
    auto configuration = std::make_shared<Configuration>();
    configuration->routes = routes;
    GatewaySnapshot snapshot;
    snapshot.configuration = configuration;
    recent.onSnapshot(snapshot, now);
  }
  bool mayHaveBegun(const std::string& path, const std::string& pool) const {
    const PoolIds pools = recent.poolsOf(kHost, path);
    return std::find(pools.begin(), pools.end(), hashBytes(pool)) != pools.end();
  }

  RecentStreamRoutes recent;
};

}  // namespace

TEST_CASE("the earlier pool of a route counts for as long as clients resume streams", "[stream_routes]") {
  Routes routes;
  routes.publish({routeOf("/a/", "one")}, kStart);
  routes.publish({routeOf("/a/", "two")}, kStart + 1s);
  CHECK(routes.mayHaveBegun("/a/x", "one"));
  CHECK(routes.mayHaveBegun("/a/x", "two"));
  routes.publish({routeOf("/a/", "two"), routeOf("/b/", "two")}, kStart + 2s + kStreamResumeTime);
  CHECK_FALSE(routes.mayHaveBegun("/a/x", "one"));
  CHECK(routes.mayHaveBegun("/a/x", "two"));
}

TEST_CASE("the pool of a route that was split or merged counts as well", "[stream_routes]") {
  Routes routes;
  routes.publish({routeOf("/a/", "one")}, kStart);
  routes.publish({routeOf("/a/", "one"), routeOf("/a/b/", "two")}, kStart + 1s);
  CHECK(routes.mayHaveBegun("/a/b/x", "one"));
  CHECK(routes.mayHaveBegun("/a/b/x", "two"));
  CHECK_FALSE(routes.mayHaveBegun("/a/x", "two"));
  routes.publish({routeOf("/a/", "three")}, kStart + 2s);
  CHECK(routes.mayHaveBegun("/a/b/x", "one"));
  CHECK(routes.mayHaveBegun("/a/b/x", "two"));
  CHECK(routes.mayHaveBegun("/a/b/x", "three"));
}
