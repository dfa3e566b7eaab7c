#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// The engine that did not get the last dispatch.
std::string otherEngine(const GatewayFixture& site) {
  return site.last.address == site.backends[2].view.address ? site.backends[3].view.address
                                                            : site.backends[2].view.address;
}

/// Publishes that the engine of the last dispatch has been unresponsive since `since`.
void markLastUnresponsive(GatewayFixture& site, TimePoint since) {
  for (Backend& backend : site.backends) {
    if (backend.view.address == site.last.address) backend.unresponsive_since = since;
  }
  site.publish();
  site.takeActions();
}

}  // namespace

TEST_CASE("an unresponsive engine gets no new requests while another one responds", "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("review");
  const std::string other = otherEngine(site);
  markLastUnresponsive(site, site.now);
  for (int count = 0; count < 2; ++count) {
    site.send("answer");
    CHECK(site.only<Dispatch>().address == other);
  }
}

TEST_CASE("an unresponsive engine is used if there is no other", "[gateway][silence]") {
  GatewayFixture site;
  for (Backend& backend : site.backends) backend.unresponsive_since = site.now;
  site.publish();
  site.send("answer");
  CHECK(site.has<Dispatch>());
}

TEST_CASE("an unresponsive engine is not used as a source of cached parts", "[gateway][silence]") {
  GatewayFixture site;
  for (Pool& pool : site.configuration.pools) pool.link_bits_per_second = 1e11;
  site.publish();
  site.send("review");
  site.head(200);
  site.bytes("id: 1\ndata: x\n\n");
  site.end();
  const std::string holder = site.last.address;
  site.now += milliseconds(50);
  markLastUnresponsive(site, site.now);
  site.send("review");
  const Dispatch dispatch = site.only<Dispatch>();
  CHECK(dispatch.address != holder);
  CHECK(dispatch.terms.import_from.empty());
}

TEST_CASE("a resumable stream is moved from an unresponsive engine after the short limit",
          "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("review");
  const std::string other = otherEngine(site);
  site.now += milliseconds(500);
  markLastUnresponsive(site, site.now - milliseconds(400));
  site.advance(milliseconds(1));
  REQUIRE(site.has<Dispatch>());
  CHECK(site.only<Dispatch>().address == other);
  CHECK(site.observer.moved.back().cause == RequestCause::silence);
}

// Guards against streams that run twice because their client reads slowly: nothing is received of a back end
// that is held back.
TEST_CASE("a resumable stream whose back end is held back is not moved", "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("review");
  site.head(200);
  site.bytes("id: 1\ndata: a\n\n");
  const bool held_back = GENERATE(true, false);
  if (held_back) site.gateway.onReadingPaused(site.last.exchange, true, site.now);
  bool moved = false;
  for (int step = 0; step < 10; ++step) {
    site.advance(milliseconds(250));
    moved |= site.has<CancelExchange>();
  }
  CHECK(moved == !held_back);
}

TEST_CASE("a stream that was just sent to an unresponsive engine stays until the short limit",
          "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("review");
  site.now += milliseconds(100);
  markLastUnresponsive(site, site.now - milliseconds(100));
  site.advance(milliseconds(150));
  CHECK_FALSE(site.has<Dispatch>());
  site.advance(milliseconds(200));
  CHECK(site.has<Dispatch>());
}

TEST_CASE("a request that may run only once stays at an unresponsive engine", "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("answer");
  site.now += milliseconds(500);
  markLastUnresponsive(site, site.now - milliseconds(400));
  site.advance(milliseconds(100));
  CHECK_FALSE(site.has<Dispatch>());
  CHECK_FALSE(site.has<Refuse>());
}

TEST_CASE("an engine that sent bytes after it became unresponsive counts as responsive",
          "[gateway][silence]") {
  GatewayFixture site;
  site.publish();
  site.send("review");
  const std::string own = site.last.address;
  const TimePoint since = site.now;
  site.now += milliseconds(400);
  site.head(200);
  markLastUnresponsive(site, since);
  site.advance(milliseconds(100));
  CHECK_FALSE(site.has<Dispatch>());
  site.bytes("id: 1\ndata: x\n\n");
  site.end();
  site.send("answer");
  CHECK(site.only<Dispatch>().address == own);
}
