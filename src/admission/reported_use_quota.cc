#include "admission/reported_use_quota.h"

#include <algorithm>
#include <cmath>

namespace crankspur {
namespace {

/// Time over which rates of use are measured. It spans several reports.
constexpr Duration kRateTime = std::chrono::milliseconds(500);
/// A peer is assumed to continue at its reported rate for this long after its last report. A peer whose
/// clients have left reports rates that decay to nothing.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1'500);
/// Use before the first report of a peer, seconds of its rate: it started or returned less than a report ago.
constexpr double kFirstReportTime = 0.5;
/// The bucket counts as scarce below this many seconds of the rate, or this share of its capacity: more than
/// is asked for between two reports.
constexpr double kScarceTime = 0.5;
constexpr double kScarceShare = 0.5;
/// Units left in the window are handed out over this many seconds: slowly against the age of reports.
constexpr double kSpreadTime = 0.4;
/// The most that is admitted while the bucket is scarce, as a multiple of what the window sustains: it fills
/// a window that has become empty without a second burst.
constexpr double kFillFactor = 1.5;
/// Part of the window that a gateway assumes to be used when it starts. What was admitted before is unknown,
/// and an empty window would allow a second burst if all gateways restart at once.
constexpr double kUsedAtStart = 0.9;
constexpr double kMaxRetryTime = 10;

}  // namespace

ReportedUseQuota::ReportedUseQuota(RandomSource& random, TimePoint now)
    : random_(random),
      advanced_to_(now),
      slice_began_at_(now),
      admitted_rate_(kRateTime),
      asked_rate_(kRateTime) {}

double ReportedUseQuota::windowLimit() const {
  return limit_.per_second * toSeconds(limit_.window) + limit_.burst;
}

double ReportedUseQuota::sustainedRate() const {
  return windowLimit() / toSeconds(limit_.window);
}

double ReportedUseQuota::scarceLevel() const {
  return std::min(limit_.per_second * kScarceTime, limit_.burst * kScarceShare);
}

/// Use is carried over in proportion: a lower limit neither rejects everything until the use under the old
/// one has left the window, nor allows more than its window.
void ReportedUseQuota::setLimit(const QuotaLimit& limit, TimePoint now) {
  if (limit == limit_) return;
  advance(now);
  const double before = limit_.isLimited() ? windowLimit() : 0;
  limit_ = limit;
  bucket_ = std::min(bucket_, limit.burst);
  if (!limit.isLimited()) return;
  if (before == 0) {
    slices_.fill(windowLimit() * kUsedAtStart / kSlices);
  } else if (windowLimit() < before) {
    for (double& slice : slices_) slice *= windowLimit() / before;
  }
  in_window_ = 0;
  for (const double slice : slices_) in_window_ += slice;
}

void ReportedUseQuota::advance(TimePoint now) {
  if (now <= advanced_to_ || !limit_.isLimited()) return;
  const double seconds = toSeconds(now - advanced_to_);
  advanced_to_ = now;
  advanceSlices(now);
  bucket_ = std::min(bucket_ + limit_.per_second * share_ * seconds, limit_.burst);
  // The reserve of unreachable gateways counts as used.
  const double reserved = sustainedRate() * (1 - share_) * std::min(seconds, toSeconds(limit_.window));
  slices_[current_slice_] += reserved;
  in_window_ += reserved;
}

void ReportedUseQuota::advanceSlices(TimePoint now) {
  // One more slice than the window has: the oldest one is only partly inside it.
  const Duration length = limit_.window / static_cast<Duration::rep>(kSlices - 1);
  const auto passed = static_cast<std::size_t>((now - slice_began_at_) / length);
  slice_began_at_ += length * static_cast<Duration::rep>(passed);
  for (std::size_t count = 0; count < std::min(passed, kSlices); ++count) {
    current_slice_ = (current_slice_ + 1) % kSlices;
    in_window_ -= slices_[current_slice_];
    slices_[current_slice_] = 0;
  }
}

void ReportedUseQuota::takeFromBucket(double units) {
  bucket_ = std::max(bucket_ - units, 0.0);
}

void ReportedUseQuota::take(double units) {
  slices_[current_slice_] += units;
  in_window_ += units;
}

ReportedUseQuota::PeerDemand ReportedUseQuota::peerDemand(TimePoint now) const {
  PeerDemand demand;
  for (const auto& [peer, known] : peers_) {
    if (known.lapsed) continue;
    const Duration age = std::min(now - known.reported_at, kReportLifetime);
    demand.unreported += known.use.admitted_per_second * toSeconds(age);
    demand.asked_per_second += known.use.asked_per_second;
  }
  return demand;
}

/// What peers that have stopped reporting are assumed to have used stays taken.
void ReportedUseQuota::settleLapsedPeers(TimePoint now) {
  for (auto& [peer, known] : peers_) {
    if (known.lapsed || now - known.reported_at <= kReportLifetime) continue;
    known.lapsed = true;
    known.settled = known.use.admitted_per_second * toSeconds(kReportLifetime);
    take(known.settled);
  }
}

bool ReportedUseQuota::admit(double units, const QuotaPeers& peers, TimePoint now) {
  if (!limit_.isLimited()) {
    consume(units, now);
    return true;
  }
  advance(now);
  share_ = peers.reachable_share;
  asked_rate_.add(units, now);
  settleLapsedPeers(now);
  const PeerDemand demand = peerDemand(now);
  const double left = windowLimit() - in_window_ - demand.unreported;
  const bool is_scarce = bucket_ - demand.unreported < scarceLevel();
  takeFromBucket(units);
  if (left <= 0) return false;
  if (is_scarce) {
    const double asked = asked_rate_.perSecond(now) + demand.asked_per_second;
    const double target = share_ * std::min(sustainedRate() * kFillFactor, left / kSpreadTime);
    if (asked > target && !random_.chance(target / asked)) return false;
  }
  consume(units, now);
  return true;
}

/// Refunded units are used first: the total that is reported never decreases.
void ReportedUseQuota::consume(double units, TimePoint now) {
  const double from_refund = std::min(refunded_, units);
  refunded_ -= from_refund;
  take(units);
  admitted_ += units - from_refund;
  admitted_rate_.add(units, now);
}

void ReportedUseQuota::refund(double units, TimePoint now) {
  advance(now);
  refunded_ += units;
  bucket_ = std::min(bucket_ + units, limit_.burst);
  const double removed = std::min(units, slices_[current_slice_]);
  slices_[current_slice_] -= removed;
  in_window_ -= removed;
}

/// A total that has decreased is that of a gateway that has restarted.
void ReportedUseQuota::onPeerUse(std::uint64_t peer, const QuotaUse& use, TimePoint now) {
  advance(now);
  Peer& known = peers_[peer];
  const bool restarted = use.admitted < known.use.admitted;
  // The history of a gateway that reports for the first time is unknown.
  const bool first = known.reported_at == TimePoint{};
  const auto admitted = static_cast<double>(use.admitted - (restarted ? 0 : known.use.admitted));
  const double used = first ? std::min(admitted, use.admitted_per_second * kFirstReportTime) : admitted;
  take(std::max(used - known.settled, 0.0));
  const double rejected_per_second = std::max(use.asked_per_second - use.admitted_per_second, 0.0);
  const double seconds =
      first ? kFirstReportTime : toSeconds(std::min(now - known.reported_at, kReportLifetime));
  takeFromBucket(used + rejected_per_second * seconds);
  known = {use, now};
}

QuotaUse ReportedUseQuota::ownUse(TimePoint now) {
  return {static_cast<std::uint64_t>(std::llround(admitted_)), admitted_rate_.perSecond(now),
          asked_rate_.perSecond(now)};
}

QuotaState ReportedUseQuota::state(TimePoint now) {
  advance(now);
  const PeerDemand demand = peerDemand(now);
  QuotaState state{limit_, windowLimit() - in_window_ - demand.unreported,
                   asked_rate_.perSecond(now) + demand.asked_per_second, share_, Duration(0)};
  for (const auto& [peer, known] : peers_) {
    if (!known.lapsed) state.oldest_report = std::max(state.oldest_report, now - known.reported_at);
  }
  return state;
}

/// While more is asked than the rate, each request that returns competes with new ones: the time grows with
/// the excess.
Duration ReportedUseQuota::timeToRoom(TimePoint now) {
  if (!limit_.isLimited()) return Duration(0);
  advance(now);
  const PeerDemand demand = peerDemand(now);
  const double rate = sustainedRate() * share_;
  const double left = windowLimit() - in_window_ - demand.unreported;
  const double missing = std::max(rate * kSpreadTime - left, 0.0);
  const double excess = std::max((asked_rate_.perSecond(now) + demand.asked_per_second) / rate, 1.0);
  const double seconds = std::min(missing / rate * excess, kMaxRetryTime);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace crankspur
