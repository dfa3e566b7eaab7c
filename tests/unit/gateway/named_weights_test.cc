#include "gateway/named_weights.h"

#include <catch2/catch.hpp>

#include "gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

TEST_CASE("weights found at the start get no fresh grace", "[named_weights]") {
  const TimePoint start(1h);
  WeightsClock clock(6s);
  GatewaySnapshot snapshot;
  snapshot.weights = {{"found", 2, start - 4s}, {"new", 2, {}}};
  clock.onSnapshot(snapshot, start);
  CHECK_FALSE(clock.leastWeights("found", start + 1s));
  CHECK(clock.leastWeights("found", start + 2s) == 2);
  CHECK_FALSE(clock.leastWeights("new", start + 5s));
  CHECK(clock.leastWeights("new", start + 6s) == 2);
}

TEST_CASE("requests prefer the newest weights, the more the longer their answer",
          "[named_weights][gateway]") {
  RandomSource random(1);
  EngineChoice choice(1'000, random);
  GatewaySnapshot snapshot;
  snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm")};
  snapshot.backends[1].view.models = {{"m", "2", {}}};
  snapshot.weights = {{"m", 2, TimePoint{seconds(10)}}};
  choice.onSnapshot(snapshot);
  WeightsClock clock(seconds(6));
  const TimePoint now{seconds(11)};
  clock.onSnapshot(snapshot, now);
  const Configuration configuration = makeConfiguration();
  ClientRequest client;
  client.model = "m";
  client.prompt = {{11, 100}};
  client.prompt_tokens = 100;
  ChoiceRequest request;
  request.pool = configuration.findPool("lm");
  request.client = &client;
  request.uses_prefixes = true;
  request.weights_clock = &clock;
  const auto chosen = [&](std::uint32_t answer_tokens) {
    client.estimated_answer_tokens = answer_tokens;
    return choice.choose(request, snapshot, BackendTable(), now);
  };
  CHECK(chosen(0).weights == 2);
  // The engine with the newest weights becomes busy: short answers go to the other one, long ones stay.
  std::uint64_t dispatch = 0;
  while (chosen(0).weights == 2 && dispatch < 100) choice.onDispatch(chosen(0), ++dispatch, now);
  CHECK(dispatch > 0);
  CHECK(chosen(0).weights == 1);
  CHECK(chosen(400).weights == 2);
}
