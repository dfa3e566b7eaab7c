#include "router_fixture.h"

using namespace crankspur;

TEST_CASE("the loss of most of the fleet does not multiply the load on the rest", "[router][admission]") {
  RouterFixture fixture;
  RequestRouterOptions options;
  options.placement = makeRoundRobinPlacement();
  options.admission = makeAdmission();
  options.index = makePrefixIndex(1000);
  fixture.router = makeRequestRouterFromParts(std::move(options));
  fixture.bundle->tenants[0].retry_budget = 0.1;
  fixture.publish();

  constexpr int kRequests = 300;
  int dispatches = 0;
  int refusals = 0;
  for (int i = 0; i < kRequests; ++i) {
    SubmitRequest request = RouterFixture::completion();
    request.request_id = std::to_string(i);
    fixture.submit(request);
    // Every engine takes the request and is lost before it answers.
    while (const auto dispatch = fixture.take<DispatchCompletion>()) {
      dispatches += dispatch->resume ? 0 : 1;
      fixture.backend(dispatch->dispatch, BackendLost{true});
    }
    while (const auto refusal = fixture.takeMessage<Refusal>()) {
      CHECK(refusal->run_state == RunState::Unknown);
      CHECK(refusal->retry_after > Duration{0});
      ++refusals;
    }
  }
  CHECK(refusals == kRequests);
  // A tenth more, and what a tenant may save up.
  CHECK(dispatches <= kRequests + kRequests / 10 + 10);
  CHECK(dispatches > kRequests);
}
