/// @file Guards against a limit of a back end that gateways exceed together: each of them counted on room
/// that the others saw as well. Messages are lost, late and repeated here, gateways restart, and the issuer
/// changes.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "base/random.h"
#include "gateway/permit_holder.h"
#include "gateway/permit_issuer.h"

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kBackend = 7;
constexpr std::uint64_t kIssuer = 1;
constexpr std::uint64_t kHolder = 2;
const TimePoint kStart{seconds(1'000)};

/// One issuer and one holder that own all shares of a limit.
struct Pair {
  explicit Pair(double per_second) : issuer(kStart) {
    issuer.setLimit(per_second, 1);
    holder.setIssuer(kIssuer, kStart);
  }
  /// The holder asks, and the issuer issues; the grant is returned.
  const PermitGrant* ask(TimePoint now) {
    holder.onWanted(now);
    const auto request = holder.nextRequest(kBackend, now);
    if (request) issuer.onRequest(kHolder, *request, now);
    issuer.issue(now);
    return issuer.unconfirmed(kHolder);
  }

  PermitIssuer issuer;
  PermitHolder holder;
};

}  // namespace

TEST_CASE("permits accrue with the limit and not while nobody asks", "[permits]") {
  Pair pair(2);
  CHECK(pair.ask(kStart) == nullptr);
  const PermitGrant* grant = pair.ask(kStart + milliseconds(800));
  REQUIRE(grant != nullptr);
  CHECK(grant->permits == 1);
  pair.holder.onGrant(*grant, kStart + milliseconds(820));
  CHECK(pair.holder.use(kStart + milliseconds(830)));
  CHECK_FALSE(pair.holder.use(kStart + milliseconds(830)));
  // After a minute without requests there is one permit, as after a second.
  pair.ask(kStart + seconds(60));
  CHECK(pair.issuer.inCirculation() <= 1);
}

TEST_CASE("a permit expires with the request that it answers", "[permits]") {
  Pair pair(2);
  pair.ask(kStart);
  const PermitGrant* grant = pair.ask(kStart + seconds(1));
  REQUIRE(grant != nullptr);
  SECTION("at the holder") {
    pair.holder.onGrant(*grant, kStart + milliseconds(1'200));
    CHECK(pair.holder.hasPermit(kStart + seconds(1) + kPermitLifetime - milliseconds(1)));
    CHECK_FALSE(pair.holder.hasPermit(kStart + seconds(1) + kPermitLifetime));
  }
  SECTION("on its way") {
    pair.holder.onGrant(*grant, kStart + seconds(1) + kPermitLifetime);
    CHECK_FALSE(pair.holder.hasPermit(kStart + seconds(1) + kPermitLifetime));
  }
}

TEST_CASE("a grant that arrives twice, or after a restart, gives permits once", "[permits]") {
  Pair pair(2);
  pair.ask(kStart);
  const PermitGrant* grant = pair.ask(kStart + seconds(1));
  REQUIRE(grant != nullptr);
  const PermitGrant copy = *grant;
  pair.holder.onGrant(copy, kStart + milliseconds(1'100));
  CHECK(pair.holder.use(kStart + milliseconds(1'100)));
  pair.holder.onGrant(copy, kStart + milliseconds(1'150));
  CHECK_FALSE(pair.holder.hasPermit(kStart + milliseconds(1'150)));
  PermitHolder restarted;
  restarted.setIssuer(kIssuer, kStart + milliseconds(1'200));
  restarted.onWanted(kStart + milliseconds(1'200));
  restarted.nextRequest(kBackend, kStart + milliseconds(1'200));
  restarted.onGrant(copy, kStart + milliseconds(1'250));
  CHECK_FALSE(restarted.hasPermit(kStart + milliseconds(1'250)));
}

TEST_CASE("permits that are given back are issued again", "[permits]") {
  Pair pair(2);
  pair.ask(kStart);
  pair.holder.onGrant(*pair.ask(kStart + seconds(1)), kStart + seconds(1));
  const double before = pair.issuer.inCirculation();
  const auto request = pair.holder.nextRequest(kBackend, kStart + milliseconds(2'100));
  REQUIRE(request);
  CHECK(request->given_back == 1);
  pair.issuer.onRequest(kHolder, *request, kStart + milliseconds(2'100));
  CHECK(pair.issuer.inCirculation() >= before);
  CHECK_FALSE(pair.holder.hasPermit(kStart + milliseconds(2'100)));
}

// Guards against two issuers that both have the share of one gateway.
TEST_CASE("a gateway delegates its share to one issuer at a time", "[permits]") {
  PermitHolder holder;
  holder.setIssuer(kIssuer, kStart);
  REQUIRE(holder.nextRequest(kBackend, kStart));
  TimePoint now = kStart;
  std::optional<PermitRequest> request;
  for (; !request && now < kStart + seconds(10); now += milliseconds(100)) {
    holder.setIssuer(3, now);
    request = holder.nextRequest(kBackend, now);
  }
  REQUIRE(request);
  CHECK(request->issuer == 3);
  CHECK(now - kStart > kDelegationTime + milliseconds(400));
}

TEST_CASE("an issuer has the part of the limit that gateways delegate to it", "[permits]") {
  PermitIssuer issuer(kStart);
  issuer.setLimit(10, 4);
  PermitRequest request;
  request.backend = kBackend;
  request.wanted = 1'000;
  const auto issuedBy = [&](std::uint64_t gateways) {
    std::uint32_t issued = 0;
    for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(100)) {
      for (std::uint64_t holder = 1; holder <= gateways; ++holder) {
        issuer.onRequest(holder, request, now);
        issuer.issue(now);
        const PermitGrant* grant = issuer.unconfirmed(holder);
        if (grant == nullptr) continue;
        issued += grant->permits;
        request.grant = grant->grant;
        request.used = grant->permits;
        issuer.onRequest(holder, request, now);
      }
    }
    return issued;
  };
  const std::uint64_t gateways = GENERATE(1U, 2U, 4U);
  INFO(gateways);
  const double owned = 10.0 * 10 * static_cast<double>(gateways) / 4;
  const double issued = issuedBy(gateways);
  CHECK(issued <= owned);
  CHECK(issued >= 0.6 * owned);
}

// Holders that never use their permits must not gather more and more of them.
TEST_CASE("permits in circulation are bounded whatever is lost", "[permits]") {
  RandomSource random(GENERATE(range(1, 6)));
  constexpr std::uint64_t kHolders = 30;
  constexpr double kLimit = 3;
  PermitIssuer issuer(kStart);
  issuer.setLimit(kLimit, kHolders);
  std::vector<PermitHolder> holders(kHolders);
  std::deque<TimePoint> used;
  std::size_t most = 0;
  for (TimePoint now = kStart; now < kStart + seconds(60); now += milliseconds(20)) {
    const bool is_burst = (now - kStart) % seconds(10) > seconds(7);
    for (std::uint64_t index = 0; index < kHolders; ++index) {
      PermitHolder& holder = holders[index];
      holder.setIssuer(kIssuer, now);
      if (random.chance(0.05)) holder.onWanted(now);
      if (random.chance(0.001)) holder = PermitHolder();  // It restarts.
      if (is_burst && holder.use(now)) used.push_back(now);
      if (!random.chance(0.1)) continue;
      const auto request = holder.nextRequest(kBackend, now);
      if (request && !random.chance(0.3)) issuer.onRequest(index, *request, now);
      issuer.issue(now);
      const PermitGrant* grant = issuer.unconfirmed(index);
      if (grant != nullptr && !random.chance(0.3)) holder.onGrant(*grant, now);
    }
    while (!used.empty() && now - used.front() > seconds(4)) used.pop_front();
    most = std::max(most, used.size());
  }
  CHECK(static_cast<double>(most) <= 1.5 * kLimit * 4 + 5);
}
