#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {

TEST_CASE("an at-most-once request is not repeated after a byte was sent", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  SECTION("the connection broke") {
    fixture.breakExchange(true);
  }
  SECTION("the response lacks the back end's marks") {
    fixture.head(200, {});
  }
  SECTION("the back end responds with 503 without stating that the request was not run") {
    fixture.head(503);
  }
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 502);
}

TEST_CASE("a request that reached no back end is retried without using the retry budget", "[gateway]") {
  GatewaySettings settings;
  settings.retry_budget = {0, seconds(10), 0};
  GatewayFixture fixture(settings);
  fixture.configuration.routes[0].max_attempts = 1;
  fixture.publish();
  fixture.send("order");
  const std::string first = fixture.last.address;
  fixture.breakExchange(false);
  CHECK(fixture.only<Dispatch>().address != first);
  CHECK(fixture.has<ReportUnreachable>());
  fixture.breakExchange(false);
  fixture.advance(seconds(1));
  CHECK(fixture.only<Refuse>().status == 503);
}

TEST_CASE("a request that a back end at capacity did not run is retried elsewhere or refused", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  const std::string first = fixture.last.address;
  fixture.notRun();
  CHECK(fixture.only<Dispatch>().address != first);
  CHECK(fixture.has<DiscardResponse>());
  fixture.notRun();
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(fixture.only<Refuse>().retry_after > Duration(0));
}

// A back end that sends junk counted as silent or crashed: its requests became suspects.
TEST_CASE("a back end whose responses cannot be read counts as failing, not as crashed", "[gateway]") {
  GatewayFixture fixture;
  fixture.configuration.routes[1].max_attempts = 3;
  fixture.publish();
  fixture.send("look");
  const std::string first = fixture.last.address;
  fixture.gateway.onUnreadableResponse(fixture.last.exchange, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<Dispatch>().address != first);
  CHECK(fixture.observer.moved.front().cause == RequestCause::answer_unreadable);
  for (int count = 0; count < 8 && fixture.observer.distrusted.empty(); ++count) {
    fixture.gateway.onUnreadableResponse(fixture.last.exchange, fixture.now);
    fixture.takeActions();
    fixture.send("look");
  }
  CHECK(fixture.observer.distrusted.size() == 1);
  CHECK(fixture.observer.suspected.empty());
}

// Other back ends or clients may have used up the memory.
TEST_CASE("a back end is not blamed for a response that there is no memory for", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  for (int count = 0; count < 8; ++count) {
    fixture.send("order");
    fixture.gateway.onNoMemory(fixture.last.exchange, fixture.now);
    fixture.takeActions();
    CHECK(fixture.only<Refuse>().cause == RequestCause::memory_exhausted);
  }
  CHECK(fixture.observer.distrusted.empty());
}

TEST_CASE("an at-most-once request is not repeated after a response that cannot be read", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  fixture.gateway.onUnreadableResponse(fixture.last.exchange, fixture.now);
  fixture.takeActions();
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 502);
  CHECK(fixture.only<Refuse>().cause == RequestCause::answer_unreadable);
}

TEST_CASE("no request reaches more back ends than its route allows", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.breakExchange(true);
  CHECK(fixture.has<Dispatch>());
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().status == 502);
}

TEST_CASE("a repeat gets the remaining time as its deadline", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.advance(seconds(1));
  fixture.breakExchange(true);
  CHECK(fixture.only<Dispatch>().terms.deadline <= seconds(2));
}

TEST_CASE("repeats do not exceed the retry budget of their pool", "[gateway]") {
  GatewaySettings settings;
  settings.retry_budget = {0.1, seconds(10), 1};
  GatewayFixture fixture(settings);
  for (Backend& backend : fixture.backends) backend.slots = 100;
  fixture.publish();
  int repeats = 0;
  for (int count = 0; count < 20; ++count) {
    fixture.send("look");
    fixture.head(500);
    repeats += fixture.has<Dispatch>() ? 1 : 0;
    if (fixture.has<Dispatch>()) fixture.head(200);
    fixture.end();
    CHECK(fixture.has<ForwardResponse>());
  }
  CHECK(repeats >= 1);
  CHECK(repeats <= 3);
}

TEST_CASE("the retry budget is half a share of the requests of two windows, and recovers after a window",
          "[gateway]") {
  RetryBudget budget({0.2, seconds(10), 8});
  const TimePoint start{seconds(50)};
  constexpr double kSlackOfGateway = 2;
  for (int count = 0; count < 10; ++count) budget.onRequest(start);
  int sent = 0;
  while (budget.tryReserve(kSlackOfGateway, start)) {
    budget.onSent(RetryBudget::Original::ended, start);
    ++sent;
  }
  CHECK(sent == 3);
  CHECK_FALSE(budget.tryReserve(kSlackOfGateway, start + seconds(9)));
  CHECK(budget.tryReserve(kSlackOfGateway, start + seconds(12)));
}

TEST_CASE("an error response of a back end is forwarded unchanged if the request is not repeated",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  fixture.head(500);
  CHECK(fixture.actions.empty());
  fixture.end();
  CHECK(fixture.only<ForwardResponse>().exchange == fixture.last.exchange);
}

TEST_CASE("a response without the back end's marks is never forwarded", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  const std::string first = fixture.last.address;
  fixture.head(200, {});
  CHECK(fixture.has<CancelExchange>());
  CHECK(fixture.only<Dispatch>().address != first);
}

TEST_CASE("a response that is not streamed is forwarded only when it is complete", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.head(200);
  CHECK(fixture.actions.empty());
  fixture.breakExchange(true);
  CHECK(fixture.has<Dispatch>());
  fixture.head(200);
  fixture.end();
  CHECK(fixture.has<ForwardResponse>());
}

TEST_CASE("a request is sent again to a back end with other weights, with the weights that it has",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.configuration.routes[3].max_attempts = 1;
  fixture.backends.pop_back();
  fixture.publish();
  fixture.send("answer");
  CHECK(fixture.only<Dispatch>().terms.expected_weights == 1);
  const std::string old_scope = fixture.last.terms.cache_scope;
  fixture.head(421, wrongBackend(2));
  CHECK(fixture.only<ReportWrongBackend>().weights_version == 2);
  CHECK(fixture.only<Dispatch>().terms.expected_weights == 2);
  CHECK(fixture.last.terms.cache_scope != old_scope);
}

TEST_CASE("a back end with another incarnation than expected gets no requests for some time", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  const std::string first = fixture.last.address;
  fixture.head(421, wrongBackend(std::nullopt));
  CHECK(fixture.only<Dispatch>().address != first);
  fixture.send("order");
  CHECK(fixture.only<Dispatch>().address != first);
}

TEST_CASE("a back end that keeps failing gets no requests while another does not fail", "[gateway]") {
  GatewayFixture fixture;
  for (Backend& backend : fixture.backends) backend.slots = 100;
  fixture.publish();
  int to_first = 0;
  for (int count = 0; count < 60; ++count) {
    fixture.send("order");
    const bool first = fixture.last.address == "10.0.0.1:80";
    if (count >= 30 && first) ++to_first;
    fixture.head(first ? 500 : 200);
    fixture.end();
  }
  CHECK(to_first == 0);
}

TEST_CASE("a repeatable request is retried elsewhere when its back end is unresponsive", "[gateway]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  const std::string first = fixture.last.address;
  const ClientId once = fixture.send("order");
  fixture.advance(milliseconds(1600));
  CHECK(fixture.only<Dispatch>().address != first);
  CHECK(fixture.only<Dispatch>().client != once);
  CHECK(fixture.has<CancelExchange>());
}

TEST_CASE("a request is not retried while its back end is expected to read a long prompt", "[gateway]") {
  GatewayFixture fixture;
  fixture.configuration.routes[2].timeout = seconds(20);
  fixture.publish();
  IncomingRequest review = GatewayFixture::request("review");
  // Two seconds at the initial prefill rate.
  review.client->prompt = {{11, 60'000}};
  review.client->prompt_tokens = 60'000;
  review.client->deadline = seconds(20);
  fixture.send(std::move(review));
  const std::string first = fixture.last.address;
  fixture.advance(milliseconds(3'500));
  CHECK_FALSE(fixture.has<CancelExchange>());
  fixture.advance(milliseconds(800));
  CHECK(fixture.has<CancelExchange>());
  CHECK(fixture.only<Dispatch>().address != first);
}

// A request whose connection opened only after the departure of its back end was listed was sent all the
// same.
TEST_CASE("a request that is not written yet is recalled from a back end that leaves",
          "[gateway][departures]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  const Dispatch first = fixture.last;
  const std::size_t chosen = first.address == fixture.backends[0].view.address ? 0 : 1;
  fixture.backends[chosen].view.state = EngineState::Leaving;
  fixture.publish();
  fixture.takeActions();
  CHECK(fixture.only<RecallUnsent>().exchange == first.exchange);
  fixture.publish();
  fixture.takeActions();
  CHECK_FALSE(fixture.has<RecallUnsent>());

  SECTION("it was not written: it is sent to another back end, also if it may run only once") {
    fixture.breakExchange(false);
    CHECK(fixture.only<Dispatch>().address != first.address);
  }
  SECTION("it was written: the back end's response counts") {
    fixture.head(200);
    fixture.end();
    CHECK(fixture.has<ForwardResponse>());
  }
}

}  // namespace crankspur::gateway
