#include "sidecar/router_selector.h"

#include <catch2/catch.hpp>

using namespace crankspur;

namespace {

SubmitRequest request(const std::string& prompt, const std::string& model = "ranger") {
  SubmitRequest value;
  value.tenant = "tallow";
  value.model = model;
  value.prompt = prompt;
  return value;
}

SubmitRequest operation(const std::string& key) {
  SubmitRequest value;
  value.kind = RequestKind::Application;
  value.tenant = "tallow";
  value.operation = "book";
  value.idempotency_key = key;
  return value;
}

std::vector<RouterCandidate> sixRouters() {
  return {{"a1", "annex", "creek"}, {"a2", "annex", "creek"}, {"a3", "annex", "creek"},
          {"p1", "pump", "creek"},  {"p2", "pump", "creek"},  {"far", "dam", "river"}};
}

}  // namespace

TEST_CASE("an operation goes to the own zone first, other regions last", "[sidecar]") {
  RendezvousRouterSelector selector("pump", "creek");
  selector.setRouters(sixRouters());
  const std::vector<std::string> ranked = selector.rank(operation("key"));
  REQUIRE(ranked.size() == 6);
  CHECK(ranked[0][0] == 'p');
  CHECK(ranked[1][0] == 'p');
  CHECK(ranked[5] == "far");
}

TEST_CASE("completions of one model go to one router of the region, regardless of the zone of the sidecar",
          "[sidecar]") {
  RendezvousRouterSelector annex("annex", "creek");
  RendezvousRouterSelector pump("pump", "creek");
  annex.setRouters(sixRouters());
  pump.setRouters(sixRouters());
  for (int number = 0; number < 20; ++number) {
    const std::string model = "model" + std::to_string(number);
    const std::vector<std::string> ranked = annex.rank(request("a", model));
    CHECK(ranked == pump.rank(request("b", model)));
    CHECK(ranked.back() == "far");
  }
}

TEST_CASE("removing a router moves only its models, each to the next router in its ranking", "[sidecar]") {
  RendezvousRouterSelector selector("annex", "creek");
  selector.setRouters(sixRouters());
  std::vector<std::vector<std::string>> before;
  for (int number = 0; number < 60; ++number) {
    before.push_back(selector.rank(request("p", std::to_string(number))));
  }
  auto routers = sixRouters();
  routers.erase(routers.begin());
  selector.setRouters(routers);
  for (int number = 0; number < 60; ++number) {
    const std::vector<std::string>& old = before[static_cast<std::size_t>(number)];
    CHECK(selector.rank(request("p", std::to_string(number)))[0] == (old[0] == "a1" ? old[1] : old[0]));
  }
}

TEST_CASE("a hot model is spread over routers: none exceeds its bound", "[sidecar]") {
  RendezvousRouterSelector selector("annex", "creek");
  selector.setRouters(sixRouters());
  for (std::uint32_t number = 0; number < kMinInFlightBound; ++number) {
    selector.recordStarted(selector.rank(request("hot"))[0]);
  }
  CHECK(selector.inFlight(selector.rank(request("hot"))[0]) == 0);
  for (int number = 0; number < 400; ++number) selector.recordStarted(selector.rank(request("hot"))[0]);
  std::uint32_t total = 0;
  for (const char* name : {"a1", "a2", "a3", "p1", "p2"}) {
    INFO(name);
    CHECK(selector.inFlight(name) <= 117);
    total += selector.inFlight(name);
  }
  CHECK(total == 464);
  CHECK(selector.inFlight("far") == 0);
  for (int number = 0; number < 500; ++number) selector.recordFinished("a1");
  CHECK(selector.inFlight("a1") == 0);
}

TEST_CASE("operations of one zone are spread evenly", "[sidecar]") {
  RendezvousRouterSelector selector("annex", "creek");
  selector.setRouters(sixRouters());
  for (int number = 0; number < 90; ++number) selector.recordStarted(selector.rank(operation("hot"))[0]);
  for (const char* name : {"a1", "a2", "a3"}) {
    INFO(name);
    CHECK(selector.inFlight(name) >= 1);
    CHECK(selector.inFlight(name) <= 38);
  }
}
