/// @file Guards against more requests to a back end than the limit that it names for all gateways together.
/// No gateway read the limit: back ends in need got as many requests as before, 30 in 4 s at a limit of 2.9 a
/// second.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/header_dialect.h"
#include "unit/gateway/gateway_fixture.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr EngineSlot kLimitedSlot = 3;
constexpr double kLimit = 3;
/// The promise: in any 4 s, one and a half times the limit and 5 requests more, from 3 s after it was named.
constexpr Duration kWindow = seconds(4);
constexpr Duration kContactTime = seconds(3);
constexpr double kAllowed = 1.5 * kLimit * 4 + 5;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kResponseTime = milliseconds(60);
constexpr Duration kDigestInterval = milliseconds(150);
constexpr Duration kDigestDelay = milliseconds(20);

/// Gateways in front of common back ends, of which one names a limit from `kStart` on.
class LimitedFleet {
public:
  explicit LimitedFleet(std::size_t gateways) {
    for (std::size_t index = 0; index < gateways; ++index) {
      gateways_.push_back(std::make_unique<GatewayFixture>());
      restart(index);
    }
  }

  /// Replaces the gateway by one that knows nothing.
  void restart(std::size_t index) {
    gateways_[index] = std::make_unique<GatewayFixture>();
    gateways_[index]->now = now_;
    publish(*gateways_[index]);
    pending_.erase(index);
  }
  /// Gateways [first, end) exchange no digests with the others.
  void cut(std::size_t first, std::size_t end) {
    cut_first_ = first;
    cut_end_ = end;
  }
  void setLimit(std::optional<std::string> limit) { limit_ = std::move(limit); }
  /// All back ends of the pool name the limit.
  void limitAll() { all_limited_ = true; }

  /// Clients send `per_second` requests, spread over the gateways.
  void run(Duration time, double per_second) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      owed_ += per_second * toSeconds(kStep);
      for (; owed_ >= 1; owed_ -= 1) send(next_gateway_++ % gateways_.size());
      for (std::size_t index = 0; index < gateways_.size(); ++index) {
        gateways_[index]->now = now_;
        gateways_[index]->advance(Duration(0));
        note(index);
        respond(index);
      }
      exchangeDigests();
    }
  }

  TimePoint now() const { return now_; }
  std::size_t refused() const { return refused_; }
  std::size_t received(EngineSlot slot) const {
    return received_.contains(slot) ? received_.at(slot).size() : 0;
  }
  /// @return the most requests that the back end got in any window that begins at `from` or later.
  std::size_t mostInWindow(EngineSlot slot, TimePoint from) const {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    if (!received_.contains(slot)) return 0;
    for (const TimePoint at : received_.at(slot)) {
      if (at < from) continue;
      window.push_back(at);
      while (at - window.front() > kWindow) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }

private:
  struct Running {
    ExchangeId exchange = 0;
    EngineSlot slot = 0;
    TimePoint responds_at{};
  };

  void publish(GatewayFixture& gateway) {
    for (Backend& backend : gateway.backends) backend.slots = 64;
    auto snapshot = std::make_shared<GatewaySnapshot>();
    snapshot->configuration = std::make_shared<const Configuration>(gateway.configuration);
    snapshot->backends = gateway.backends;
    snapshot->own_zone = "here";
    snapshot->own_region = "coast";
    snapshot->peer_count = static_cast<std::uint32_t>(gateways_.size()) - 1;
    gateway.gateway.onSnapshot(snapshot, gateway.now);
  }

  void send(std::size_t index) {
    GatewayFixture& gateway = *gateways_[index];
    gateway.now = now_;
    gateway.send("review");
    note(index);
  }

  void note(std::size_t index) {
    GatewayFixture& gateway = *gateways_[index];
    for (const Dispatch& dispatch : gateway.all<Dispatch>()) {
      const EngineSlot slot = dispatch.address == makeBackend(3, "lm").view.address ? 3 : 4;
      received_[slot].push_back(now_);
      pending_[index].push_back({dispatch.exchange, slot, now_ + kResponseTime});
    }
    refused_ += gateway.all<Refuse>().size();
    gateway.actions.clear();
  }

  void respond(std::size_t index) {
    std::vector<Running> due;
    for (const Running& running : pending_[index]) {
      if (running.responds_at <= now_) due.push_back(running);
    }
    std::erase_if(pending_[index], [this](const Running& running) { return running.responds_at <= now_; });
    for (const Running& running : due) {
      http::Response head{200, {{"Attempt-Id", "id"}, {"Server-Seal", "s"}}, ""};
      const bool limited = limit_ && (running.slot == kLimitedSlot || all_limited_);
      if (limited) head.headers["Server-Limit"] = *limit_;
      Gateway& gateway = gateways_[index]->gateway;
      gateway.onHead(running.exchange, 200, dialect_.readResponse(head, "id"), now_);
      gateway.onBytes(running.exchange, "id: 1\ndata: x\n\n", now_);
      gateway.onEnd(running.exchange, now_);
      gateways_[index]->takeActions();
      note(index);
    }
  }

  void exchangeDigests() {
    for (; !digests_.empty() && digests_.front().due <= now_; digests_.pop_front()) {
      for (std::size_t index = 0; index < gateways_.size(); ++index) {
        const bool cut_off = isCut(index) != isCut(digests_.front().sender);
        if (index == digests_.front().sender || cut_off) continue;
        gateways_[index]->gateway.onPeerLoad(digests_.front().digest.sender, digests_.front().digest, now_);
      }
    }
    if (now_ < next_digests_) return;
    next_digests_ = now_ + kDigestInterval;
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      LoadDigest digest = gateways_[index]->gateway.ownLoadDigest(now_);
      digest.sender = "gateway-" + std::to_string(index);
      digests_.push_back({now_ + kDigestDelay, index, std::move(digest)});
    }
  }

  bool isCut(std::size_t index) const { return index >= cut_first_ && index < cut_end_; }

  struct DigestInTransit {
    TimePoint due{};
    std::size_t sender = 0;
    LoadDigest digest;
  };

  platform::HeaderDialect dialect_;
  TimePoint now_{seconds(1000)};
  std::vector<std::unique_ptr<GatewayFixture>> gateways_;
  std::map<std::size_t, std::vector<Running>> pending_;
  std::map<EngineSlot, std::vector<TimePoint>> received_;
  std::deque<DigestInTransit> digests_;
  TimePoint next_digests_{};
  std::optional<std::string> limit_;
  bool all_limited_ = false;
  double owed_ = 0;
  std::size_t next_gateway_ = 0;
  std::size_t refused_ = 0;
  std::size_t cut_first_ = 0;
  std::size_t cut_end_ = 0;
};

}  // namespace

TEST_CASE("a back end gets no more requests from all gateways than the limit that it names allows",
          "[backend_limits]") {
  const std::size_t gateways = GENERATE(1, 7, 20);
  LimitedFleet fleet(gateways);
  fleet.run(seconds(2), 40);
  fleet.setLimit("3");
  const TimePoint named_at = fleet.now();
  fleet.run(seconds(20), 40);
  INFO(gateways << " gateways");
  CHECK(fleet.mostInWindow(kLimitedSlot, named_at + kContactTime) <= kAllowed);
}

TEST_CASE("a limit that all back ends name refuses the rest at once and is kept through restarts and cuts",
          "[backend_limits]") {
  constexpr std::size_t kGateways = 7;
  LimitedFleet fleet(kGateways);
  fleet.run(seconds(2), 40);
  fleet.limitAll();
  fleet.setLimit("3");
  const TimePoint named_at = fleet.now();
  fleet.run(seconds(6), 40);
  CHECK(fleet.refused() > 0);
  const std::size_t before = fleet.received(kLimitedSlot);
  SECTION("undisturbed, the limit is used") {
    fleet.run(seconds(20), 40);
    CHECK(static_cast<double>(fleet.received(kLimitedSlot) - before) > 0.6 * kLimit * 20);
  }
  SECTION("gateways restart one after the other") {
    for (std::size_t index = 0; index < kGateways; ++index) {
      fleet.restart(index);
      fleet.run(seconds(1), 40);
    }
  }
  SECTION("three gateways are cut off from the others") {
    fleet.cut(0, 3);
    fleet.run(seconds(20), 40);
  }
  CHECK(fleet.mostInWindow(kLimitedSlot, named_at + kContactTime) <= kAllowed);
}

TEST_CASE("a back end whose limit has ended gets as many requests as before", "[backend_limits]") {
  LimitedFleet fleet(7);
  fleet.setLimit("3");
  fleet.run(seconds(6), 40);
  fleet.setLimit(std::nullopt);
  fleet.run(seconds(3), 40);
  const std::size_t before = fleet.received(kLimitedSlot);
  fleet.run(seconds(5), 40);
  CHECK(fleet.received(kLimitedSlot) - before > 100);
}

TEST_CASE("a gateway keeps to a limit that only another one was told", "[backend_limits]") {
  RandomSource random(1);
  BackendLimits told(random);
  BackendLimits other(random);
  const TimePoint now{seconds(100)};
  told.onResponse(7, 3.0, now, now);
  LoadDigest digest;
  digest.sender = "told";
  told.report(digest, now + milliseconds(50));
  REQUIRE(digest.limits.size() == 1);
  std::vector<double> changes;
  const auto on_change = [&changes](std::uint64_t, const LimitChange& change) {
    changes.push_back(change.limit);
  };
  other.onReport(digest, on_change, now + milliseconds(100));
  CHECK(other.limitOf(7) == 3);
  // What it was told itself is newer than the report.
  other.onResponse(7, std::nullopt, now + milliseconds(200), now + milliseconds(300));
  other.onReport(digest, on_change, now + milliseconds(310));
  CHECK(other.limitOf(7) == 0);
  CHECK(changes == std::vector<double>{3});
  LoadDigest ended;
  other.report(ended, now + milliseconds(350));
  told.onReport(ended, on_change, now + milliseconds(400));
  CHECK(told.limitOf(7) == 0);
}
