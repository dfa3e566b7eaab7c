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
struct CrashFixture : GatewayFixture {
  CrashFixture() {
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
  void crashLastBackend() {
    for (Backend& backend : backends) {
      if (backend.view.address == last.address) backend.view.incarnation += 1000;
    }
    breakExchange(true);
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
        crashLastBackend();
        ++ended;
      }
      now += milliseconds(300);
    }
    return ended;
  }
};

}  // namespace

TEST_CASE("a request under which three engines ended is not sent to a fourth", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("answer", kBody, 8) == 3);
  const Refuse refusal = fixture.only<Refuse>();
  CHECK(refusal.status == 503);
  CHECK(refusal.retry_after > seconds(1));
  CHECK(refusal.cause == RequestCause::quarantined);
}

TEST_CASE("a stream that may go on elsewhere ends no more engines than others", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("review", kBody, 8) == 3);
}

TEST_CASE("three ends that several gateways saw count together", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("answer", kBody, 1) == 1);
  const CrashUpdate update = fixture.gateway.takeCrashUpdate();
  REQUIRE(update.crashes.size() == 1);
  CrashFixture other;
  other.now = fixture.now;
  other.backends = fixture.backends;
  other.publish();
  other.gateway.onCrashUpdate(update, other.now);
  CHECK(other.attempts("answer", kBody, 4) == 2);
}

TEST_CASE("a request that got a whole answer is free of suspicion", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 2);
  REQUIRE(fixture.sendBody("answer", kBody));
  fixture.head(200);
  fixture.end();
  CHECK(fixture.observer.withdrawn.size() == 1);
  CHECK(fixture.attempts("answer", kBody, 8) == 3);
}

TEST_CASE("what ran beside a request that ends engines goes on and is not refused",
          "[gateway][crash_suspects]") {
  CrashFixture fixture;
  for (int round = 0; round < 8; ++round) {
    fixture.sendBody("answer", kBody);
    const Dispatch crashing = fixture.last;
    const bool runs = fixture.has<Dispatch>();
    REQUIRE(fixture.sendBody("review", "another prompt"));
    fixture.head(200);
    if (runs && fixture.last.address == crashing.address)
      fixture.crashLastBackend();  // It goes on elsewhere.
    fixture.head(200);
    fixture.end();
    fixture.last = crashing;
    if (runs) fixture.crashLastBackend();
    fixture.now += seconds(1);
  }
  for (const RequestEnded& ended : fixture.observer.ended) {
    if (ended.outcome == RequestOutcome::refused) CHECK(ended.cause == RequestCause::quarantined);
  }
  CHECK(fixture.sendBody("review", "another prompt"));
}

TEST_CASE("a request under suspicion runs where the fewest others do", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  std::vector<std::string> busy;
  fixture.attempts("answer", kBody, 2);
  for (int count = 0; count < 9; ++count) {
    REQUIRE(fixture.sendBody("answer", "prompt " + std::to_string(count)));
    busy.push_back(fixture.last.address);
  }
  REQUIRE(fixture.sendBody("answer", kBody));
  const auto others = std::count(busy.begin(), busy.end(), fixture.last.address);
  CHECK(others == 0);
}

TEST_CASE("two attempts of a request under suspicion do not run at once", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 2);
  REQUIRE(fixture.sendBody("answer", kBody));
  const Dispatch first = fixture.last;
  CHECK_FALSE(fixture.sendBody("answer", kBody));
  fixture.last = first;
  fixture.head(200);
  fixture.end();
  CHECK(fixture.has<Dispatch>());  // The answer frees the second one.
}

TEST_CASE("a connection that breaks at a back end which goes on ends nothing", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.backends.resize(3);  // One engine.
  fixture.publish();
  for (int round = 0; round < 6; ++round) {
    REQUIRE(fixture.sendBody("answer", kBody));
    const Dispatch broken = fixture.last;
    fixture.head(200);
    REQUIRE(fixture.sendBody("answer", "other " + std::to_string(round)));
    fixture.head(200);
    fixture.bytes("id: 1\ndata: x\n\n");
    const Dispatch sound = fixture.last;
    fixture.now += milliseconds(10);
    fixture.last = broken;
    fixture.breakExchange(true);
    fixture.now += seconds(1);
    fixture.last = sound;
    fixture.bytes("id: 2\ndata: x\n\n");
    fixture.end();
  }
  CHECK(fixture.observer.suspected.size() == 6);
  CHECK(fixture.observer.withdrawn.size() == 6);
}

TEST_CASE("a back end that leaves as planned cuts its last answers and blames nobody",
          "[gateway][crash_suspects]") {
  CrashFixture fixture;
  for (int round = 0; round < 5; ++round) {
    REQUIRE(fixture.sendBody("answer", kBody));
    fixture.head(200);
    for (Backend& backend : fixture.backends) {
      if (backend.view.address == fixture.last.address) backend.view.state = EngineState::Leaving;
    }
    fixture.publish();
    fixture.takeActions();
    fixture.breakExchange(true);
    fixture.now += seconds(1);
  }
  CHECK(fixture.observer.suspected.empty());
}

TEST_CASE("a quarantined request is tried again after its time", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 8);
  const Duration wait = fixture.only<Refuse>().retry_after;
  fixture.now += wait + milliseconds(1);
  CHECK(fixture.attempts("answer", kBody, 8) == 1);
  CHECK(fixture.only<Refuse>().retry_after > 3 * wait);
}

// An engine crashed under a request and was back before the table of runners said so. The next request sent
// to it was answered by its new start, which refused it as meant for another; that answer was taken to show
// that the earlier start had not crashed, and all gateways withdrew the evidence.
TEST_CASE("the refusal of an engine's next start does not show that the start before lives",
          "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.backends.resize(3);  // One engine.
  fixture.publish();
  REQUIRE(fixture.sendBody("answer", "sent before"));
  const Dispatch before = fixture.last;
  REQUIRE(fixture.sendBody("answer", kBody));
  fixture.head(200);
  fixture.now += milliseconds(10);
  fixture.breakExchange(true);
  SECTION("answered soon") {
    REQUIRE(fixture.sendBody("answer", "sent after"));
    fixture.now += milliseconds(100);
  }
  SECTION("of a request that was sent before the crash") {
    fixture.last = before;
    fixture.now += seconds(2);
  }
  fixture.head(421, wrongBackend(std::nullopt));
  CHECK(fixture.observer.withdrawn.empty());
}

// Connections to engines that lived were reset, one after the other, each while the same innocent request ran
// there. Nothing else ran at these engines, so that nothing showed that they lived: the request was refused
// for a minute.
TEST_CASE("an engine that answers a probe has not crashed", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  for (Pool& pool : fixture.configuration.pools) pool.health_path = "/healthz";
  fixture.publish();
  for (int round = 0; round < 2; ++round) {
    REQUIRE(fixture.sendBody("answer", kBody));
    fixture.head(200);
    fixture.now += milliseconds(50);
    fixture.breakExchange(true);
    fixture.now += seconds(2);
  }
  REQUIRE(fixture.sendBody("answer", kBody));
  fixture.head(200);
  fixture.now += milliseconds(50);
  fixture.breakExchange(true);
  const ProbeBackend probe = fixture.only<ProbeBackend>();
  CHECK(probe.path == "/healthz");
  CHECK(probe.address == fixture.last.address);
  CHECK_FALSE(fixture.sendBody("answer", kBody));  // It waits for the probe.
  CHECK_FALSE(fixture.has<Refuse>());
  fixture.now += milliseconds(3);
  SECTION("it lives: the request runs") {
    fixture.gateway.onProbeResult(probe.probe, true, fixture.now);
    fixture.takeActions();
    CHECK(fixture.has<Dispatch>());
    CHECK(fixture.observer.withdrawn.size() == 1);
  }
  SECTION("it does not: the request is refused at once") {
    fixture.gateway.onProbeResult(probe.probe, false, fixture.now);
    fixture.takeActions();
    CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
  }
  SECTION("no word of it: the request is refused soon") {
    fixture.advance(milliseconds(500));
    CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
  }
}

TEST_CASE("one probe asks for all requests that a back end had", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  for (Pool& pool : fixture.configuration.pools) pool.health_path = "/healthz";
  fixture.backends.resize(3);  // One engine.
  fixture.publish();
  std::vector<Dispatch> sent;
  for (const std::string body : {"one", "two"}) {
    REQUIRE(fixture.sendBody("answer", body));
    sent.push_back(fixture.last);
    fixture.head(200);
  }
  fixture.now += milliseconds(50);
  fixture.last = sent[0];
  fixture.breakExchange(true);
  CHECK(fixture.has<ProbeBackend>());
  fixture.last = sent[1];
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<ProbeBackend>());
}
