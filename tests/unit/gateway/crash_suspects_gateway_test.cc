#include <algorithm>

#include "unit/gateway/gateway_fixture.h"

// A request ended each engine that began to run it. Its caller sent it again and again, each time under a new
// id, to whichever gateway it found; every attempt began with a full allowance, and ten engines more than
// three ended under it, each with the dozen of streams that ran there. What proved it: of the attempts under
// which engines ended, one in each case was the same request by path, tenant and body, and it never ended
// whole.

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr const char* kBody = "a prompt";

/// A gateway with ten engines, so that there is always one that has not ended.
struct CrashSite : GatewayFixture {
  CrashSite() {
    for (EngineSlot slot = 5; slot < 13; ++slot) backends.push_back(makeBackend(slot, "lm"));
    publish();
  }

  /// @return whether a request with the body was sent to an engine.
  bool sendBody(const std::string& route, std::string_view body) {
    IncomingRequest incoming = request(route);
    incoming.client->request_id = "id-" + std::to_string(last_client);
    incoming.body = body;
    send(std::move(incoming));
    return has<Dispatch>();
  }

  /// The engine of the last dispatch ends and starts again, as it would after some seconds.
  void crashLast() {
    for (Backend& backend : backends) {
      if (backend.view.address == last.address) backend.view.incarnation += 1000;
    }
    lose(true);
    const std::vector<GatewayAction> decided = actions;
    publish();
    actions = decided;
  }

  /// @return engines that end under a request with the body that is sent so many times.
  int attempts(const std::string& route, std::string_view body, int count) {
    int ended = 0;
    for (int attempt = 0; attempt < count; ++attempt) {
      if (!sendBody(route, body)) continue;
      while (has<Dispatch>()) {  // Streams that may go on are sent to the next engine at once.
        head(200);
        now += milliseconds(100);
        crashLast();
        ++ended;
      }
      now += milliseconds(300);
    }
    return ended;
  }
};

}  // namespace

TEST_CASE("a request under which three engines ended is not sent to a fourth", "[gateway][crash_suspects]") {
  CrashSite site;
  CHECK(site.attempts("answer", kBody, 8) == 3);
  const Refuse refusal = site.only<Refuse>();
  CHECK(refusal.status == 503);
  CHECK(refusal.retry_after > seconds(1));
  CHECK(refusal.cause == RequestCause::quarantined);
}

TEST_CASE("a stream that may go on elsewhere ends no more engines than others", "[gateway][crash_suspects]") {
  CrashSite site;
  CHECK(site.attempts("review", kBody, 8) == 3);
}

TEST_CASE("three ends that several gateways saw count together", "[gateway][crash_suspects]") {
  CrashSite site;
  CHECK(site.attempts("answer", kBody, 1) == 1);
  const CrashUpdate update = site.gateway.takeCrashUpdate();
  REQUIRE(update.crashes.size() == 1);
  CrashSite other;
  other.now = site.now;
  other.backends = site.backends;
  other.publish();
  other.gateway.onCrashUpdate(update, other.now);
  CHECK(other.attempts("answer", kBody, 4) == 2);
}

TEST_CASE("a request that got a whole answer is free of suspicion", "[gateway][crash_suspects]") {
  CrashSite site;
  site.attempts("answer", kBody, 2);
  REQUIRE(site.sendBody("answer", kBody));
  site.head(200);
  site.end();
  CHECK(site.observer.withdrawn.size() == 1);
  CHECK(site.attempts("answer", kBody, 8) == 3);
}

TEST_CASE("what ran beside a request that ends engines goes on and is not refused",
          "[gateway][crash_suspects]") {
  CrashSite site;
  for (int round = 0; round < 8; ++round) {
    site.sendBody("answer", kBody);
    const Dispatch guilty = site.last;
    const bool runs = site.has<Dispatch>();
    REQUIRE(site.sendBody("review", "another prompt"));
    site.head(200);
    if (runs && site.last.address == guilty.address) site.crashLast();  // It goes on elsewhere.
    site.head(200);
    site.end();
    site.last = guilty;
    if (runs) site.crashLast();
    site.now += seconds(1);
  }
  for (const RequestEnded& ended : site.observer.ended) {
    if (ended.outcome == RequestOutcome::refused) CHECK(ended.cause == RequestCause::quarantined);
  }
  CHECK(site.sendBody("review", "another prompt"));
}

TEST_CASE("a request under suspicion runs where the fewest others do", "[gateway][crash_suspects]") {
  CrashSite site;
  std::vector<std::string> busy;
  site.attempts("answer", kBody, 2);
  for (int count = 0; count < 9; ++count) {
    REQUIRE(site.sendBody("answer", "prompt " + std::to_string(count)));
    busy.push_back(site.last.address);
  }
  REQUIRE(site.sendBody("answer", kBody));
  const auto others = std::count(busy.begin(), busy.end(), site.last.address);
  CHECK(others == 0);
}

TEST_CASE("two attempts of a request under suspicion do not run at once", "[gateway][crash_suspects]") {
  CrashSite site;
  site.attempts("answer", kBody, 2);
  REQUIRE(site.sendBody("answer", kBody));
  const Dispatch first = site.last;
  CHECK_FALSE(site.sendBody("answer", kBody));
  site.last = first;
  site.head(200);
  site.end();
  CHECK(site.has<Dispatch>());  // The answer frees the second one.
}

TEST_CASE("a connection that breaks at a back end which goes on ends nothing", "[gateway][crash_suspects]") {
  CrashSite site;
  site.backends.resize(3);  // One engine.
  site.publish();
  for (int round = 0; round < 6; ++round) {
    REQUIRE(site.sendBody("answer", kBody));
    const Dispatch broken = site.last;
    site.head(200);
    REQUIRE(site.sendBody("answer", "other " + std::to_string(round)));
    site.head(200);
    site.bytes("id: 1\ndata: x\n\n");
    const Dispatch sound = site.last;
    site.now += milliseconds(10);
    site.last = broken;
    site.lose(true);
    site.now += seconds(1);
    site.last = sound;
    site.bytes("id: 2\ndata: x\n\n");
    site.end();
  }
  CHECK(site.observer.suspected.size() == 6);
  CHECK(site.observer.withdrawn.size() == 6);
}

TEST_CASE("a back end that leaves as planned cuts its last answers and blames nobody",
          "[gateway][crash_suspects]") {
  CrashSite site;
  for (int round = 0; round < 5; ++round) {
    REQUIRE(site.sendBody("answer", kBody));
    site.head(200);
    for (Backend& backend : site.backends) {
      if (backend.view.address == site.last.address) backend.view.state = EngineState::Leaving;
    }
    site.publish();
    site.take();
    site.lose(true);
    site.now += seconds(1);
  }
  CHECK(site.observer.suspected.empty());
}

TEST_CASE("a quarantined request is tried again after its time", "[gateway][crash_suspects]") {
  CrashSite site;
  site.attempts("answer", kBody, 8);
  const Duration wait = site.only<Refuse>().retry_after;
  site.now += wait + milliseconds(1);
  CHECK(site.attempts("answer", kBody, 8) == 1);
  CHECK(site.only<Refuse>().retry_after > 3 * wait);
}

// An engine crashed under a request and was back before the table of runners said so. The next request sent
// to it was answered by its new start, which refused it as meant for another; that answer was taken to show
// that the earlier start had not crashed, and all gateways withdrew the evidence.
TEST_CASE("the refusal of an engine's next start does not show that the start before lives",
          "[gateway][crash_suspects]") {
  CrashSite site;
  site.backends.resize(3);  // One engine.
  site.publish();
  REQUIRE(site.sendBody("answer", "sent before"));
  const Dispatch before = site.last;
  REQUIRE(site.sendBody("answer", kBody));
  site.head(200);
  site.now += milliseconds(10);
  site.lose(true);
  SECTION("answered soon") {
    REQUIRE(site.sendBody("answer", "sent after"));
    site.now += milliseconds(100);
  }
  SECTION("of a request that was sent before the crash") {
    site.last = before;
    site.now += seconds(2);
  }
  site.head(421, wrongBackend(std::nullopt));
  CHECK(site.observer.withdrawn.empty());
}

// Connections to engines that lived were reset, one after the other, each while the same innocent request ran
// there. Nothing else ran at these engines, so that nothing showed that they lived: the request was refused
// for a minute.
TEST_CASE("an engine that answers a probe has not crashed", "[gateway][crash_suspects]") {
  CrashSite site;
  for (Pool& pool : site.configuration.pools) pool.health_path = "/healthz";
  site.publish();
  for (int round = 0; round < 2; ++round) {
    REQUIRE(site.sendBody("answer", kBody));
    site.head(200);
    site.now += milliseconds(50);
    site.lose(true);
    site.now += seconds(2);
  }
  REQUIRE(site.sendBody("answer", kBody));
  site.head(200);
  site.now += milliseconds(50);
  site.lose(true);
  const ProbeBackend probe = site.only<ProbeBackend>();
  CHECK(probe.path == "/healthz");
  CHECK(probe.address == site.last.address);
  CHECK_FALSE(site.sendBody("answer", kBody));  // It waits for the probe.
  CHECK_FALSE(site.has<Refuse>());
  site.now += milliseconds(3);
  SECTION("it lives: the request runs") {
    site.gateway.onProbeResult(probe.probe, true, site.now);
    site.take();
    CHECK(site.has<Dispatch>());
    CHECK(site.observer.withdrawn.size() == 1);
  }
  SECTION("it does not: the request is refused at once") {
    site.gateway.onProbeResult(probe.probe, false, site.now);
    site.take();
    CHECK(site.only<Refuse>().cause == RequestCause::quarantined);
  }
  SECTION("no word of it: the request is refused soon") {
    site.pass(milliseconds(500));
    CHECK(site.only<Refuse>().cause == RequestCause::quarantined);
  }
}

TEST_CASE("one probe asks for all requests that a back end had", "[gateway][crash_suspects]") {
  CrashSite site;
  for (Pool& pool : site.configuration.pools) pool.health_path = "/healthz";
  site.backends.resize(3);  // One engine.
  site.publish();
  std::vector<Dispatch> sent;
  for (const std::string body : {"one", "two"}) {
    REQUIRE(site.sendBody("answer", body));
    sent.push_back(site.last);
    site.head(200);
  }
  site.now += milliseconds(50);
  site.last = sent[0];
  site.lose(true);
  CHECK(site.has<ProbeBackend>());
  site.last = sent[1];
  site.lose(true);
  CHECK_FALSE(site.has<ProbeBackend>());
}
