#include "admission/fleet_quotas.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "admission/equal_share_quota.h"
#include "admission/reported_use_quota.h"

using namespace crankspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(1000)};
constexpr double kRate = 100'000;
constexpr double kBurst = 100'000;
constexpr QuotaTolerance kTolerance{seconds(8), 0.1, 0};
constexpr double kWindowSeconds = 8;
/// What the promise allows in any window.
constexpr double kAllowed = (kRate * kWindowSeconds + kBurst) * (1 + kTolerance.overshoot);
constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(200);
constexpr Duration kReportDelay = milliseconds(30);
/// Tokens of a request; small ones are a tenth.
constexpr double kLargeRequest = 9'000;

/// Gateways that exchange reports with a delay, and one tenant whose clients are spread over them.
class QuotaFleet {
public:
  explicit QuotaFleet(std::size_t count) : random_(7) {
    for (std::size_t index = 0; index < count; ++index) restart(index, true);
    weights_.assign(count, 1.0);
  }

  /// Each gateway's share of the tenant's requests.
  void setWeights(std::vector<double> weights) { weights_ = std::move(weights); }
  /// Cuts gateways [first, end) off from the others; they still reach each other and their clients.
  void cut(std::size_t first, std::size_t end) {
    cut_first_ = first;
    cut_end_ = end;
  }
  void restart(std::size_t index, bool create = false) {
    auto quotas = std::make_unique<FleetQuotas>(kTolerance, random_);
    quotas->setLimit("tenant", {kRate, kBurst}, now_);
    if (create) {
      gateways_.push_back(std::move(quotas));
    } else {
      gateways_[index] = std::move(quotas);
    }
  }
  void setLimit(double rate) {
    for (auto& gateway : gateways_) gateway->setLimit("tenant", {rate, rate}, now_);
  }

  /// The tenant asks for `demand` tokens per second.
  void run(Duration time, double demand) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      deliverReports();
      owed_ += demand * toSeconds(kStep);
      while (owed_ > 0) request();
    }
  }

  double asked() const { return asked_; }
  double admitted() const { return admitted_; }
  std::size_t rejected() const { return rejected_; }
  TimePoint now() const { return now_; }
  /// @return tokens that were admitted recently.
  double admittedIn(Duration time) const {
    double sum = 0;
    for (const auto& [at, tokens] : admissions_) sum += at >= now_ - time ? tokens : 0;
    return sum;
  }
  /// @return the most tokens that were admitted in any window.
  double worstWindow() const {
    double worst = 0;
    double sum = 0;
    auto first = admissions_.begin();
    for (const auto& [at, tokens] : admissions_) {
      sum += tokens;
      while (at - first->first > Duration(static_cast<std::int64_t>(kWindowSeconds * 1e6))) {
        sum -= first->second;
        ++first;
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

private:
  void request() {
    const double tokens = random_.chance(0.3) ? kLargeRequest : kLargeRequest / 10;
    owed_ -= tokens;
    asked_ += tokens;
    if (!gateways_[chooseGateway()]->admit("tenant", tokens, now_).admitted) {
      ++rejected_;
      return;
    }
    admitted_ += tokens;
    admissions_.emplace_back(now_, tokens);
  }

  std::size_t chooseGateway() {
    double total = 0;
    for (const double weight : weights_) total += weight;
    double left = random_.unit() * total;
    for (std::size_t index = 0; index < weights_.size(); ++index) {
      left -= weights_[index];
      if (left < 0) return index;
    }
    return weights_.size() - 1;
  }

  bool isCut(std::size_t index) const { return index >= cut_first_ && index < cut_end_; }

  void deliverReports() {
    if (now_ >= report_at_) {
      report_at_ = now_ + kReportInterval;
      for (std::size_t sender = 0; sender < gateways_.size(); ++sender) {
        in_transit_.push_back({now_ + kReportDelay, sender, gateways_[sender]->report(now_)});
      }
    }
    for (; !in_transit_.empty() && in_transit_.front().at <= now_; in_transit_.pop_front()) {
      const Report& report = in_transit_.front();
      for (std::size_t receiver = 0; receiver < gateways_.size(); ++receiver) {
        if (receiver == report.sender || isCut(receiver) != isCut(report.sender)) continue;
        gateways_[receiver]->onReport(std::to_string(report.sender), report.uses, now_);
      }
    }
  }

  struct Report {
    TimePoint at;
    std::size_t sender;
    std::vector<TenantUse> uses;
  };

  RandomSource random_;
  TimePoint now_ = kStart;
  std::vector<std::unique_ptr<FleetQuotas>> gateways_;
  std::vector<double> weights_;
  std::size_t cut_first_ = 0;
  std::size_t cut_end_ = 0;
  std::deque<Report> in_transit_;
  TimePoint report_at_ = kStart;
  double owed_ = 0;
  double asked_ = 0;
  double admitted_ = 0;
  std::size_t rejected_ = 0;
  std::deque<std::pair<TimePoint, double>> admissions_;
};

}  // namespace

// Reports are up to a quarter of a second old. If each gateway admitted whatever its estimate allows, a
// tenant that sends many times its usual would empty the quota at all gateways at once, several times over.
TEST_CASE("a tenant that asks for many times its quota gets the quota and no more", "[admission][quota]") {
  const double factor = GENERATE(1.5, 3.0, 7.5);
  const std::size_t gateways = GENERATE(1, 6, 30);
  QuotaFleet fleet(gateways);
  fleet.run(seconds(10), 0.8 * kRate);
  const double before = fleet.admitted();
  fleet.run(seconds(12), factor * kRate);
  CHECK(fleet.worstWindow() <= kAllowed);
  // The quota is used: what the tenant may get is not refused.
  CHECK(fleet.admitted() - before >= 12 * kRate);
  CHECK(fleet.admittedIn(seconds(8)) >= 0.9 * (8 * kRate + kBurst));
  fleet.run(seconds(3), 0);
  const std::size_t rejected = fleet.rejected();
  fleet.run(seconds(10), 0.8 * kRate);
  CHECK(fleet.rejected() == rejected);
}

// A share for each gateway rejects requests of a tenant whose clients are connected to few gateways.
TEST_CASE("nothing below the quota is rejected, whichever gateways the clients use", "[admission][quota]") {
  QuotaFleet fleet(30);
  std::vector<double> weights(30, 0.0);
  SECTION("evenly") {
    weights.assign(30, 1.0);
  }
  SECTION("one gateway") {
    weights[3] = 1;
  }
  SECTION("two gateways, unequally") {
    weights[3] = 1;
    weights[7] = 9;
  }
  fleet.setWeights(weights);
  fleet.run(seconds(2), 0.5 * kRate);
  fleet.run(seconds(20), 0.9 * kRate);
  CHECK(fleet.rejected() == 0);
}

TEST_CASE("clients that move to other gateways keep the quota", "[admission][quota]") {
  QuotaFleet fleet(12);
  std::vector<double> first(12, 0.0);
  std::vector<double> second(12, 0.0);
  std::fill(first.begin(), first.begin() + 6, 1.0);
  std::fill(second.begin() + 6, second.end(), 1.0);
  fleet.setWeights(first);
  fleet.run(seconds(6), 4 * kRate);
  fleet.setWeights(second);
  fleet.run(seconds(10), 4 * kRate);
  CHECK(fleet.worstWindow() <= kAllowed);
}

// All processes are killed at once and know nothing of the use before. With full buckets they would admit a
// second burst, and each its own.
TEST_CASE("gateways that all restart do not admit a second burst", "[admission][quota]") {
  QuotaFleet fleet(30);
  fleet.run(seconds(9), 4 * kRate);
  for (std::size_t index = 0; index < 30; ++index) fleet.restart(index);
  fleet.run(seconds(9), 4 * kRate);
  CHECK(fleet.worstWindow() <= kAllowed);
}

// Both sides of a partition keep clients and no longer learn of each other's use.
TEST_CASE("a third of the gateways cut off from the others does not raise the quota", "[admission][quota]") {
  QuotaFleet fleet(30);
  fleet.run(seconds(9), 2 * kRate);
  fleet.cut(0, 10);
  fleet.run(seconds(12), 4 * kRate);
  CHECK(fleet.worstWindow() <= kAllowed);
  fleet.cut(0, 0);
  fleet.run(seconds(10), 4 * kRate);
  CHECK(fleet.worstWindow() <= kAllowed);
}

TEST_CASE("a lowered quota holds within one window", "[admission][quota]") {
  QuotaFleet fleet(30);
  fleet.run(seconds(10), 4 * kRate);
  fleet.setLimit(kRate / 4);
  fleet.run(seconds(1), 4 * kRate);
  const double before = fleet.admitted();
  fleet.run(seconds(8), 4 * kRate);
  CHECK(fleet.admitted() - before <= kAllowed / 4);
}

TEST_CASE("units of a request that has not run are free again", "[admission][quota]") {
  RandomSource random(1);
  FleetQuotas quotas(QuotaTolerance{}, random);
  quotas.setLimit("tenant", {100, 100}, kStart);
  const TimePoint later = kStart + seconds(10);
  REQUIRE(quotas.admit("tenant", 1'100, later).admitted);  // The rate for 10 s and the burst.
  const QuotaDecision rejected = quotas.admit("tenant", 1, later);
  REQUIRE_FALSE(rejected.admitted);
  CHECK(rejected.retry_after >= milliseconds(100));
  CHECK(rejected.state.left <= 0);
  quotas.refund("tenant", 1'100, later);
  CHECK(quotas.admit("tenant", 50, later).admitted);
  // Refunded units are not reported twice.
  REQUIRE(quotas.report(later).size() == 1);
  CHECK(quotas.report(later).front().admitted == 1'100);
}

TEST_CASE("tenants without a limit, and unknown ones, are not limited", "[admission][quota]") {
  RandomSource random(1);
  FleetQuotas quotas(QuotaTolerance{}, random);
  quotas.setLimit("free", {0, 0}, kStart);
  CHECK(quotas.admit("free", 1e12, kStart).admitted);
  CHECK(quotas.admit("unknown", 1e12, kStart).admitted);
  CHECK(quotas.report(kStart).empty());
  quotas.setLimit("limited", {100, 100}, kStart);
  quotas.removeUnlisted();
  CHECK(quotas.tenants() == 1);
  quotas.removeUnlisted();  // No longer in the configuration.
  CHECK(quotas.tenants() == 0);
}

TEST_CASE("equal shares never exceed the quota but reject what one gateway is asked beyond its share",
          "[admission][quota]") {
  EqualShareQuota share;
  const QuotaPeers peers{10, 1};
  share.setLimit({1000, 1000}, kStart);
  double admitted = 0;
  for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    admitted += share.admit(5, peers, now) ? 5 : 0;
  }
  CHECK(admitted <= 1105);
  CHECK(admitted >= 1095);
}
