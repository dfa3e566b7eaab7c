#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

const TimePoint kNow{seconds(9)};
constexpr EngineSlot kStore = 9;

Backend makeStore() {
  Backend store = makeBackend(kStore, "kept");
  store.is_kv_store = true;
  store.slots = 0;
  return store;
}

/// Two engines, a store and a prompt with a long shared part.
struct FleetWithStore {
  FleetWithStore() {
    configuration.pools[1].link_bits_per_second = 1e12;
    snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm"), makeStore()};
    client.model = "m";
    client.prompt = {{11, 3'200}, {12, 100}};
    client.prompt_tokens = 3'300;
    request.pool = configuration.findPool("lm");
    request.client = &client;
    request.uses_prefixes = true;
    choice.onSnapshot(snapshot);
  }
  Choice choose() const { return choice.choose(request, snapshot, BackendTable(), kNow); }
  /// Reports to the gateway that the back end in a slot has cached the shared part.
  void addCachedPart(EngineSlot slot) {
    choice.onCachedParts({slot, 1000U + slot, false, {{cacheScope("1", ""), "m", 11, 3'200}}}, kNow);
  }

  RandomSource random{1};
  EngineChoice choice{1'000, random};
  GatewaySnapshot snapshot;
  Configuration configuration = makeConfiguration();
  ClientRequest client;
  ChoiceRequest request;
};

}  // namespace

TEST_CASE("shared parts that no store holds are saved to one", "[gateway][kv_store]") {
  FleetWithStore fleet;
  const Choice first = fleet.choose();
  CHECK(first.backend->view.slot != kStore);
  CHECK(first.save_to == fleet.snapshot.backends[2].view.address);
  CHECK(first.import_from.empty());
  fleet.addCachedPart(kStore);
  CHECK(fleet.choose().save_to.empty());
}

TEST_CASE("short shared parts and prompts without shared parts are not saved", "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.client.prompt = {{11, 90}, {12, 3'000}};
  CHECK(fleet.choose().save_to.empty());
  fleet.client.prompt = {{12, 3'300}};
  CHECK(fleet.choose().save_to.empty());
}

TEST_CASE("parts are imported from a store unless the engine or a nearer one holds them",
          "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.addCachedPart(kStore);
  const Choice choice = fleet.choose();
  CHECK(choice.import_from == fleet.snapshot.backends[2].view.address);
  CHECK(choice.uncached_tokens == 100);
  CHECK(choice.shared_tokens_again == 0);
  fleet.addCachedPart(3);
  CHECK(fleet.choose().backend->view.slot == 3);
  CHECK(fleet.choose().import_from.empty());
  // The engine that has cached the part is excluded, and the store is in another zone.
  fleet.request.excluded = {3};
  fleet.snapshot.backends[2].view.zone = "there";
  CHECK(fleet.choose().import_from == fleet.snapshot.backends[0].view.address);
  fleet.snapshot.backends[2].view.zone = "here";
  fleet.snapshot.backends[0].view.zone = "there";
  CHECK(fleet.choose().import_from == fleet.snapshot.backends[2].view.address);
}

TEST_CASE("of sources that hold the same prefix, the one with the faster transfer is chosen",
          "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.snapshot.backends[2].link_bits_per_second = 1e9;
  fleet.addCachedPart(kStore);
  fleet.addCachedPart(3);
  fleet.request.excluded = {3};
  CHECK(fleet.choose().import_from == fleet.snapshot.backends[0].view.address);
  // The store's slow link makes it slower than the engine in another zone, too.
  fleet.snapshot.backends[0].view.zone = "there";
  CHECK(fleet.choose().import_from == fleet.snapshot.backends[0].view.address);
}

TEST_CASE("a slow link of a store delays the expected first byte", "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.addCachedPart(kStore);
  const Duration fast = fleet.choose().expected_first_byte;
  // 3,200 tokens of 1,000 bytes are 25.6 Mbit.
  fleet.snapshot.backends[2].link_bits_per_second = 2.56e8;
  const Duration slow = fleet.choose().expected_first_byte;
  CHECK(slow - fast > milliseconds(90));
  CHECK(slow - fast < milliseconds(110));
}

TEST_CASE("an ejected store is not used for imports or saves", "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.snapshot.backends[2].view.state = EngineState::Ejected;
  CHECK(fleet.choose().save_to.empty());
  fleet.addCachedPart(kStore);
  CHECK(fleet.choose().import_from.empty());
}

TEST_CASE("parts that a store held before an empty restart are not found", "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.addCachedPart(kStore);
  fleet.choice.onCachedParts({kStore, 1000U + kStore, true, {}}, kNow);
  CHECK(fleet.choose().import_from.empty());
  CHECK_FALSE(fleet.choose().save_to.empty());
}

TEST_CASE("parts saved under older weights or for other tenants than an isolated one are not imported",
          "[gateway][kv_store]") {
  FleetWithStore fleet;
  fleet.addCachedPart(kStore);
  SECTION("weights") {
    for (std::size_t index : {0U, 1U}) fleet.snapshot.backends[index].view.models = {{"m", "2", {}}};
  }
  SECTION("isolated tenant") {
    fleet.request.isolated_tenant = "island";
  }
  CHECK(fleet.choose().import_from.empty());
  CHECK_FALSE(fleet.choose().save_to.empty());
}
