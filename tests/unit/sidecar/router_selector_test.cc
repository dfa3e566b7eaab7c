#include "sidecar/router_selector.h"

#include <catch2/catch.hpp>

using namespace crankspur;

namespace {

SubmitRequest request(const std::string& prompt) {
  SubmitRequest value;
  value.tenant = "tallow";
  value.model = "ranger";
  value.prompt = prompt;
  return value;
}

std::vector<RouterCandidate> sixRouters() {
  return {{"a1", "annex", "creek"}, {"a2", "annex", "creek"}, {"a3", "annex", "creek"},
          {"p1", "pump", "creek"},  {"p2", "pump", "creek"},  {"far", "dam", "river"}};
}

}  // namespace

TEST_CASE("own zone ranks first, other regions last", "[sidecar]") {
  RendezvousRouterSelector selector("pump", "creek");
  selector.setRouters(sixRouters());
  const std::vector<std::string> ranked = selector.rank(request("policy"));
  REQUIRE(ranked.size() == 6);
  CHECK(ranked[0][0] == 'p');
  CHECK(ranked[1][0] == 'p');
  CHECK(ranked[5] == "far");
}

TEST_CASE("prompts with one head meet one router, and losing a router moves only its share", "[sidecar]") {
  RendezvousRouterSelector selector("annex", "creek");
  selector.setRouters(sixRouters());
  const std::string head(kPromptHeadBytes, 'c');
  CHECK(selector.rank(request(head + "family 1"))[0] == selector.rank(request(head + "family 2"))[0]);
  std::vector<std::string> before;
  for (int number = 0; number < 60; ++number) {
    before.push_back(selector.rank(request(std::to_string(number)))[0]);
  }
  auto routers = sixRouters();
  routers.erase(routers.begin());
  selector.setRouters(routers);
  for (int number = 0; number < 60; ++number) {
    const std::string& old = before[static_cast<std::size_t>(number)];
    if (old != "a1") CHECK(selector.rank(request(std::to_string(number)))[0] == old);
  }
}

TEST_CASE("a hot prefix spreads: no router exceeds its bound", "[sidecar]") {
  RendezvousRouterSelector selector("annex", "creek");
  selector.setRouters(sixRouters());
  for (int number = 0; number < 90; ++number) selector.noteStarted(selector.rank(request("hot"))[0]);
  for (const char* name : {"a1", "a2", "a3"}) {
    INFO(name);
    CHECK(selector.inFlight(name) >= 1);
    CHECK(selector.inFlight(name) <= 38);
  }
  for (int number = 0; number < 200; ++number) selector.noteFinished("a1");
  CHECK(selector.inFlight("a1") == 0);
}
