#include <algorithm>

#include "unit/gateway/gateway_fixture.h"

// Guards against a request that crashes every engine which runs it. Its caller repeats it under new ids at
// any gateway; with attempts limited only per id, it crashed ten engines more than the three allowed, each
// with a dozen other streams. It is recognized by path, tenant and body: it is the one request that ran at
// each engine that crashed, and it never completed.

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr const char* kBody = "a prompt";

/// A gateway with ten engines, so that at any time some engine has not crashed.
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

  /// The engine of the last dispatch crashes and restarts as a new incarnation, as a real one does after
  /// seconds.
  void crashLastBackend() {
    for (Backend& backend : backends) {
      if (backend.view.address == last.address) backend.view.incarnation += 1000;
    }
    breakExchange(true);
    const std::vector<GatewayAction> decided = actions;
    publish();
    actions = decided;
  }

  /// Sends a request with the body `count` times; each engine that runs it crashes.
  /// @return the number of crashes.
  int attempts(const std::string& route, std::string_view body, int count) {
    int crashes = 0;
    for (int attempt = 0; attempt < count; ++attempt) {
      if (!sendBody(route, body)) continue;
      while (has<Dispatch>()) {  // Resumable streams are sent to the next engine at once.
        head(200);
        now += milliseconds(100);
        crashLastBackend();
        ++crashes;
      }
      now += milliseconds(300);
    }
    return crashes;
  }
};

}  // namespace

TEST_CASE("a request that crashed three engines is not sent to a fourth", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("answer", kBody, 8) == 3);
  const Refuse refusal = fixture.only<Refuse>();
  CHECK(refusal.status == 503);
  CHECK(refusal.retry_after > seconds(1));
  CHECK(refusal.cause == RequestCause::quarantined);
}

TEST_CASE("a resumable stream crashes no more engines than other requests", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("review", kBody, 8) == 3);
}

TEST_CASE("crashes that several gateways saw are added up", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  CHECK(fixture.attempts("answer", kBody, 1) == 1);
  const CrashUpdate update = fixture.gateway.takeCrashUpdate();
  // Evidence against the request, and against the prompt part that it shares with others.
  REQUIRE(update.crashes.size() == 2);
  CHECK(update.crashes[0].part_position == 0);
  CHECK(update.crashes[1].part_position == 1);
  CrashFixture other;
  other.now = fixture.now;
  other.backends = fixture.backends;
  other.publish();
  other.gateway.onCrashUpdate(update, other.now);
  CHECK(other.attempts("answer", kBody, 4) == 2);
}

TEST_CASE("a complete response clears the suspicion against its request", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 2);
  REQUIRE(fixture.sendBody("answer", kBody));
  fixture.head(200);
  fixture.end();
  CHECK(fixture.observer.withdrawn.size() == 2);  // That against its shared prompt part as well.
  CHECK(fixture.attempts("answer", kBody, 8) == 3);
}

TEST_CASE("requests that ran beside one that crashes engines are retried and not refused",
          "[gateway][crash_suspects]") {
  CrashFixture fixture;
  for (int round = 0; round < 8; ++round) {
    fixture.sendBody("answer", kBody);
    const Dispatch crashing = fixture.last;
    const bool runs = fixture.has<Dispatch>();
    REQUIRE(fixture.sendBody("review", "another prompt"));
    fixture.head(200);
    if (runs && fixture.last.address == crashing.address)
      fixture.crashLastBackend();  // It is retried elsewhere.
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

TEST_CASE("a suspected request is sent to the engine with the fewest other requests",
          "[gateway][crash_suspects]") {
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

TEST_CASE("two attempts of a suspected request do not run at the same time", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 2);
  REQUIRE(fixture.sendBody("answer", kBody));
  const Dispatch first = fixture.last;
  CHECK_FALSE(fixture.sendBody("answer", kBody));
  fixture.last = first;
  fixture.head(200);
  fixture.end();
  CHECK(fixture.has<Dispatch>());  // The response lets the second attempt run.
}

TEST_CASE("the suspicion after a broken connection is withdrawn when the back end proves live",
          "[gateway][crash_suspects]") {
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
    fixture.last = sound;
    // The back end may have sent these bytes before it crashed.
    fixture.now += milliseconds(100);
    fixture.bytes("id: 2\ndata: x\n\n");
    CHECK(fixture.observer.withdrawn.size() == static_cast<std::size_t>(round));
    fixture.now += seconds(1);
    fixture.bytes("id: 3\ndata: x\n\n");
    fixture.end();
  }
  CHECK(fixture.observer.suspected.size() == 6);
  CHECK(fixture.observer.withdrawn.size() == 6);
}

TEST_CASE("a back end that aborts responses while it leaves as planned causes no suspicion",
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

TEST_CASE("a quarantined request is run again after its quarantine", "[gateway][crash_suspects]") {
  CrashFixture fixture;
  fixture.attempts("answer", kBody, 8);
  const Duration wait = fixture.only<Refuse>().retry_after;
  fixture.now += wait + milliseconds(1);
  CHECK(fixture.attempts("answer", kBody, 8) == 1);
  CHECK(fixture.only<Refuse>().retry_after > 3 * wait);
}

// Guards against withdrawing evidence for a crash: an engine restarts before the table of runners shows the
// crash, and its new incarnation refuses the next request as misdirected. That response must not count as a
// sign that the earlier incarnation is live; all gateways would withdraw the evidence.
TEST_CASE("a refusal by the next incarnation of an engine does not show that the earlier one is live",
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
  SECTION("of a request that was sent after the crash") {
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

// Guards against a wrong quarantine: the connections to several live engines are reset one after the other
// while the same request runs there. With nothing else running at these engines, only a probe can show that
// they are live; without it the request would be refused for a minute.
TEST_CASE("an engine that responds to a probe has not crashed", "[gateway][crash_suspects]") {
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
  CHECK_FALSE(fixture.sendBody("answer", kBody));  // It is queued until the probe completes.
  CHECK_FALSE(fixture.has<Refuse>());
  fixture.now += milliseconds(3);
  SECTION("the engine is live: the request runs") {
    fixture.gateway.onProbeResult(probe.probe, ProbeOutcome::responded, fixture.now);
    fixture.takeActions();
    CHECK(fixture.has<Dispatch>());
    CHECK(fixture.observer.withdrawn.size() == 1);
  }
  SECTION("the engine has crashed: the request is refused at once") {
    fixture.gateway.onProbeResult(probe.probe, ProbeOutcome::silent, fixture.now);
    fixture.takeActions();
    CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
  }
  SECTION("no probe result: the request is refused soon") {
    fixture.advance(milliseconds(500));
    CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
  }
}

TEST_CASE("requests whose exchanges broke at one back end share one probe", "[gateway][crash_suspects]") {
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
