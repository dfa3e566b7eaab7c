#include <algorithm>

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {

TEST_CASE("stream bytes are forwarded as received, and the end only if the response is complete",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("answer");
  fixture.head(200);
  CHECK(fixture.only<ForwardHead>().exchange == fixture.last.exchange);
  fixture.bytes("id: 1\nda");
  CHECK(fixture.only<ForwardBytes>().bytes == "id: 1\nda");
  SECTION("it ends") {
    fixture.end();
    CHECK(fixture.has<EndResponse>());
  }
  SECTION("it breaks") {
    fixture.breakExchange(true);
    CHECK(fixture.has<AbortResponse>());
    CHECK_FALSE(fixture.has<Dispatch>());
  }
}

TEST_CASE("a resumable stream continues at another back end after the last complete event", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  const std::string first = fixture.last.address;
  fixture.head(200);
  CHECK(fixture.has<ForwardHead>());
  fixture.bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  CHECK(fixture.only<ForwardBytes>().bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  SECTION("it breaks") {
    fixture.breakExchange(true);
  }
  SECTION("it ends within an event") {
    fixture.end();
  }
  CHECK(fixture.only<Dispatch>().terms.resume_after == 2);
  CHECK(fixture.last.address != first);
  fixture.head(200);
  CHECK_FALSE(fixture.has<ForwardHead>());
  fixture.bytes("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(fixture.only<ForwardBytes>().bytes == "id: 3\ndata: c\n\n");
  fixture.end();
  CHECK(fixture.has<EndResponse>());
}

TEST_CASE("a failed resumption aborts the stream", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  fixture.head(200);
  fixture.bytes("id: 1\ndata: a\n\n");
  fixture.breakExchange(true);
  SECTION("with an error response") {
    fixture.head(500);
  }
  SECTION("by a broken exchange") {
    fixture.breakExchange(true);
  }
  SECTION("as not run") {
    fixture.notRun();
  }
  CHECK(fixture.has<AbortResponse>());
  CHECK_FALSE(fixture.has<Refuse>());
}

TEST_CASE("the resume position of a client is sent to the back end", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  IncomingRequest incoming = GatewayFixture::request("review");
  incoming.client->resume_after = 12;
  fixture.send(incoming);
  CHECK(fixture.only<Dispatch>().terms.resume_after == 12);
}

TEST_CASE("the cursor finds complete events however the text is divided", "[gateway]") {
  const std::string text = "weights: 2\nid: 5\r\ndata: a\r\n\r\n: note\n\nid: 6\ndata: b\n\n";
  for (std::size_t step = 1; step < text.size(); ++step) {
    StreamCursor cursor(4);
    std::string passed;
    for (std::size_t start = 0; start < text.size(); start += step)
      passed += cursor.feed(text.substr(start, step));
    CHECK(passed == text);
    CHECK(cursor.lastEvent() == 6);
    CHECK_FALSE(cursor.hasPartialEvent());
  }
}

// A keep-alive comment after the last event was kept as the start of an event: the complete stream counted as
// broken off and was resumed.
TEST_CASE("a resumable stream that ends with a comment is complete", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  fixture.head(200);
  fixture.bytes("id: 1\ndata: a\n\n: alive\n");
  CHECK(fixture.only<ForwardBytes>().bytes == "id: 1\ndata: a\n\n: alive\n");
  fixture.end();
  CHECK(fixture.has<EndResponse>());
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("a request goes to the engine that holds its prefix", "[gateway]") {
  for (const EngineSlot holder : {EngineSlot{3}, EngineSlot{4}}) {
    GatewayFixture fixture;
    fixture.publish();
    CachedPartsUpdate update;
    update.slot = holder;
    update.incarnation = 1000U + holder;
    update.parts = {{cacheScope("1", ""), "m", 11, 1600}};
    fixture.gateway.onCachedParts(update, fixture.now);
    fixture.send("review");
    CHECK(fixture.only<Dispatch>().terms.expected_backend == "b" + std::to_string(holder));
  }
}

TEST_CASE("evicted prompt parts do not attract requests", "[gateway]") {
  RandomSource random(1);
  EngineChoice choice(10'000, random);
  GatewaySnapshot snapshot;
  snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm")};
  choice.onSnapshot(snapshot);
  const Configuration configuration = makeConfiguration();
  ClientRequest client;
  client.model = "m";
  client.prompt = {{11, 1600}};
  client.prompt_tokens = 1600;
  ChoiceRequest request;
  request.pool = configuration.findPool("lm");
  request.client = &client;
  request.uses_prefixes = true;
  const TimePoint now{seconds(9)};
  const auto uncached = [&] { return choice.choose(request, snapshot, BackendTable(), now).uncached_tokens; };
  CHECK(uncached() == 1600);
  choice.onCachedParts({4, 1004, false, {{cacheScope("1", ""), "m", 11, 1600}}}, now);
  CHECK(uncached() == 1);
  choice.onCachedParts({4, 1004, false, {{cacheScope("1", ""), "m", 11, 800}}}, now);
  CHECK(uncached() == 800);
  choice.onCachedParts({4, 1004, true, {}}, now);
  CHECK(uncached() == 1600);
}

TEST_CASE("all gateways prefill uncached shared parts first at the same engine", "[gateway]") {
  std::string first_reader;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    RandomSource random(seed);
    EngineChoice choice(10'000, random);
    GatewaySnapshot snapshot;
    snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm"), makeBackend(5, "lm")};
    choice.onSnapshot(snapshot);
    const Configuration configuration = makeConfiguration();
    ClientRequest client;
    client.model = "m";
    client.prompt = {{77, 1600}, {seed, 100}};
    client.prompt_tokens = 1700;
    ChoiceRequest request;
    request.pool = configuration.findPool("lm");
    request.client = &client;
    request.uses_prefixes = true;
    const Choice first = choice.choose(request, snapshot, BackendTable(), TimePoint{});
    choice.onDispatch(first, 1, TimePoint{});
    // The part is not prefilled yet, so it cannot be imported; the first engine is chosen again although it
    // is busy.
    const Choice second = choice.choose(request, snapshot, BackendTable(), TimePoint{});
    CHECK(second.backend == first.backend);
    CHECK(second.import_from.empty());
    if (first_reader.empty()) first_reader = first.backend->view.name;
    CHECK(first.backend->view.name == first_reader);
  }
}

TEST_CASE("parts that an engine has prefilled are imported and not prefilled again", "[gateway]") {
  RandomSource random(1);
  EngineChoice choice(10'000, random);
  GatewaySnapshot snapshot;
  snapshot.backends = {makeBackend(3, "lm"), makeBackend(4, "lm")};
  choice.onSnapshot(snapshot);
  Configuration configuration = makeConfiguration();
  configuration.pools[1].link_bits_per_second = 1e12;
  ClientRequest client;
  client.model = "m";
  client.prompt = {{77, 3200}, {78, 100}};
  client.prompt_tokens = 3300;
  ChoiceRequest request;
  request.pool = configuration.findPool("lm");
  request.client = &client;
  request.uses_prefixes = true;
  const Choice first = choice.choose(request, snapshot, BackendTable(), TimePoint{});
  const DispatchedPrompt prompt = choice.onDispatch(first, 1, TimePoint{});
  choice.onFirstByte(*request.pool, prompt, 1, milliseconds(300), TimePoint{milliseconds(300)});
  request.excluded = {first.backend->view.slot};
  const Choice other = choice.choose(request, snapshot, BackendTable(), TimePoint{milliseconds(300)});
  REQUIRE(other.backend != nullptr);
  CHECK(other.import_from == first.backend->view.address);
  CHECK(other.uncached_tokens == 1);
}

TEST_CASE("engines are divided between long and short prompts by the time that these take", "[gateway]") {
  GatewaySnapshot snapshot;
  for (EngineSlot slot = 1; slot <= 12; ++slot) snapshot.backends.push_back(makeBackend(slot, "lm"));
  PromptSizePartition partition;
  partition.onSnapshot(snapshot);
  const auto suiting = [&](bool is_long) {
    return std::count_if(snapshot.backends.begin(), snapshot.backends.end(),
                         [&](const Backend& backend) { return partition.suits(backend.view, is_long); });
  };
  const TimePoint now{seconds(5)};
  partition.observe("lm", true, 2.0, now);
  CHECK(suiting(true) == 12);
  CHECK(suiting(false) == 12);
  partition.observe("lm", false, 1.0, now);
  CHECK(suiting(true) == 8);
  CHECK(suiting(false) == 4);
  partition.observe("lm", true, 17.0, now);
  CHECK(suiting(true) == 9);
  CHECK(suiting(false) == 3);
}

TEST_CASE("the prefill rate of engines is estimated from the time to their first bytes", "[gateway]") {
  PrefillRates rates;
  for (int count = 0; count < 40; ++count) {
    rates.observe("lm", 100, milliseconds(100));  // Too small to count.
    rates.observe("lm", 4000, milliseconds(count % 4 == 0 ? 100 : 300));
  }
  CHECK(rates.rate("lm") > 30'000);
  CHECK(rates.rate("lm") < 41'000);
  CHECK(rates.rate("other") == PrefillRates().rate("other"));
}

TEST_CASE("cached parts are shared only under equal weights and never with an isolated tenant", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  const std::string common = fixture.last.terms.cache_scope;
  IncomingRequest island = GatewayFixture::request("review");
  island.client->api_key = "key-of-island";
  fixture.send(island);
  CHECK(fixture.last.terms.cache_scope != common);
  for (Backend& backend : fixture.backends) {
    if (backend.view.pool == "lm") backend.view.models[0].weights_version = "2";
  }
  fixture.publish();
  fixture.send("review");
  CHECK(fixture.last.terms.cache_scope != common);
  CHECK(fixture.last.terms.expected_weights == 2);
}

TEST_CASE("no request is sent to older weights after the grace time of the newer ones", "[gateway]") {
  GatewayFixture fixture;
  fixture.weights = {{"m", 2}};
  fixture.backends[3].view.models[0].weights_version = "2";
  fixture.backends[3].slots = 1;
  fixture.publish();
  fixture.now += seconds(7);
  fixture.publish();
  fixture.send("review");
  CHECK(fixture.only<Dispatch>().terms.expected_weights == 2);
  fixture.send("review");
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("an engine with older weights gets no request that it would start after the grace time",
          "[gateway]") {
  RandomSource random(1);
  EngineChoice choice(1000, random);
  GatewaySnapshot snapshot;
  snapshot.backends = {makeBackend(3, "lm")};
  const Configuration configuration = makeConfiguration();
  const TimePoint named_at{seconds(100)};
  snapshot.weights = {{"m", 2, named_at}};
  choice.onSnapshot(snapshot);
  WeightsClock clock(seconds(6));
  clock.onSnapshot(snapshot, named_at);
  BackendTable table;
  table.onSnapshot(snapshot, named_at);
  const IncomingRequest incoming = GatewayFixture::request("answer");
  ChoiceRequest request;
  request.pool = configuration.findPool("lm");
  request.client = &*incoming.client;
  request.uses_prefixes = true;
  request.weights_clock = &clock;
  request.weights_margin = seconds(2);
  const auto chosen = [&](Duration after) {
    return choice.choose(request, snapshot, table, named_at + after).backend != nullptr;
  };
  CHECK(chosen(milliseconds(5900)));
  CHECK_FALSE(chosen(seconds(6)));
  // Its queue takes three seconds: a request sent at 5 s would start at 8 s or later.
  table.onFirstByte(3, snapshot.backends[0].view.incarnation, seconds(3), seconds(3), named_at);
  CHECK_FALSE(chosen(seconds(5)));
  CHECK(chosen(milliseconds(400)));
}

}  // namespace crankspur::gateway
