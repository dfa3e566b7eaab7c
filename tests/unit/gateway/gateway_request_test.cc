#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {

TEST_CASE("a gateway without a configuration refuses requests as not run with a retry time", "[gateway]") {
  GatewayFixture fixture;
  fixture.send("order");
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(fixture.only<Refuse>().retry_after > Duration(0));
}

TEST_CASE("malformed requests, unknown routes and unknown keys each get their own status", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  IncomingRequest malformed = GatewayFixture::request("order");
  malformed.client.reset();
  fixture.send(malformed);
  CHECK(fixture.only<Refuse>().status == 400);
  fixture.send("nowhere");
  CHECK(fixture.only<Refuse>().status == 404);
  IncomingRequest unknown_key = GatewayFixture::request("order");
  unknown_key.client->api_key = "other";
  fixture.send(unknown_key);
  CHECK(fixture.only<Refuse>().status == 401);
}

TEST_CASE("keys are not accepted once their validity has expired", "[gateway]") {
  GatewayFixture fixture;
  fixture.key_validity = seconds(5);
  fixture.contact->confirm(fixture.now - seconds(5));
  fixture.publish();
  fixture.send("order");
  CHECK(fixture.only<Refuse>().status == 503);
  fixture.configuration.routes[0].needs_tenant = false;
  fixture.publish();
  fixture.send("order");
  CHECK(fixture.has<Dispatch>());
}

TEST_CASE("a gateway that resumes after a suspension accepts no key before the platform confirms the keys",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.key_validity = seconds(5);
  fixture.contact->confirm(fixture.now);
  fixture.publish();
  fixture.send("order");
  CHECK(fixture.has<Dispatch>());
  // The control thread has not run yet: the gateway still has the snapshot from before the suspension.
  fixture.now += seconds(5);
  fixture.send("order");
  CHECK(fixture.only<Refuse>().status == 503);
  fixture.contact->confirm(fixture.now);
  fixture.send("order");
  CHECK(fixture.has<Dispatch>());
}

TEST_CASE("the longest matching path prefix of the host selects the route", "[gateway]") {
  Configuration configuration = makeConfiguration();
  configuration.routes.push_back(makeRoute("order/1", Repeatability::Repeatable, "app"));
  CHECK(configuration.findRoute(kHost, "/order/1/x")->name == "order/1");
  CHECK(configuration.findRoute(kHost, "/order/2")->name == "order");
  CHECK(configuration.findRoute("other.example", "/order/2") == nullptr);
}

TEST_CASE("a dispatch states its back end, tenant, priority and remaining time", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  IncomingRequest incoming = GatewayFixture::request("order");
  incoming.client->api_key = "key-of-island";
  fixture.send(incoming);
  const Dispatch dispatch = fixture.only<Dispatch>();
  CHECK((dispatch.address == "10.0.0.1:80" || dispatch.address == "10.0.0.2:80"));
  CHECK(dispatch.terms.expected_backend == "b" + dispatch.address.substr(7, 1));
  CHECK(dispatch.terms.tenant == "island");
  CHECK(dispatch.terms.priority == 7);
  CHECK(dispatch.terms.deadline <= seconds(3));
  CHECK(dispatch.terms.deadline > milliseconds(2900));
}

TEST_CASE("nothing is sent to a back end that is leaving or removed", "[gateway]") {
  GatewayFixture fixture;
  fixture.backends[0].view.state = EngineState::Leaving;
  fixture.publish();
  for (int count = 0; count < 2; ++count) {
    fixture.send("order");
    CHECK(fixture.only<Dispatch>().terms.expected_backend == "b2");
  }
  fixture.backends.erase(fixture.backends.begin(), fixture.backends.begin() + 2);
  fixture.publish();
  fixture.send("order");
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(seconds(1));
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("requests are queued for a fraction of their first-byte target and then refused", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  for (int count = 0; count < 4; ++count) {
    fixture.send("order");
    CHECK(fixture.has<Dispatch>());
  }
  const ClientId waiting = fixture.send("order");
  CHECK(fixture.actions.empty());
  fixture.advance(milliseconds(50));
  CHECK(fixture.actions.empty());

  SECTION("capacity becomes free") {
    fixture.head(200);
    fixture.end();
    CHECK(fixture.only<Dispatch>().client == waiting);
  }
  SECTION("no capacity becomes free") {
    fixture.advance(milliseconds(51));
    CHECK(fixture.only<Refuse>().client == waiting);
    CHECK(fixture.only<Refuse>().status == 503);
    CHECK(fixture.only<Refuse>().retry_after > Duration(0));
  }
}

TEST_CASE("the most urgent queued request is dispatched first", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  for (int count = 0; count < 4; ++count) fixture.send("order");
  IncomingRequest low = GatewayFixture::request("order");
  low.client->api_key = "key-of-island";
  fixture.send(low);
  const ClientId urgent = fixture.send("order");
  fixture.head(200);
  fixture.end();
  CHECK(fixture.only<Dispatch>().client == urgent);
}

TEST_CASE("the connection limit of a back end is divided among all gateways", "[gateway]") {
  BackendTable table;
  Pool pool;
  pool.max_connections = 50;
  Backend backend = makeBackend(1, "app");
  backend.slots = 0;
  for (int count = 0; count < 8; ++count) {
    CHECK(table.hasCapacity(backend, pool, 5, TimePoint{}));
    table.onDispatch(1);
  }
  CHECK_FALSE(table.hasCapacity(backend, pool, 5, TimePoint{}));
}

TEST_CASE("the backoff of a back end doubles with each consecutive rejection up to a limit", "[gateway]") {
  BackendTable table;
  const Pool pool;
  const Backend backend = makeBackend(1, "lm");
  GatewaySnapshot snapshot;
  snapshot.backends = {backend};
  TimePoint now{seconds(9)};
  table.onSnapshot(snapshot, now);
  const auto refuse = [&] {
    table.onDispatch(1);
    table.onOutcome(1, 1001, DispatchOutcome::Full, now);
  };
  const auto timeUntilSelectable = [&] {
    const TimePoint refused_at = now;
    while (!table.hasCapacity(backend, pool, 1, now)) now += milliseconds(10);
    return now - refused_at;
  };
  refuse();
  CHECK(timeUntilSelectable() == milliseconds(60));
  refuse();
  CHECK(timeUntilSelectable() == milliseconds(120));
  for (int count = 0; count < 6; ++count) {
    refuse();
    timeUntilSelectable();
  }
  refuse();
  CHECK(timeUntilSelectable() == milliseconds(960));
  // A response resets the backoff.
  table.onDispatch(1);
  table.onFirstByte(1, 1001, milliseconds(50), milliseconds(50), now);
  table.onOutcome(1, 1001, DispatchOutcome::Completed, now);
  refuse();
  CHECK(timeUntilSelectable() == milliseconds(60));
}

TEST_CASE("a request whose first byte is expected after its deadline is refused at once", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  IncomingRequest large = GatewayFixture::request("review");
  // More than six seconds at the initial prefill rate.
  large.client->prompt = {{1, 190'000}};
  large.client->prompt_tokens = 190'000;
  fixture.send(large);
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("the exchange of a client that disconnects is cancelled at once", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  const ClientId client = fixture.send("look");
  fixture.gateway.onClientDisconnected(client, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<CancelExchange>().exchange == fixture.last.exchange);
  fixture.end();
  CHECK(fixture.actions.empty());
  fixture.advance(seconds(10));
  CHECK(fixture.actions.empty());
}

TEST_CASE("a request is ended when the timeout of its route expires", "[gateway]") {
  GatewayFixture fixture;
  fixture.configuration.routes[0].timeout = seconds(1);
  fixture.publish();
  SECTION("it may have run") {
    fixture.send("order");
    fixture.advance(milliseconds(999));
    CHECK(fixture.actions.empty());
    fixture.advance(milliseconds(1));
    CHECK(fixture.has<CancelExchange>());
    CHECK(fixture.only<Refuse>().status == 504);
  }
  SECTION("it has not run") {
    fixture.configuration.routes[0].first_byte_target = seconds(40);
    fixture.backends.clear();
    fixture.publish();
    fixture.send("order");
    fixture.advance(seconds(1));
    CHECK(fixture.only<Refuse>().status == 503);
  }
  SECTION("its response has started") {
    fixture.configuration.routes[3].timeout = seconds(1);
    fixture.publish();
    fixture.send("answer");
    fixture.head(200);
    fixture.advance(seconds(1));
    CHECK(fixture.has<CancelExchange>());
    CHECK(fixture.has<AbortResponse>());
    CHECK_FALSE(fixture.has<Refuse>());
  }
}

TEST_CASE("pools get their share of a route's requests at any point of the sequence", "[gateway]") {
  RandomSource random(5);
  RouteShares shares(random);
  Route route;
  route.name = "split";
  route.pools = {{"a", 3}, {"b", 1}, {"c", 1}};
  std::vector<int> counts(3);
  for (int number = 1; number <= 200; ++number) {
    ++counts[shares.next(route)];
    if (number < 20) continue;
    CHECK(std::abs(counts[0] - 0.6 * number) < 2);
    CHECK(std::abs(counts[1] - 0.2 * number) < 2);
  }
}

// One tenant that sends many times its usual would take the engines and the cached prompts of all others.
TEST_CASE("a tenant over its quota gets 429 with a retry time, and other tenants are served",
          "[gateway][quota]") {
  GatewayFixture fixture;
  fixture.configuration.tenants[0].quota = {100, 1'000};
  fixture.configuration.tenants[0].quota_in_tokens = true;
  fixture.configuration.tenants[0].default_tokens = 10;
  fixture.publish();
  fixture.now += seconds(20);
  fixture.send("review");  // 1,700 tokens: the rate for 10 s and a part of the burst.
  CHECK(fixture.has<Dispatch>());
  fixture.now += milliseconds(1);
  std::size_t rejected = 0;
  for (int count = 0; count < 100; ++count) {
    fixture.send("order");  // States no tokens: 10 each.
    if (!fixture.has<Refuse>()) {
      fixture.head(200);
      fixture.end();
      continue;
    }
    ++rejected;
    CHECK(fixture.only<Refuse>().status == 429);
    CHECK(fixture.only<Refuse>().cause == RequestCause::over_quota);
    CHECK(fixture.only<Refuse>().retry_after > Duration(0));
  }
  CHECK(rejected >= 70);
  REQUIRE(fixture.observer.over_quota.size() == rejected);
  CHECK(fixture.observer.over_quota.front().units == 10);
  CHECK(fixture.observer.over_quota.front().quota.limit.per_second == 100);
  IncomingRequest other = GatewayFixture::request("order");
  other.client->api_key = "key-of-island";
  fixture.send(other);
  CHECK(fixture.has<Dispatch>());
}

// A request that no back end has room for is refused as not run: its retry must find the quota unchanged.
TEST_CASE("a request that is refused as not run does not use its tenant's quota", "[gateway][quota]") {
  GatewayFixture fixture;
  fixture.configuration.tenants[0].quota = {1, 10};
  fixture.backends.clear();
  fixture.publish();
  fixture.now += seconds(20);
  for (int count = 0; count < 50; ++count) {
    fixture.send("order");
    fixture.advance(seconds(1));
  }
  CHECK(fixture.observer.over_quota.empty());
  CHECK(fixture.gateway.ownLoadDigest(fixture.now).tenants.front().admitted <= 1);
}

}  // namespace crankspur::gateway
