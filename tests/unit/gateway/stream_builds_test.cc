/// @file Guards against streams with events of two builds of a back end's software, which do not fit
/// together: a broken stream went on at any back end, in the same response or in the client's next attempt.

#include <string>

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr const char* kEvent = "id: 1\ndata: x\n\n";

/// A gateway with four engines of two builds.
struct BuildsFixture : GatewayFixture {
  BuildsFixture() {
    for (EngineSlot slot = 5; slot < 7; ++slot) backends.push_back(makeBackend(slot, "lm"));
    for (Backend& backend : backends) backend.build = backend.view.slot % 2 == 0 ? "v1" : "v1.2";
    configuration.routes[2].max_attempts = 3;
    publish();
  }

  std::string buildOf(const Dispatch& dispatch) const {
    for (const Backend& backend : backends) {
      if (backend.view.address == dispatch.address) return backend.build;
    }
    return "";
  }
  void remove(const std::string& build) {
    std::erase_if(backends, [&build](const Backend& backend) { return backend.build == build; });
    publish();
    takeActions();
  }
  /// Begins a stream as the attempt.
  Dispatch begin(const std::string& attempt) {
    IncomingRequest incoming = request("review");
    incoming.client->request_id = attempt;
    send(std::move(incoming));
    return only<Dispatch>();
  }
  /// The client takes the stream of the attempt up.
  void resume(const std::string& begun_by) {
    IncomingRequest incoming = request("review");
    incoming.client->request_id = begun_by + "-next";
    incoming.client->resume_after = 1;
    incoming.client->resumed_attempt = begun_by;
    send(std::move(incoming));
  }
};

}  // namespace

TEST_CASE("a broken stream goes on only at a back end of the build that began it", "[stream_builds]") {
  BuildsFixture fixture;
  for (int stream = 0; stream < 8; ++stream) {
    const std::string build = fixture.buildOf(fixture.begin("attempt " + std::to_string(stream)));
    fixture.head(200);
    fixture.bytes(kEvent);
    for (int crash = 0; crash < 2; ++crash) {
      fixture.breakExchange(true);
      if (!fixture.has<Dispatch>()) break;
      CHECK(fixture.buildOf(fixture.last) == build);
      fixture.head(200);
    }
    fixture.gateway.onClientDisconnected(fixture.last.client, fixture.now);
    fixture.takeActions();
    fixture.now += seconds(30);
    fixture.publish();
  }
}

TEST_CASE("before its first event a stream goes on at any build", "[stream_builds]") {
  BuildsFixture fixture;
  const std::string build = fixture.buildOf(fixture.begin("attempt"));
  fixture.remove(build);
  fixture.breakExchange(true);
  REQUIRE(fixture.has<Dispatch>());
  CHECK(fixture.buildOf(fixture.last) != build);
}

TEST_CASE("a stream whose build no back end has any more ends at once", "[stream_builds]") {
  BuildsFixture fixture;
  const std::string build = fixture.buildOf(fixture.begin("attempt"));
  fixture.head(200);
  fixture.bytes(kEvent);
  fixture.remove(build);
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.has<AbortResponse>());
}

TEST_CASE("a client's next attempt goes on at the build that began its stream", "[stream_builds]") {
  BuildsFixture fixture;
  for (int stream = 0; stream < 8; ++stream) {
    const std::string attempt = "attempt " + std::to_string(stream);
    const std::string build = fixture.buildOf(fixture.begin(attempt));
    fixture.head(200);
    fixture.bytes(kEvent);
    fixture.gateway.onClientDisconnected(fixture.last.client, fixture.now);
    fixture.takeActions();
    // The back end that began it is gone, another one of its build is there.
    const std::vector<Backend> all = fixture.backends;
    std::erase_if(fixture.backends,
                  [&](const Backend& one) { return one.view.address == fixture.last.address; });
    fixture.publish();
    fixture.resume(attempt);
    REQUIRE(fixture.has<Dispatch>());
    CHECK(fixture.buildOf(fixture.last) == build);
    fixture.head(200);
    fixture.end();
    fixture.backends = all;
    fixture.publish();
  }
}

TEST_CASE("a stream of an unknown build goes on nowhere while two builds serve", "[stream_builds]") {
  BuildsFixture fixture;
  fixture.resume("an attempt at another gateway");
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(seconds(1));
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("a stream of an unknown build goes on while one build serves", "[stream_builds]") {
  BuildsFixture fixture;
  for (Backend& backend : fixture.backends) backend.build = "v1";
  fixture.publish();
  fixture.now += seconds(70);
  fixture.publish();
  fixture.resume("an attempt at another gateway");
  CHECK(fixture.has<Dispatch>());
}
