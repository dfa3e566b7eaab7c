/// @file Back ends that state in their responses that they are about to end.

#include "unit/gateway/gateway_fixture.h"

namespace crankspur::gateway {
namespace {

BackendResponse departureIn(BackendResponse response) {
  response.leaving = true;
  return response;
}

}  // namespace

// The statement was not read: while the list said that the back end was live, it got requests until it ended.
TEST_CASE("a back end that stated that it leaves gets no new request although the list says that it is live",
          "[gateway][backend_departure]") {
  GatewayFixture fixture;
  for (Backend& backend : fixture.backends) backend.slots = 100;
  fixture.publish();
  fixture.send("look");
  const std::string leaving = fixture.last.address;
  fixture.head(200, departureIn(genuineResponse()));
  fixture.end();
  for (int count = 0; count < 40; ++count) {
    if (count == 20) fixture.publish();
    fixture.send("look");
    CHECK(fixture.only<Dispatch>().address != leaving);
    fixture.head(200);
    fixture.end();
    fixture.advance(milliseconds(100));
  }
}

}  // namespace crankspur::gateway
