/// @file Guards against streams with events of two builds of a back end's software, which do not fit
/// together: a broken stream went on at any back end, in the same response or in the client's next attempt.

#include <memory>
#include <set>
#include <string>
#include <vector>

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

/// Gateways that exchange messages about the builds that began streams.
class BuildsFleet {
public:
  explicit BuildsFleet(std::size_t gateways) {
    for (std::size_t index = 0; index < gateways; ++index) {
      fixtures_.push_back(std::make_unique<BuildsFixture>());
      fixtures_[index]->own_name = nameOf(index);
      for (std::size_t other = 0; other < gateways; ++other) {
        if (other != index) fixtures_[index]->peers.push_back({nameOf(other), "10.1.0.1:1", "here"});
      }
      fixtures_[index]->publish();
    }
  }
  BuildsFixture& operator[](std::size_t index) { return *fixtures_[index]; }
  void stop(std::size_t index) { stopped_.insert(nameOf(index)); }
  /// Begins a stream at a back end of the build. @return its attempt.
  std::string beginAt(std::size_t gateway, const std::string& build) {
    BuildsFixture& fixture = (*this)[gateway];
    for (int number = 0; number < 100; ++number) {
      const std::string attempt = "attempt " + std::to_string(number);
      const bool is_build = fixture.buildOf(fixture.begin(attempt)) == build;
      fixture.head(200);
      if (is_build) fixture.bytes(kEvent);
      if (is_build) return attempt;
      fixture.end();
    }
    FAIL("no stream began at " << build);
    return "";
  }
  void loseMessages() {
    for (const std::unique_ptr<BuildsFixture>& fixture : fixtures_) fixture->gateway.takeStreamOrigins();
  }
  /// Delivers all messages, also those that they cause. @return how many.
  std::size_t deliver() {
    std::size_t delivered = 0;
    for (bool any = true; any;) {
      any = false;
      for (std::size_t from = 0; from < fixtures_.size(); ++from) {
        for (const StreamOriginMessage& sent : fixtures_[from]->gateway.takeStreamOrigins()) {
          for (std::size_t to = 0; to < fixtures_.size(); ++to) {
            const bool lost = stopped_.contains(nameOf(from)) || stopped_.contains(nameOf(to));
            if (nameOf(to) != sent.gateway || lost) continue;
            fixtures_[to]->gateway.onStreamOrigins(nameOf(from), sent.message, fixtures_[to]->now);
            any = true;
            ++delivered;
          }
        }
      }
    }
    return delivered;
  }

private:
  static std::string nameOf(std::size_t index) { return "gateway-" + std::to_string(index); }

  std::vector<std::unique_ptr<BuildsFixture>> fixtures_;
  std::set<std::string> stopped_;
};

}  // namespace

TEST_CASE("a broken stream goes on only at a back end of the build that began it", "[stream_builds]") {
  for (std::uint64_t stream = 0; stream < 8; ++stream) {
    BuildsFixture fixture;
    IncomingRequest incoming = GatewayFixture::request("review");
    incoming.client->prompt = {{100 + stream, 1'600}, {200 + stream, 100}};
    fixture.send(std::move(incoming));
    const std::string build = fixture.buildOf(fixture.only<Dispatch>());
    fixture.head(200);
    fixture.bytes(kEvent);
    fixture.breakExchange(true);
    REQUIRE(fixture.has<Dispatch>());
    CHECK(fixture.buildOf(fixture.last) == build);
    fixture.head(200);
    // No other back end of the build is left: the client learns of it at once.
    fixture.breakExchange(true);
    CHECK_FALSE(fixture.has<Dispatch>());
    CHECK(fixture.has<AbortResponse>());
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
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(fixture.only<Refuse>().cause == RequestCause::origin_unknown);
  CHECK(fixture.only<Refuse>().retry_after > Duration(0));
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

// The stream waited for a back end of the only build that had served, and went on at one of the next build,
// which was listed first.
TEST_CASE("a stream of the only build that has served goes on at no build that is listed later",
          "[stream_builds]") {
  BuildsFixture fixture;
  for (Backend& backend : fixture.backends) backend.build = "v1";
  fixture.publish();
  fixture.now += seconds(70);
  fixture.publish();
  const std::vector<Backend> all = fixture.backends;
  fixture.remove("v1");
  fixture.resume("an attempt at another gateway");
  REQUIRE_FALSE(fixture.has<Refuse>());
  SECTION("another build is listed") {
    fixture.backends = all;
    for (Backend& backend : fixture.backends) backend.build = "v2";
    fixture.publish();
    fixture.takeActions();
    CHECK_FALSE(fixture.has<Dispatch>());
    CHECK(fixture.only<Refuse>().cause == RequestCause::build_gone);
  }
  SECTION("the build is listed again") {
    fixture.backends = all;
    fixture.publish();
    fixture.takeActions();
    CHECK(fixture.has<Dispatch>());
  }
}

// The gateway that began the stream is killed, and the client takes the stream up at each of the others.
TEST_CASE("a stream goes on at its build at any other gateway", "[stream_builds]") {
  const std::size_t gateways = GENERATE(2, 4, 12);
  for (std::size_t other = 1; other < gateways; ++other) {
    BuildsFleet fleet(gateways);
    const std::string attempt = "attempt " + std::to_string(other);
    const std::string build = fleet[0].buildOf(fleet[0].begin(attempt));
    fleet[0].head(200);
    fleet[0].bytes(kEvent);
    fleet.deliver();
    fleet.stop(0);
    // The back end that would be chosen again is gone.
    std::erase_if(fleet[other].backends,
                  [&](const Backend& one) { return one.view.address == fleet[0].last.address; });
    fleet[other].publish();
    fleet[other].resume(attempt);
    fleet.deliver();
    if (!fleet[other].has<Dispatch>()) fleet[other].takeActions();
    REQUIRE(fleet[other].has<Dispatch>());
    CHECK(fleet[other].buildOf(fleet[other].last) == build);
  }
}

TEST_CASE("streams that began before a second build was listed are told then", "[stream_builds]") {
  GatewayFixture one;
  one.own_name = "first";
  one.peers = {{"second", "10.1.0.1:1", "here"}};
  for (Backend& backend : one.backends) backend.build = "v1";
  one.publish();
  IncomingRequest incoming = GatewayFixture::request("review");
  incoming.client->request_id = "attempt";
  one.send(std::move(incoming));
  one.head(200);
  one.bytes(kEvent);
  CHECK_FALSE(one.gateway.hasStreamOrigins());
  one.backends.back().build = "v2";
  one.publish();
  REQUIRE(one.gateway.hasStreamOrigins());
  const std::vector<StreamOriginMessage> told = one.gateway.takeStreamOrigins();
  REQUIRE(told.size() == 1);
  CHECK(told[0].gateway == "second");
  REQUIRE(told[0].message.begun.size() == 1);
  CHECK(told[0].message.begun[0].build == buildId("v1"));
}

TEST_CASE("a stream that its keepers do not know is refused as soon as they have answered",
          "[stream_builds]") {
  BuildsFleet fleet(4);
  fleet[1].resume("lost");
  CHECK_FALSE(fleet[1].has<Refuse>());
  SECTION("they answer") {
    fleet.deliver();
    fleet[1].takeActions();
  }
  SECTION("they do not answer") {
    fleet[1].advance(milliseconds(200));
  }
  CHECK(fleet[1].only<Refuse>().cause == RequestCause::origin_unknown);
}

// A gateway that is partitioned from the platform and from the others before a second build is listed sees
// one build for as long as it is partitioned.
TEST_CASE("a gateway with an outdated list resumes no unknown stream without the answer of another one",
          "[stream_builds]") {
  BuildsFixture partitioned;
  partitioned.own_name = "partitioned";
  partitioned.peers = {{"gateway-0", "10.1.0.1:1", "here"}};
  for (Backend& backend : partitioned.backends) backend.build = "v1";
  partitioned.now += seconds(100);
  partitioned.list_contact = std::make_shared<PlatformContact>();
  partitioned.list_contact->confirm(partitioned.now);
  partitioned.publish();
  partitioned.now += seconds(40);
  partitioned.list_contact->confirm(partitioned.now);
  partitioned.publish();
  SECTION("the list is current") {
    partitioned.resume("an attempt at another gateway");
    CHECK_FALSE(partitioned.has<Dispatch>());  // The other gateway is asked first.
    partitioned.advance(milliseconds(150));
    CHECK(partitioned.has<Dispatch>());
  }
  SECTION("the list is outdated") {
    partitioned.now += seconds(10);
    partitioned.platform_responds = false;
    partitioned.resume("an attempt at another gateway");
    CHECK_FALSE(partitioned.has<Dispatch>());
    partitioned.advance(milliseconds(200));
    CHECK(partitioned.only<Refuse>().cause == RequestCause::origin_unknown);
  }
}

// The gateway had run for long, and had received the list shortly before the build was first listed: it took
// the only build that it had seen for the only one that served, and asked nobody.
TEST_CASE(
    "a gateway that has not received a build yet continues none of its streams at the build that it knows",
    "[stream_builds]") {
  const std::size_t gateways = GENERATE(2, 4, 12);
  const bool keepers_know = GENERATE(true, false);
  const bool platform_responds = GENERATE(true, false);
  for (std::size_t other = 1; other < gateways; ++other) {
    BuildsFleet fleet(gateways);
    BuildsFixture& late = fleet[other];
    late.list_contact = std::make_shared<PlatformContact>();
    late.list_contact->confirm(late.now - seconds(1));
    late.remove("v1.2");
    late.platform_responds = platform_responds;
    late.served_before = {{hashBytes("lm"), buildId("v1.2"), late.now + seconds(70)}};
    late.now += seconds(70);
    fleet[0].now = late.now;
    late.list_contact->confirm(late.now - seconds(1));
    late.publish();
    const std::string attempt = fleet.beginAt(0, "v1.2");
    if (keepers_know) fleet.deliver();
    if (!keepers_know) fleet.loseMessages();
    late.resume(attempt);
    CHECK_FALSE(late.has<Dispatch>());
    fleet.deliver();
    late.takeActions();
    CHECK_FALSE(late.has<Dispatch>());
    late.advance(seconds(1));
    CHECK_FALSE(late.has<Dispatch>());
  }
}

// The gateway that resumes the stream lags: another one has told it the build, which its list does not show.
TEST_CASE("a stream of a known build that is not listed goes on once the list was read again",
          "[stream_builds]") {
  BuildsFixture late;
  const std::vector<Backend> all = late.backends;
  late.remove("v1.2");
  late.gateway.onStreamOrigins("peer", {{{hashBytes("attempt"), buildId("v1.2"), false, 0}}, {}, {}},
                               late.now);
  SECTION("it is listed then") {
    late.confirms = false;
    late.resume("attempt");
    CHECK_FALSE(late.has<Dispatch>());
    const std::uint64_t number = late.only<ConfirmBuilds>().number;
    late.backends = all;
    late.publish();
    late.gateway.onBuildsConfirmed(late.confirmedBuilds(number), late.now);
    late.takeActions();
    REQUIRE(late.has<Dispatch>());
    CHECK(late.buildOf(late.last) == "v1.2");
  }
  SECTION("it has left") {
    late.resume("attempt");
    CHECK(late.only<Refuse>().cause == RequestCause::build_gone);
    CHECK(late.only<Refuse>().retry_after == Duration(0));
  }
  SECTION("the platform does not respond") {
    late.platform_responds = false;
    late.resume("attempt");
    CHECK(late.only<Refuse>().cause == RequestCause::build_not_listed);
    CHECK(late.only<Refuse>().retry_after > Duration(0));
  }
}

// The client's next attempt may be sent to another service of its route than the first one.
TEST_CASE("a stream of an unknown build goes on nowhere if the services of its route have different builds",
          "[stream_builds]") {
  BuildsFixture fixture;
  for (Backend& backend : fixture.backends) backend.build = backend.view.pool == "lm" ? "v1" : "v2";
  fixture.configuration.routes[2].pools = {{"lm", 1}, {"app", 1}};
  fixture.publish();
  for (int stream = 0; stream < 4; ++stream) {
    fixture.resume("an attempt at another gateway " + std::to_string(stream));
    CHECK_FALSE(fixture.has<Dispatch>());
    CHECK(fixture.only<Refuse>().cause == RequestCause::origin_unknown);
  }
}

// Only the builds of the pool that the route names now were counted, and the stream had begun at another one.
TEST_CASE("a stream of an unknown build goes on nowhere after its route was moved to a pool of another build",
          "[stream_builds]") {
  BuildsFixture fixture;
  for (Backend& backend : fixture.backends) backend.build = backend.view.pool == "lm" ? "v1" : "v2";
  fixture.configuration.routes[2].pools = {{"app", 1}};
  fixture.publish();
  fixture.now += seconds(70);
  fixture.publish();
  fixture.configuration.routes[2].pools = {{"lm", 1}};
  fixture.publish();
  SECTION("while clients resume streams that began before") {
    fixture.now += seconds(20);
    fixture.publish();
    fixture.resume("an attempt at another gateway");
    CHECK_FALSE(fixture.has<Dispatch>());
    CHECK(fixture.only<Refuse>().cause == RequestCause::origin_unknown);
  }
  SECTION("later it goes on") {
    fixture.now += seconds(40);
    fixture.publish();
    fixture.resume("an attempt at another gateway");
    CHECK(fixture.has<Dispatch>());
  }
}

TEST_CASE("a stream that cannot go on is refused without a read of the platform", "[stream_builds]") {
  BuildsFixture fixture;
  fixture.confirms = false;
  fixture.resume("an attempt at another gateway");
  CHECK_FALSE(fixture.has<ConfirmBuilds>());
  CHECK(fixture.only<Refuse>().cause == RequestCause::origin_unknown);
}

// Without the platform nobody can learn that one build serves, so that streams would be refused which the
// gateway knows.
TEST_CASE("a gateway whose list is outdated tells the origins of its streams although it has seen one build",
          "[stream_builds]") {
  BuildsFixture fixture;
  fixture.peers = {{"second", "10.1.0.1:1", "here"}};
  for (Backend& backend : fixture.backends) backend.build = "v1";
  fixture.now += seconds(70);
  fixture.list_contact = std::make_shared<PlatformContact>();
  fixture.list_contact->confirm(fixture.now);
  fixture.publish();
  fixture.begin("early");
  fixture.head(200);
  fixture.bytes(kEvent);
  CHECK_FALSE(fixture.gateway.hasStreamOrigins());
  fixture.now += seconds(5);
  fixture.begin("late");
  fixture.head(200);
  fixture.bytes(kEvent);
  fixture.publish();
  std::set<std::uint64_t> told;
  for (const StreamOriginMessage& message : fixture.gateway.takeStreamOrigins()) {
    for (const StreamOriginRecord& record : message.message.begun) told.insert(record.attempt);
  }
  CHECK(told == std::set<std::uint64_t>{hashBytes("early"), hashBytes("late")});
}
