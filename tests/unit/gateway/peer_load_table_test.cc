#include "gateway/peer_load_table.h"

#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

const TimePoint kNow{seconds(9)};

LoadDigest digestOf(std::vector<EngineLoad> loads) {
  LoadDigest digest;
  digest.loads = std::move(loads);
  return digest;
}

EngineLoad load(std::uint64_t incarnation, std::uint32_t tokens, std::uint32_t running) {
  return {"", incarnation, tokens, running, 0};
}

/// Two engines with equal load from this gateway, and a prompt that neither of them holds.
struct TwoEngines {
  TwoEngines() {
    snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm")};
    snapshot.peer_count = 2;
    snapshot.share_divisor = 3;
    choice.onSnapshot(snapshot);
    client.model = "m";
    client.prompt = {{11, 400}};
    client.prompt_tokens = 400;
    request.pool = configuration.findPool("lm");
    request.client = &client;
    request.uses_prefixes = true;
  }
  Choice choose() const { return choice.choose(request, snapshot, BackendTable(), kNow); }

  RandomSource random{1};
  EngineChoice choice{1'000, random};
  GatewaySnapshot snapshot;
  Configuration configuration = makeConfiguration();
  ClientRequest client;
  ChoiceRequest request;
};

}  // namespace

TEST_CASE("the newest digest of each peer counts until it expires", "[gateway][peer_work]") {
  PeerLoadTable peers;
  CHECK(peers.activePeers(kNow) == 0);
  peers.onDigest("a", digestOf({load(1, 100, 2), load(2, 50, 1)}), kNow);
  peers.onDigest("b", digestOf({load(1, 30, 1)}), kNow);
  CHECK(peers.activePeers(kNow) == 2);
  CHECK(peers.at(1, kNow).waiting_tokens == 130);
  CHECK(peers.at(1, kNow).in_flight == 3);
  CHECK(peers.at(2, kNow).waiting_tokens == 50);
  CHECK(peers.at(3, kNow).waiting_tokens == 0);
  peers.onDigest("a", digestOf({load(2, 10, 1)}), kNow + milliseconds(100));
  CHECK(peers.at(1, kNow + milliseconds(100)).waiting_tokens == 30);
  CHECK(peers.at(2, kNow + milliseconds(100)).waiting_tokens == 10);
  CHECK(peers.at(1, kNow + milliseconds(750)).waiting_tokens == 0);
  CHECK(peers.at(2, kNow + milliseconds(750)).waiting_tokens == 10);
  CHECK(peers.activePeers(kNow + milliseconds(750)) == 2);
  CHECK(peers.activePeers(kNow + milliseconds(5'050)) == 1);
}

TEST_CASE("the next digest removes all entries of one that names an engine twice", "[gateway][peer_work]") {
  PeerLoadTable peers;
  peers.onDigest("a", digestOf({load(1, 100, 2), load(1, 70, 1)}), kNow);
  CHECK(peers.at(1, kNow).waiting_tokens == 70);
  peers.onDigest("a", digestOf({}), kNow);
  CHECK(peers.at(1, kNow).waiting_tokens == 0);
  CHECK(peers.activePeers(kNow) == 1);
}

TEST_CASE("a request goes to the engine with less load from other gateways", "[gateway][peer_work]") {
  TwoEngines fleet;
  const Choice first = fleet.choose();
  const std::uint64_t busy = first.backend->view.incarnation;
  fleet.choice.onPeerLoad("a", digestOf({load(busy, 40'000, 3)}), kNow);
  const Choice second = fleet.choose();
  CHECK(second.backend->view.incarnation != busy);
  CHECK(second.expected_first_byte < seconds(1));
}

TEST_CASE("gateways without load reports are assumed to have the load of those with reports",
          "[gateway][peer_work]") {
  const auto expected = [](std::uint32_t peers) {
    TwoEngines fleet;
    fleet.snapshot.peer_count = peers;
    fleet.choice.onPeerLoad("a", digestOf({load(1003, 4'000, 1), load(1004, 4'000, 1)}), kNow);
    return fleet.choose().expected_first_byte;
  };
  CHECK(expected(10) > expected(1));
}

TEST_CASE("application runners are chosen by the load from all gateways", "[gateway][peer_work]") {
  TwoEngines fleet;
  fleet.snapshot.backends = {makeBackend(1, "app"), makeBackend(2, "app")};
  fleet.choice.onSnapshot(fleet.snapshot);
  fleet.request.pool = fleet.configuration.findPool("app");
  fleet.request.uses_prefixes = false;
  for (const EngineSlot busy : {EngineSlot{1}, EngineSlot{2}}) {
    fleet.choice.onPeerLoad("a", digestOf({load(1000U + busy, 0, 2)}), kNow);
    for (int round = 0; round < 20; ++round) CHECK(fleet.choose().backend->view.slot != busy);
  }
}

TEST_CASE("a gateway reports its load at each engine", "[gateway][peer_work]") {
  TwoEngines fleet;
  CHECK(fleet.choice.ownLoadDigest().loads.empty());
  const Choice choice = fleet.choose();
  const DispatchedPrompt prompt = fleet.choice.onDispatch(choice, 1, kNow);
  REQUIRE(fleet.choice.ownLoadDigest().loads.size() == 1);
  const EngineLoad waiting = fleet.choice.ownLoadDigest().loads.front();
  CHECK(waiting.engine_incarnation == choice.backend->view.incarnation);
  CHECK(waiting.queued_tokens == 400);
  CHECK(waiting.running == 1);
  fleet.choice.onFirstByte(*fleet.request.pool, prompt, 1, milliseconds(50), kNow);
  REQUIRE(fleet.choice.ownLoadDigest().loads.size() == 1);
  CHECK(fleet.choice.ownLoadDigest().loads.front().queued_tokens == 0);
  fleet.choice.onEnd(choice.backend->view.slot, 1);
  CHECK(fleet.choice.ownLoadDigest().loads.empty());
}
