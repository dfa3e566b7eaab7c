/// @file Guards against a poison request that crashes more than three back ends because its crashes are not
/// recorded, or because the evidence is cleared by what proves nothing.

#include <string>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr const char* kPoison = "a poison prompt";
constexpr std::uint32_t kMaxCrashes = 3;

/// A gateway with twelve engines, each of which also runs another request that is only framed by length.
struct EvidenceFixture : GatewayFixture {
  EvidenceFixture() {
    for (EngineSlot slot = 5; slot < 15; ++slot) backends.push_back(makeBackend(slot, "lm"));
    for (Pool& pool : configuration.pools) pool.health_path = "/healthz";
    publish();
  }

  /// @return the dispatch of a request with the body; exchange 0: it was not sent.
  Dispatch sendBody(const std::string& body) {
    IncomingRequest incoming = request("answer");
    incoming.client->request_id = "id-" + std::to_string(last_client);
    incoming.body = body;
    send(std::move(incoming));
    return has<Dispatch>() ? last : Dispatch{};
  }

  /// An engine that crashed starts again as another incarnation.
  void restart(const std::string& address) {
    for (Backend& backend : backends) {
      if (backend.view.address == address) backend.view.incarnation += 1'000;
    }
    publish();
    takeActions();
  }

  /// The pending probes of the engine are refused, since its process is gone.
  void failProbes(ProbeOutcome outcome = ProbeOutcome::refused) {
    for (const ProbeBackend& probe : all<ProbeBackend>()) {
      gateway.onProbeResult(probe.probe, outcome, now);
    }
    takeActions();
  }

  std::uint64_t incarnationAt(const std::string& address) const {
    for (const Backend& backend : backends) {
      if (backend.view.address == address) return backend.view.incarnation;
    }
    return 0;
  }

  /// Another gateway reports that the engine crashed under a request of its own.
  void reportCrash(const std::string& address, TimePoint at) {
    CrashUpdate update;
    const RequestFingerprint other{at.time_since_epoch().count() + 1ULL, 1};
    update.crashes.push_back({other, incarnationAt(address), at - milliseconds(50), at});
    gateway.onCrashUpdate(update, now);
    takeActions();
  }
};

}  // namespace

// An attempt that an overloaded engine ended with an error cleared the evidence of the crashes before.
TEST_CASE("an error response is no evidence that a request crashes no back end",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  const int status = GENERATE(400, 500, 503);
  std::uint32_t crashes = 0;
  for (int attempt = 0; attempt < 12; ++attempt) {
    const Dispatch sent = fixture.sendBody(kPoison);
    if (sent.exchange == 0) break;
    fixture.now += milliseconds(100);
    if (attempt % 2 == 1) {
      fixture.head(status);
      fixture.end();
    } else {
      fixture.head(200);
      fixture.breakExchange(true);
      fixture.failProbes();
      fixture.restart(sent.address);
      ++crashes;
    }
    fixture.now += milliseconds(400);
  }
  CHECK(crashes == kMaxCrashes);
  CHECK(fixture.observer.withdrawn.empty());
}

// The end of a response that ends with its connection looks the same whether the engine crashed or not.
TEST_CASE("a crash that ends a response without framing is recorded with the other crashes at its back end",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  std::uint32_t crashes = 0;
  const bool own_request_breaks = GENERATE(true, false);
  const bool poison_first = GENERATE(true, false);
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Dispatch poison = fixture.sendBody(kPoison);
    if (poison.exchange == 0) break;
    ++crashes;
    fixture.now += milliseconds(100);
    BackendResponse unframed = genuineResponse();
    unframed.framing = http::BodyFraming::Close;
    fixture.head(200, unframed);
    const auto end_poison = [&] {
      fixture.last = poison;
      fixture.end();
    };
    const auto break_other = [&] {
      if (!own_request_breaks) return fixture.reportCrash(poison.address, fixture.now);
      // A request of the same gateway at the engine, which it got before the poison request.
      Dispatch other;
      for (int count = 0; other.address != poison.address && count < 40; ++count) {
        other = fixture.sendBody("other " + std::to_string(attempt) + "-" + std::to_string(count));
      }
      REQUIRE(other.address == poison.address);
      fixture.last = other;
      fixture.breakExchange(true);
      fixture.failProbes();
    };
    if (poison_first) end_poison();
    break_other();
    if (!poison_first) end_poison();
    fixture.failProbes();
    fixture.restart(poison.address);
    fixture.now += seconds(1);
  }
  CHECK(crashes == kMaxCrashes);
}

// Nothing else ran at the engines: the next request to each of them finds it gone.
TEST_CASE("a crash that ends a response without framing is recorded once its back end refuses connections",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  fixture.backends.resize(6);  // Four engines: one that is out of reach is no partition.
  fixture.publish();
  std::uint32_t crashes = 0;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Dispatch poison = fixture.sendBody(kPoison);
    if (poison.exchange == 0) break;
    ++crashes;
    fixture.now += milliseconds(100);
    BackendResponse unframed = genuineResponse();
    unframed.framing = http::BodyFraming::Close;
    fixture.head(200, unframed);
    fixture.end();
    fixture.failProbes();
    fixture.now += milliseconds(200);
    for (int count = 0; count < 12; ++count) {
      const Dispatch next = fixture.sendBody("next " + std::to_string(attempt) + std::to_string(count));
      if (next.address == poison.address) {
        fixture.breakExchange(false);
        fixture.failProbes();
        if (fixture.last.exchange == next.exchange) continue;  // It was not sent to the other one.
      }
      fixture.head(200);
      fixture.end();
    }
    fixture.restart(poison.address);
    fixture.now += seconds(5);
  }
  CHECK(crashes == kMaxCrashes);
}

// A client that gives up while the crash is not detected yet, or an engine that goes silent, ends the
// exchange.
TEST_CASE("a crash under an exchange that the gateway gave up is recorded with the others at its back end",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  const bool client_leaves = GENERATE(true, false);
  std::uint32_t crashes = 0;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Dispatch poison = fixture.sendBody(kPoison);
    if (poison.exchange == 0) break;
    ++crashes;
    fixture.now += milliseconds(100);
    if (client_leaves) {
      const TimePoint crashed_at = fixture.now;
      fixture.now += milliseconds(20);
      fixture.gateway.onClientDisconnected(poison.client, fixture.now);
      fixture.takeActions();
      fixture.reportCrash(poison.address, crashed_at);
    } else {
      const TimePoint crashed_at = fixture.now;
      fixture.advance(seconds(4));  // Up to the deadline.
      fixture.reportCrash(poison.address, crashed_at);
    }
    fixture.restart(poison.address);
    fixture.now += seconds(1);
  }
  CHECK(crashes == kMaxCrashes);
}

TEST_CASE("a request that was given up at a back end which crashes later is not suspected",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Dispatch sent = fixture.sendBody("harmless");
    REQUIRE(sent.exchange != 0);
    fixture.now += milliseconds(100);
    fixture.gateway.onClientDisconnected(sent.client, fixture.now);
    fixture.takeActions();
    fixture.now += milliseconds(15);
    fixture.reportCrash(sent.address, fixture.now);
    fixture.restart(sent.address);
    fixture.now += seconds(1);
  }
  CHECK(fixture.observer.suspected.empty());
}

// A back end says that it leaves and serves on for seconds: a connection that breaks at once is not its
// planned end.
TEST_CASE("a back end that crashes shortly after it said that it leaves is evidence",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  std::uint32_t crashes = 0;
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Dispatch poison = fixture.sendBody(kPoison);
    if (poison.exchange == 0) break;
    ++crashes;
    for (Backend& backend : fixture.backends) {
      if (backend.view.address == poison.address) backend.view.state = EngineState::Leaving;
    }
    fixture.publish();
    fixture.takeActions();
    fixture.now += milliseconds(100);
    fixture.last = poison;
    fixture.breakExchange(true);
    fixture.failProbes();
    fixture.now += seconds(1);
  }
  CHECK(crashes == kMaxCrashes);
}

// Guards against innocent requests that are refused: an engine that is busy answers no probe in time, and
// ends all of its responses with their connections.
TEST_CASE("an engine that does not respond to a probe in time has not crashed",
          "[gateway][poison_evidence]") {
  EvidenceFixture fixture;
  const Dispatch first = fixture.sendBody("harmless");
  fixture.head(200);
  fixture.breakExchange(true);  // One true crash makes it a suspect.
  fixture.failProbes();
  fixture.restart(first.address);
  for (int attempt = 0; attempt < 8; ++attempt) {
    fixture.now += seconds(1);
    REQUIRE(fixture.sendBody("harmless").exchange != 0);
    fixture.now += milliseconds(100);
    BackendResponse unframed = genuineResponse();
    unframed.framing = http::BodyFraming::Close;
    fixture.head(200, unframed);
    fixture.end();
    fixture.now += milliseconds(300);
    fixture.failProbes(ProbeOutcome::silent);
  }
  CHECK(fixture.observer.suspected.size() == 1);
}
