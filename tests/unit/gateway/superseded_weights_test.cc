#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

const TimePoint kNow{seconds(9)};
constexpr EngineSlot kOld = 3;
constexpr EngineSlot kNew = 4;

/// Two engines, one of which has loaded the newest named weights.
struct HalfLoadedFleet {
  HalfLoadedFleet() {
    snapshot.backends = {makeBackend(kOld, "lm"), makeBackend(kNew, "lm")};
    snapshot.backends[1].view.models = {{"m", "2", {}}};
    snapshot.weights = {{"m", 2, kNow}};
    choice.onSnapshot(snapshot);
    clock.onSnapshot(snapshot, kNow);
    client.model = "m";
    request.pool = configuration.findPool("lm");
    request.client = &client;
    request.uses_prefixes = true;
    request.weights_clock = &clock;
  }
  EngineSlot choose(std::uint64_t shared_part) {
    client.prompt = {{shared_part, 800}, {shared_part + 1, 100}};
    client.prompt_tokens = 900;
    return choice.choose(request, snapshot, BackendTable(), kNow).backend->view.slot;
  }
  /// @return requests of 50 different prompts that go to the engine with the named weights.
  int chosenNew() {
    int count = 0;
    for (std::uint64_t part = 0; part < 100; part += 2) count += choose(part) == kNew ? 1 : 0;
    return count;
  }
  void addCachedPart(EngineSlot slot, const std::string& weights, std::uint64_t part) {
    choice.onCachedParts({slot, 1000U + slot, false, {{cacheScope(weights, ""), "m", part, 800}}}, kNow);
  }

  RandomSource random{1};
  EngineChoice choice{1'000, random};
  WeightsClock clock{seconds(6)};
  GatewaySnapshot snapshot;
  Configuration configuration = makeConfiguration();
  ClientRequest client;
  ChoiceRequest request;
};

}  // namespace

TEST_CASE("the clock returns the newest weights", "[gateway][superseded]") {
  const HalfLoadedFleet fleet;
  CHECK(fleet.clock.newestWeightsVersion("m") == 2);
  CHECK_FALSE(fleet.clock.newestWeightsVersion("other"));
}

TEST_CASE("new prompts go to engines with the newest weights while these have capacity",
          "[gateway][superseded]") {
  HalfLoadedFleet fleet;
  CHECK(fleet.chosenNew() == 50);
}

TEST_CASE("a long queue costs more than superseded weights", "[gateway][superseded]") {
  HalfLoadedFleet fleet;
  LoadDigest digest;
  digest.loads = {{"", 1000U + kNew, 80'000, 1, 0}};
  fleet.choice.onPeerLoad("other", digest, kNow);
  CHECK(fleet.chosenNew() == 0);
}

TEST_CASE("parts cached under superseded weights are used while engines with newer weights are busy",
          "[gateway][superseded]") {
  HalfLoadedFleet fleet;
  fleet.addCachedPart(kOld, "1", 10);
  LoadDigest digest;
  digest.loads = {{"", 1000U + kNew, 4'000, 1, 0}};
  fleet.choice.onPeerLoad("other", digest, kNow);
  CHECK(fleet.choose(10) == kOld);
  CHECK(fleet.choose(20) == kNew);
}

// Under overload an engine's queue grows faster than its response times show: requests sent while the queue
// seemed short began seconds later, on weights that were no longer allowed.
TEST_CASE("an engine whose oldest request has waited long gets no request that would start on old weights",
          "[gateway][superseded]") {
  HalfLoadedFleet fleet;
  fleet.snapshot.backends.pop_back();
  fleet.client.prompt = {{10, 800}, {11, 100}};
  fleet.client.prompt_tokens = 900;
  const BackendTable table;
  const Choice first = fleet.choice.choose(fleet.request, fleet.snapshot, table, kNow);
  REQUIRE(first.backend != nullptr);
  fleet.choice.onDispatch(first, 1, kNow);
  CHECK(fleet.choice.choose(fleet.request, fleet.snapshot, table, kNow + seconds(1)).backend != nullptr);
  // Waits for 4 s by now; these weights may be used for 2 s more.
  CHECK(fleet.choice.choose(fleet.request, fleet.snapshot, table, kNow + seconds(4)).backend == nullptr);
}

// The queue may also grow after the request was sent. What has not started in time must not start at all.
TEST_CASE("a request that has not started when its weights become too old is withdrawn",
          "[gateway][superseded]") {
  GatewayFixture fixture;
  fixture.backends.pop_back();  // A single engine, with weights of version 1.
  fixture.publish();
  const std::string route = GENERATE("review", "answer");
  IncomingRequest incoming = GatewayFixture::request(route);
  incoming.client->deadline = seconds(60);
  for (Route& configured : fixture.configuration.routes) configured.timeout = seconds(60);
  fixture.publish();
  fixture.send(incoming);
  REQUIRE(fixture.has<Dispatch>());
  fixture.weights = {{"m", 2, fixture.now}};
  fixture.publish();
  const TimePoint named_at = fixture.now;
  const auto limit = GatewaySettings{}.older_weights_grace + GatewaySettings{}.older_weights_margin;
  bool withdrawn = false;
  while (!withdrawn && fixture.now < named_at + limit + seconds(1)) {
    fixture.advance(milliseconds(50));
    withdrawn = fixture.has<CancelExchange>();
  }
  REQUIRE(withdrawn);
  CHECK(fixture.now < named_at + limit);
}

TEST_CASE("a request that has started goes on when its weights become too old", "[gateway][superseded]") {
  GatewayFixture fixture;
  fixture.backends.pop_back();
  for (Route& configured : fixture.configuration.routes) configured.timeout = seconds(60);
  fixture.publish();
  IncomingRequest incoming = GatewayFixture::request("review");
  incoming.client->deadline = seconds(60);
  fixture.send(incoming);
  fixture.head(200);
  fixture.weights = {{"m", 2, fixture.now}};
  fixture.publish();
  for (int count = 0; count < 240; ++count) {
    fixture.advance(milliseconds(50));
    if (count % 10 == 0) fixture.bytes("id: " + std::to_string(count / 10 + 1) + "\ndata: x\n\n");
    CHECK_FALSE(fixture.has<CancelExchange>());
  }
}

// An engine that is to load new weights waits for its last response. If long streams keep starting on engines
// with superseded weights, a roll-out takes the length of a stream for each group of engines.
TEST_CASE("long streams avoid engines with superseded weights more than short ones",
          "[gateway][superseded]") {
  HalfLoadedFleet fleet;
  const Pool& pool = *fleet.request.pool;
  ClientRequest observed;
  observed.max_completion_tokens = 100;
  for (int count = 0; count < 200; ++count) fleet.choice.onComplete(pool, observed, seconds(1));
  LoadDigest digest;  // Waiting for the engine with the named weights costs more than superseded weights.
  digest.loads = {{"", 1000U + kNew, 7'500, 1, 0}};
  fleet.choice.onPeerLoad("other", digest, kNow);
  fleet.client.max_completion_tokens = 10;
  CHECK(fleet.chosenNew() == 0);
  fleet.client.max_completion_tokens = 900;
  fleet.client.estimated_completion_tokens = 10;  // The client's estimate counts.
  CHECK(fleet.chosenNew() == 0);
  fleet.client.estimated_completion_tokens = 0;
  CHECK(fleet.chosenNew() == 50);
}
