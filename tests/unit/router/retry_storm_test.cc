#include "router_fixture.h"

using namespace crankspur;

TEST_CASE("failing engines do not multiply the load beyond the retry budget", "[router][admission]") {
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
    // Each engine receives the request and fails before it responds.
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
  // The retry budget of a tenth, plus the burst that a tenant may accumulate.
  CHECK(dispatches <= kRequests + kRequests / 10 + 10);
  CHECK(dispatches > kRequests);
}
