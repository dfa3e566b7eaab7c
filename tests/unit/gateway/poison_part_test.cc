/// @file Guards against a prompt part that crashes each engine which begins to answer a request with it. No
/// two of these requests are alike, so that evidence against whole requests never adds up; sound requests
/// share their other parts and their tenant, and must not be refused for them.

#include <string>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::minutes;

namespace {

constexpr std::uint64_t kSharedPart = 11;
constexpr std::uint64_t kPoisonPart = 66;
constexpr std::uint64_t kSoundPart = 12;
/// Crashes after which the fleet has to know the part.
constexpr std::uint32_t kMaxCrashes = 5;

/// A gateway with twelve engines.
struct PartFixture : GatewayFixture {
  PartFixture() {
    for (EngineSlot slot = 5; slot < 15; ++slot) backends.push_back(makeBackend(slot, "lm"));
    for (Backend& backend : backends) backend.slots = 12;
    for (Pool& pool : configuration.pools) pool.health_path = "/healthz";
    own_name = "gateway-1";
    publish();
  }

  /// Sends a request like no other one, with the parts and a last part of its own.
  /// @return its dispatch; exchange 0: it was not sent.
  Dispatch sendParts(std::vector<std::uint64_t> parts) {
    IncomingRequest incoming = request("answer");
    const std::uint64_t number = ++requests;
    parts.push_back(1'000'000 + number);
    incoming.client->request_id = "id-" + std::to_string(number);
    incoming.client->prompt.clear();
    for (const std::uint64_t part : parts) incoming.client->prompt.push_back({part, 100});
    incoming.client->prompt_tokens = static_cast<std::uint32_t>(100 * parts.size());
    const std::string body = "body " + std::to_string(number);
    incoming.body = body;
    send(std::move(incoming));
    return has<Dispatch>() ? last : Dispatch{};
  }

  /// The engine of the dispatch crashes when it begins to answer: the head of its response was sent.
  void crash(const Dispatch& dispatch) {
    last = dispatch;
    head(200);
    breakExchange(true);
    for (const ProbeBackend& probe : all<ProbeBackend>())
      gateway.onProbeResult(probe.probe, ProbeOutcome::refused, now);
    takeActions();
    for (Backend& backend : backends) {
      if (backend.view.address == dispatch.address) backend.view.incarnation += 1'000;
    }
    publish();
    takeActions();
  }

  void answer(const Dispatch& dispatch) {
    last = dispatch;
    head(200);
    bytes("id: 1\ndata: x\n\n");
    end();
  }

  /// Sends requests with the poison part until one is refused.
  /// @return the number of engines that crashed.
  std::uint32_t sendPoison(std::uint32_t count) {
    std::uint32_t crashes = 0;
    for (std::uint32_t attempt = 0; attempt < count; ++attempt) {
      const Dispatch poison = sendParts({kSharedPart, kPoisonPart});
      now += milliseconds(100);
      if (poison.exchange != 0) {
        crash(poison);
        ++crashes;
      }
      now += milliseconds(400);
    }
    return crashes;
  }

  std::uint64_t requests = 0;
};

}  // namespace

TEST_CASE("requests with a prompt part that crashes engines are refused after a few crashes",
          "[gateway][poison_part]") {
  PartFixture fixture;
  CHECK(fixture.sendPoison(12) <= kMaxCrashes);
  REQUIRE(fixture.has<Refuse>());
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
  CHECK(fixture.only<Refuse>().retry_after > Duration(0));
}

// The other parts come in the same crashes, also when no request that has them without the poison part is
// answered.
TEST_CASE("requests that share other parts with a prompt part that crashes engines are served",
          "[gateway][poison_part]") {
  PartFixture fixture;
  fixture.sendPoison(12);
  for (int count = 0; count < 5; ++count) {
    const Dispatch sound = fixture.sendParts({kSharedPart, kSoundPart});
    REQUIRE(sound.exchange != 0);
    fixture.now += milliseconds(50);
    fixture.answer(sound);
  }
  CHECK(fixture.sendParts({kSharedPart}).exchange != 0);
}

TEST_CASE("crashes without a common cause refuse no request for a prompt part", "[gateway][poison_part]") {
  PartFixture fixture;
  for (int count = 0; count < 12; ++count) {
    const Dispatch unlucky = fixture.sendParts({kSharedPart, kSoundPart});
    REQUIRE(unlucky.exchange != 0);
    fixture.now += milliseconds(100);
    fixture.crash(unlucky);
    fixture.now += milliseconds(200);
    const Dispatch next = fixture.sendParts({kSharedPart, kSoundPart});
    REQUIRE(next.exchange != 0);
    fixture.answer(next);
    fixture.now += milliseconds(200);
  }
}

TEST_CASE("the last part of a prompt is never suspected", "[gateway][poison_part]") {
  PartFixture fixture;
  for (int count = 0; count < 8; ++count) {
    const Dispatch unlucky = fixture.sendParts({});
    REQUIRE(unlucky.exchange != 0);
    fixture.now += milliseconds(100);
    fixture.crash(unlucky);
    fixture.now += milliseconds(400);
  }
}

// An engine that has delivered a part of the body is past the point at which such a part crashes it.
TEST_CASE("a request whose response body has begun accuses no prompt part", "[gateway][poison_part]") {
  PartFixture fixture;
  for (int count = 0; count < 8; ++count) {
    const Dispatch running = fixture.sendParts({kSharedPart, kSoundPart});
    REQUIRE(running.exchange != 0);
    fixture.now += milliseconds(100);
    fixture.head(200);
    fixture.bytes("id: 1\ndata: x\n\n");
    fixture.crash(running);
    fixture.now += milliseconds(400);
  }
}

TEST_CASE("a part is known at a gateway that only received the evidence of another one",
          "[gateway][poison_part]") {
  PartFixture fixture;
  fixture.sendPoison(12);
  PartFixture other;
  other.now = fixture.now;
  other.gateway.onCrashUpdate(fixture.gateway.takeCrashUpdate(), other.now);
  CHECK(other.sendParts({kSharedPart, kPoisonPart}).exchange == 0);
  CHECK(other.sendParts({kSharedPart, kSoundPart}).exchange != 0);
}

// Each gateway would otherwise try one request as soon as the quarantine is over.
TEST_CASE("after the quarantine of a part one gateway tries it at a time", "[gateway][poison_part]") {
  PartFixture fixture;
  fixture.sendPoison(4);
  const CrashUpdate evidence = fixture.gateway.takeCrashUpdate();
  std::size_t dispatched = 0;
  for (int number = 1; number <= 7; ++number) {
    PartFixture gateway;
    gateway.own_name = "gateway-" + std::to_string(number);
    for (int peer = 1; peer <= 7; ++peer) {
      const std::string name = "gateway-" + std::to_string(peer);
      if (peer != number) gateway.peers.push_back({name, "10.1.0." + std::to_string(peer) + ":80", "here"});
    }
    gateway.now = fixture.now;
    gateway.publish();
    gateway.gateway.onCrashUpdate(evidence, gateway.now);
    CHECK(gateway.sendParts({kSharedPart, kPoisonPart}).exchange == 0);
    gateway.now += minutes(1);
    for (int count = 0; count < 3; ++count) {
      dispatched += gateway.sendParts({kSharedPart, kPoisonPart}).exchange != 0 ? 1 : 0;
    }
  }
  CHECK(dispatched == 1);
}

TEST_CASE("a request that waits for an engine when its part becomes known is not sent",
          "[gateway][poison_part]") {
  PartFixture fixture;
  fixture.sendPoison(3);
  for (Backend& backend : fixture.backends) backend.view.state = EngineState::Ejected;
  fixture.publish();
  fixture.takeActions();
  CHECK(fixture.sendParts({kSharedPart, kPoisonPart}).exchange == 0);
  PartFixture other;
  other.now = fixture.now;
  other.sendPoison(4);
  fixture.gateway.onCrashUpdate(other.gateway.takeCrashUpdate(), fixture.now);
  for (Backend& backend : fixture.backends) backend.view.state = EngineState::Live;
  fixture.publish();
  fixture.takeActions();
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(milliseconds(210));
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().cause == RequestCause::suspicion_undecided);
  fixture.now = other.now + milliseconds(300);
  CHECK(fixture.sendParts({kSharedPart, kPoisonPart}).exchange == 0);
  CHECK(fixture.only<Refuse>().cause == RequestCause::quarantined);
}

// Engines that fall over because they reject too much were taken for engines that a prompt part crashed.
// After some rounds the part that all prompts share was quarantined, and everything was refused for half an
// hour.
TEST_CASE("engines that fall over after rejections accuse no prompt part",
          "[gateway][poison_part][brittle]") {
  PartFixture fixture;
  BackendResponse rejection;
  rejection.not_run = true;
  rejection.tolerated_rejections = 6;
  std::erase_if(fixture.backends, [](const Backend& backend) { return backend.view.slot > 3; });
  fixture.publish();
  for (int count = 0; count < 16; ++count) {
    const Dispatch running = fixture.sendParts({kSharedPart});
    REQUIRE(running.exchange != 0);
    REQUIRE(fixture.sendParts({kSharedPart, kSoundPart}).exchange != 0);
    fixture.head(503, rejection);
    fixture.now += milliseconds(100);
    fixture.crash(running);
    fixture.now += milliseconds(1'400);
  }
  CHECK(fixture.sendParts({kSharedPart}).exchange != 0);
}
