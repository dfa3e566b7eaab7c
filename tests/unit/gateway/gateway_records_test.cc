/// @file What a gateway reports to its observer: each request that ends has exactly one final record, with
/// the cause.

#include "gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// @return the only final record; fails the test unless there is one, with the id of the fixture's requests.
RequestEnded onlyEnd(const GatewayFixture& fixture) {
  REQUIRE(fixture.observer.ended.size() == 1);
  CHECK(fixture.observer.ended_ids.front() == "id");
  return fixture.observer.ended.front();
}

}  // namespace

TEST_CASE("a request with a complete response is reported as admitted, placed and answered",
          "[gateway][records]") {
  GatewayFixture fixture;
  fixture.key_validity = seconds(5);
  fixture.contact->confirm(fixture.now);
  fixture.publish();
  fixture.send("review");
  REQUIRE(fixture.observer.admitted.size() == 1);
  REQUIRE(fixture.observer.placed.size() == 1);
  const RequestPlaced& placed = fixture.observer.placed.front();
  CHECK(placed.dispatch == 1);
  CHECK(placed.candidates == 2);
  CHECK(placed.cost > 0);
  CHECK(placed.runner_up_cost >= placed.cost);
  CHECK(placed.uncached_tokens == 1700);
  CHECK(placed.weights == 1U);
  CHECK_FALSE(placed.cache_age);
  fixture.now += milliseconds(40);
  fixture.head(200);
  fixture.bytes("id: 1\ndata: a\n\n");
  fixture.end();
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.outcome == RequestOutcome::answered);
  CHECK(ended.cause == RequestCause::none);
  CHECK(ended.status == 200);
  CHECK(ended.first_byte == milliseconds(40));
  CHECK(ended.keys_age == milliseconds(40));
}

TEST_CASE("a refusal reports its cause and when the client may retry", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.backends.clear();
  fixture.publish();
  fixture.send("order");
  fixture.advance(seconds(1));
  REQUIRE(fixture.observer.waiting.size() == 1);
  CHECK(fixture.observer.waiting.front().cause == RequestCause::no_back_end);
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.outcome == RequestOutcome::refused);
  CHECK(ended.cause == RequestCause::no_back_end);
  CHECK(ended.status == 503);
  CHECK(ended.retry_after > Duration(0));
  CHECK_FALSE(ended.may_have_run);
}

TEST_CASE("requests that fail the checks on arrival are reported with the cause", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.send("order");
  CHECK(onlyEnd(fixture).cause == RequestCause::no_configuration);
  fixture.publish();
  fixture.send("nowhere");
  IncomingRequest stranger = GatewayFixture::request("order");
  stranger.client->api_key = "other";
  fixture.send(stranger);
  IncomingRequest malformed = GatewayFixture::request("order");
  malformed.client.reset();
  fixture.send(malformed);
  REQUIRE(fixture.observer.ended.size() == 4);
  CHECK(fixture.observer.ended[1].cause == RequestCause::no_route);
  CHECK(fixture.observer.ended[2].cause == RequestCause::unknown_key);
  CHECK(fixture.observer.ended[2].outcome == RequestOutcome::rejected);
  CHECK(fixture.observer.ended[3].cause == RequestCause::malformed_head);
}

TEST_CASE("a request that the driver could not read is reported with the cause", "[gateway][records]") {
  struct Unread {
    int status;
    RequestCause cause;
    RequestOutcome outcome;
    http::RejectionReason reason = http::RejectionReason::limits;
  };
  const Unread unread = GENERATE(values<Unread>({
      {400, RequestCause::malformed_head, RequestOutcome::rejected},
      {408, RequestCause::arrived_too_slowly, RequestOutcome::refused},
      {413, RequestCause::body_too_large, RequestOutcome::rejected},
      {431, RequestCause::head_too_large, RequestOutcome::rejected},
      {503, RequestCause::too_many_connections, RequestOutcome::refused},
      {503, RequestCause::memory_exhausted, RequestOutcome::refused, http::RejectionReason::no_memory},
      {503, RequestCause::stopping, RequestOutcome::refused, http::RejectionReason::stopping},
  }));
  GatewayFixture fixture;
  fixture.gateway.onUnreadableRequest("id", unread.status, unread.reason, TimePoint{});
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.cause == unread.cause);
  CHECK(ended.outcome == unread.outcome);
  CHECK(ended.status == unread.status);
  CHECK_FALSE(ended.may_have_run);
}

TEST_CASE("a broken exchange is reported, and the back end at which the request ended",
          "[gateway][records]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("order");
  const std::string first = fixture.observer.placed_at.front();
  fixture.breakExchange(true);
  REQUIRE(fixture.observer.moved.size() == 1);
  CHECK(fixture.observer.moved.front().cause == RequestCause::answer_broke_off);
  CHECK(fixture.observer.moved.front().repeat == RepeatDecision::not_allowed);
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.outcome == RequestOutcome::failed);
  CHECK(ended.status == 502);
  CHECK(ended.may_have_run);
  CHECK(fixture.observer.ended_at.front() == first);
}

TEST_CASE("a retry is reported with its cause and the remaining retry budget", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("look");
  fixture.head(500);
  REQUIRE(fixture.observer.moved.size() == 1);
  const RequestMoved& moved = fixture.observer.moved.front();
  CHECK(moved.cause == RequestCause::error_answer);
  CHECK(moved.status == 500);
  CHECK(moved.repeat == RepeatDecision::budgeted);
  CHECK(moved.budget_left > 0);
  REQUIRE(fixture.observer.placed.size() == 2);
  CHECK(fixture.observer.placed.back().dispatch == 2);
  CHECK(fixture.observer.placed_at[0] != fixture.observer.placed_at[1]);
}

TEST_CASE("an aborted stream and a client that disconnects are reported with different outcomes",
          "[gateway][records]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("answer");
  fixture.head(200);
  fixture.bytes("id: 1\ndata: a\n\n");
  fixture.breakExchange(true);
  const ClientId leaving = fixture.send("answer");
  fixture.gateway.onClientDisconnected(leaving, fixture.now);
  REQUIRE(fixture.observer.ended.size() == 2);
  CHECK(fixture.observer.ended[0].outcome == RequestOutcome::cut);
  CHECK(fixture.observer.ended[0].cause == RequestCause::answer_broke_off);
  CHECK(fixture.observer.ended[1].outcome == RequestOutcome::abandoned);
  CHECK(fixture.observer.ended[1].cause == RequestCause::client_left);
}

TEST_CASE("a request that exceeds its deadline is reported with 504", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.backends = {makeBackend(1, "app")};
  fixture.publish();
  fixture.send("order");
  fixture.advance(seconds(5));
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.status == 504);
  CHECK(ended.cause == RequestCause::time_ran_out);
}

TEST_CASE("a back end that keeps failing is reported as distrusted once", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.backends = {makeBackend(1, "app")};
  fixture.publish();
  for (int request = 0; request < 12 && fixture.observer.distrusted.empty(); ++request) {
    fixture.send("order");
    if (fixture.has<Dispatch>()) fixture.breakExchange(true);
  }
  REQUIRE(fixture.observer.distrusted.size() == 1);
  CHECK(fixture.observer.distrusted.front() == "b1");
}

// Without the framing, lines of a truncated response do not tell whether the back end or the gateway stated
// that it was complete.
TEST_CASE("the framing of a response and an end within an event are reported", "[gateway][records]") {
  GatewayFixture fixture;
  fixture.publish();
  fixture.send("review");
  BackendResponse response = genuineResponse();
  response.framing = http::BodyFraming::Close;
  response.event_stream = true;
  fixture.head(200, response);
  fixture.bytes("id: 1\ndata: a\n\nid: 2\n");
  fixture.breakExchange(true);
  REQUIRE(fixture.observer.moved.size() == 1);
  CHECK(fixture.observer.moved.front().body.framing == http::BodyFraming::Close);
  CHECK(fixture.observer.moved.front().body.inside_event);
  fixture.head(200);
  fixture.bytes("id: 2\ndata: b\n\n");
  fixture.end();
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.body.framing == http::BodyFraming::Chunked);
  CHECK_FALSE(ended.body.inside_event);
}

// Without these numbers, a refusal does not tell whether its gateway is partitioned or its back ends are
// overloaded.
TEST_CASE("a refusal reports how much of its pool is in reach, by requests and by calls that follow caches",
          "[gateway][records]") {
  GatewayFixture fixture;
  for (Backend& backend : fixture.backends) backend.view.state = EngineState::Ejected;
  fixture.backends[2].unresponsive_since = fixture.now;
  fixture.publish();
  fixture.send("answer");
  fixture.advance(seconds(1));
  const RequestEnded ended = onlyEnd(fixture);
  CHECK(ended.outcome == RequestOutcome::refused);
  CHECK(ended.reach.listed == 2);
  CHECK(ended.reach.out_of_reach == 1);
  CHECK(ended.reach.unanswered == 1);
}
