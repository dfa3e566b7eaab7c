#include "placement/outstanding_ledger.h"

#include <catch2/catch.hpp>

#include "placement/queue_estimator.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{Duration(1'000'000'000)};
constexpr double kRate = 8000;

}  // namespace

TEST_CASE("the backlog is the time to prefill the unfinished dispatches in order, less the time elapsed",
          "[placement]") {
  OutstandingLedger ledger;
  ledger.add(1, 10, 800, kStart);
  ledger.add(1, 11, 1600, kStart);
  const Duration both = ledger.backlog(1, kRate, kStart);
  CHECK(both == prefillTime(800, kRate) + prefillTime(1600, kRate));
  CHECK(ledger.backlog(1, kRate, kStart + 50ms) == both - 50ms);

  ledger.prefillDone(1, 10, kStart + 100ms);
  CHECK(ledger.backlog(1, kRate, kStart + 100ms) == prefillTime(1600, kRate));
  ledger.remove(1, 11);
  CHECK(ledger.backlog(1, kRate, kStart + 100ms) == 0ms);
  CHECK(ledger.inFlight(1) == 1);
}

TEST_CASE("a correction of the uncached tokens shortens the backlog", "[placement]") {
  OutstandingLedger ledger;
  ledger.add(1, 10, 8000, kStart);
  ledger.correct(1, 10, 100);
  CHECK(ledger.backlog(1, kRate, kStart) == prefillTime(100, kRate));
}

TEST_CASE("only work sent after the load report was measured counts as pending", "[placement]") {
  OutstandingLedger ledger;
  ledger.add(1, 10, 800, kStart);
  ledger.add(1, 11, 300, kStart + 20ms);
  RoutingSnapshot snapshot;
  snapshot.engines.resize(1);
  snapshot.engines[0].slot = 1;
  snapshot.engines[0].load.measured_at = kStart + 10ms;
  ledger.onSnapshot(snapshot);
  CHECK(ledger.pendingTokens(1) == 300);
}

TEST_CASE("updates for unknown engines and dispatches are ignored", "[placement]") {
  OutstandingLedger ledger;
  ledger.correct(7, 1, 5);
  ledger.prefillDone(7, 1, kStart);
  ledger.remove(7, 1);
  CHECK(ledger.pendingTokens(7) == 0);
  CHECK(ledger.backlog(7, kRate, kStart) == 0ms);
}
