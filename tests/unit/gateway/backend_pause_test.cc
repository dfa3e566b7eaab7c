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

}  // namespace crankspur::gateway
