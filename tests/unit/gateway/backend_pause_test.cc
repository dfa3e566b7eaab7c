/// @file Back ends that reject a request and want no others from this gateway for some time.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

BackendResponse rejectionWithPause(Duration pause) {
  BackendResponse response;
  response.not_run = true;
  response.pause = pause;
  return response;
}

/// Both back ends of each pool take as many requests as are sent.
class PauseFixture : public GatewayFixture {
public:
  PauseFixture() {
    for (Backend& backend : backends) backend.slots = 100;
    publish();
  }

  /// Sends requests, each of which is answered at once.
  /// @return how many of these the back end got.
  int countRequestsTo(const std::string& address, Duration time) {
    constexpr Duration kInterval = milliseconds(20);
    int count = 0;
    for (const TimePoint until = now + time; now < until; advance(kInterval)) {
      send("look");
      if (!has<Dispatch>()) continue;
      count += last.address == address ? 1 : 0;
      head(200);
      end();
    }
    return count;
  }
};

}  // namespace

// The pause was not read: the back end was retried after a backoff of 60 ms, and the first byte of any other
// response ended the backoff.
TEST_CASE("a back end that asked for a pause gets no request of this gateway until the pause ends",
          "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.send("look");
  const std::string paused = fixture.last.address;
  BackendResponse rejection = rejectionWithPause(seconds(3));
  SECTION("it states that it has not run the request") {}
  SECTION("it does not state whether it has run the request") {
    rejection.not_run = false;
    rejection.genuine = true;
  }
  SECTION("the response lacks its marks") {
    rejection.not_run = false;
  }
  fixture.head(503, rejection);
  CHECK(fixture.countRequestsTo(paused, milliseconds(2'980)) == 0);
}

// Responses overtake each other, and those of requests that were sent before the pause arrive during it.
TEST_CASE("of several pauses of a back end the one that ends last holds", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends.erase(fixture.backends.begin());
  fixture.publish();
  fixture.send("look");
  const ExchangeId first = fixture.last.exchange;
  fixture.send("look");
  const ExchangeId second = fixture.last.exchange;
  fixture.send("look");
  fixture.gateway.onHead(first, 503, rejectionWithPause(seconds(3)), fixture.now);
  fixture.gateway.onHead(second, 503, rejectionWithPause(seconds(1)), fixture.now);
  fixture.head(200);
  fixture.end();
  fixture.advance(milliseconds(2'900));
  fixture.send("look");
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.advance(milliseconds(200));
  fixture.send("look");
  CHECK(fixture.has<Dispatch>());
}

// Clients were told to return after 0.15 s, found the back ends paused, and used up their attempts.
TEST_CASE("while all back ends are paused requests are refused at once until the first pause ends",
          "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.send("look");
  fixture.head(503, rejectionWithPause(seconds(5)));
  REQUIRE(fixture.has<Dispatch>());
  fixture.head(503, rejectionWithPause(seconds(3)));
  const auto is_true = [](Duration retry_after) {
    return retry_after >= seconds(3) && retry_after <= seconds(3) + milliseconds(400);
  };
  CHECK(fixture.only<Refuse>().status == 503);
  CHECK(is_true(fixture.only<Refuse>().retry_after));
  fixture.send("look");
  CHECK_FALSE(fixture.has<Dispatch>());
  CHECK(fixture.only<Refuse>().cause == RequestCause::back_ends_paused);
  CHECK(is_true(fixture.only<Refuse>().retry_after));
}

TEST_CASE("a request that is refused by a paused back end may return soon if another one takes requests",
          "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.send("look");
  fixture.notRun();
  REQUIRE(fixture.has<Dispatch>());
  fixture.head(503, rejectionWithPause(seconds(3)));
  CHECK(fixture.only<Refuse>().retry_after < seconds(1));
}

TEST_CASE("a queued request is refused as soon as the last back end pauses", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends = {makeBackend(1, "app")};
  fixture.backends.front().slots = 1;
  fixture.publish();
  fixture.send("look");
  const ExchangeId running = fixture.last.exchange;
  fixture.send("look");
  REQUIRE_FALSE(fixture.has<Refuse>());
  fixture.gateway.onHead(running, 503, rejectionWithPause(seconds(3)), fixture.now);
  fixture.takeActions();
  fixture.advance(milliseconds(40));
  CHECK(fixture.only<Refuse>().cause == RequestCause::back_ends_paused);
  CHECK(fixture.only<Refuse>().retry_after >= seconds(2));
}

// It would arrive in the pause, and its recall was counted as a failed connection.
TEST_CASE("a request whose connection is still being opened when the pause begins goes elsewhere",
          "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends = {makeBackend(1, "app"), makeBackend(3, "lm"), makeBackend(4, "lm")};
  fixture.publish();
  fixture.send("look");
  const ExchangeId refused = fixture.last.exchange;
  fixture.send("look");
  const ExchangeId connecting = fixture.last.exchange;
  fixture.backends.push_back(makeBackend(2, "app"));
  std::swap(fixture.backends[1], fixture.backends[3]);
  std::swap(fixture.backends[2], fixture.backends[3]);
  fixture.publish();
  fixture.gateway.onHead(refused, 503, rejectionWithPause(seconds(3)), fixture.now);
  fixture.takeActions();
  REQUIRE(fixture.only<RecallUnsent>().exchange == connecting);
  fixture.gateway.onLost(connecting, false, fixture.now);
  fixture.takeActions();
  CHECK(fixture.only<Dispatch>().address == "10.0.0.2:80");
  CHECK_FALSE(fixture.has<ReportUnreachable>());
  CHECK(fixture.observer.moved.back().cause == RequestCause::recalled);
}

// Each gateway that had requests waiting would send them all at the end of the pause.
TEST_CASE("after its pause a back end gets few requests at first", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends = {makeBackend(1, "app")};
  fixture.backends.front().slots = 100;
  fixture.publish();
  fixture.send("look");
  fixture.head(503, rejectionWithPause(seconds(3)));
  fixture.advance(milliseconds(3'001));
  const auto count_dispatches = [&fixture] {
    int dispatches = 0;
    for (int count = 0; count < 20; ++count) {
      fixture.send("look");
      dispatches += fixture.has<Dispatch>() ? 1 : 0;
    }
    return dispatches;
  };
  CHECK(count_dispatches() == 1);
  fixture.advance(milliseconds(300));
  CHECK(count_dispatches() <= 4);
  fixture.advance(seconds(2));
  CHECK(count_dispatches() > 4);
}

TEST_CASE("a pause holds for one incarnation, also while it is not listed", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends = {makeBackend(1, "app")};
  fixture.publish();
  fixture.send("look");
  fixture.head(503, rejectionWithPause(seconds(3)));
  const Backend listed = fixture.backends.front();
  fixture.backends.clear();
  fixture.publish();
  fixture.backends = {listed};
  fixture.publish();
  fixture.send("look");
  CHECK_FALSE(fixture.has<Dispatch>());
  fixture.backends.front().view.incarnation = 2'000;
  fixture.publish();
  fixture.send("look");
  CHECK(fixture.has<Dispatch>());
}

TEST_CASE("a failed request is not repeated at a paused back end", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.send("look");
  fixture.head(503, rejectionWithPause(seconds(3)));
  fixture.end();
  fixture.send("look");
  fixture.breakExchange(true);
  CHECK_FALSE(fixture.has<Dispatch>());
}

TEST_CASE("a pause that cannot be read is reported once and leaves the usual backoff",
          "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends.erase(fixture.backends.begin());
  fixture.publish();
  BackendResponse rejection;
  rejection.not_run = true;
  rejection.invalid_pause = "soon";
  for (int count = 0; count < 3; ++count) {
    fixture.send("look");
    REQUIRE(fixture.has<Dispatch>());
    fixture.head(503, rejection);
    fixture.advance(seconds(2));
  }
  CHECK(fixture.observer.invalid_pauses == std::vector<std::string>{"soon"});
  CHECK(fixture.observer.paused.empty());
}

// A back end that states milliseconds as seconds would be lost for an hour.
TEST_CASE("a back end cannot pause for longer than the maximum", "[gateway][backend_pause]") {
  PauseFixture fixture;
  fixture.backends.erase(fixture.backends.begin());
  fixture.publish();
  fixture.send("look");
  fixture.head(503, rejectionWithPause(seconds(3'000)));
  REQUIRE(fixture.observer.paused.size() == 1);
  CHECK(fixture.observer.paused.front().asked == seconds(3'000));
  CHECK(fixture.observer.paused.front().paused_for == BackendNotices::kMaxPause);
  fixture.advance(BackendNotices::kMaxPause + milliseconds(1));
  fixture.send("look");
  CHECK(fixture.has<Dispatch>());
}

}  // namespace crankspur::gateway
