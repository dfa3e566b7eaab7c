#include "unit/gateway/gateway_fixture.h"

// A request ended each engine that began to run it. Its caller sent it again and again, each time under a new
// id, to whichever gateway it found; every attempt began with a full allowance, and ten engines more than
// three ended under it, each with the dozen of streams that ran there. What proved it: of the attempts under
// which engines ended, one in each case was the same request by path, tenant and body, and it never ended
// whole.

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr const char* kBody = "a prompt";

/// A gateway with ten engines, so that there is always one that has not ended.
struct CrashSite : GatewayFixture {
  CrashSite() {
    for (EngineSlot slot = 5; slot < 13; ++slot) backends.push_back(makeBackend(slot, "lm"));
    publish();
  }

  /// @return whether a request with the body was sent to an engine.
  bool sendBody(const std::string& route, std::string_view body) {
    IncomingRequest incoming = request(route);
    incoming.client->request_id = "id-" + std::to_string(last_client);
    incoming.body = body;
    send(std::move(incoming));
    return has<Dispatch>();
  }

  /// The engine of the last dispatch ends and starts again, as it would after some seconds.
  void crashLast() {
    for (Backend& backend : backends) {
      if (backend.view.address == last.address) backend.view.incarnation += 1000;
    }
    lose(true);
    const std::vector<GatewayAction> decided = actions;
    publish();
    actions = decided;
  }

  /// @return engines that end under a request with the body that is sent so many times.
  int attempts(const std::string& route, std::string_view body, int count) {
    int ended = 0;
    for (int attempt = 0; attempt < count; ++attempt) {
      if (!sendBody(route, body)) continue;
      while (has<Dispatch>()) {  // Streams that may go on are sent to the next engine at once.
        head(200);
        now += milliseconds(100);
        crashLast();
        ++ended;
      }
      now += milliseconds(300);
    }
    return ended;
  }
};

}  // namespace

TEST_CASE("a request under which three engines ended is not sent to a fourth", "[gateway][crash_suspects]") {
  CrashSite site;
  CHECK(site.attempts("answer", kBody, 8) == 3);
  const Refuse refusal = site.only<Refuse>();
  CHECK(refusal.status == 503);
  CHECK(refusal.retry_after > seconds(1));
}

TEST_CASE("a stream that may go on elsewhere ends no more engines than others", "[gateway][crash_suspects]") {
  CrashSite site;
  CHECK(site.attempts("review", kBody, 8) == 3);
}
