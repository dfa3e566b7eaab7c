#include "gateway/limit_naming.h"

#include <algorithm>
#include <cmath>

namespace crankspur::gateway {
namespace {

/// A limit is raised once responses have come without it for the time of this many requests at the limit.
constexpr double kRequestsBeforeRaise = 5;
/// It then doubles in the time of this many requests at the limit as named.
constexpr double kRequestsPerDoubling = 1;
/// Doublings after which it counts as ended.
constexpr double kDoublingsToEnd = 6;
/// A limit of less is raised as if it were this many requests per second, so that it can end within a minute.
constexpr double kMinRateToRaise = 0.2;

}  // namespace

void LimitAbsence::add(const LimitAbsence& other) {
  if (!other.exists()) return;
  first_at = exists() ? std::min(first_at, other.first_at) : other.first_at;
  last_at = std::max(last_at, other.last_at);
}

bool LimitNaming::onNamed(double per_second, TimePoint at, bool here) {
  if (at <= named_at_) return false;
  per_second_ = per_second;
  named_at_ = at;
  named_here_ = here;
  own_absence_ = {};
  absence_ = {};
  return true;
}

void LimitNaming::onAbsent(TimePoint sent_at, TimePoint now) {
  if (per_second_ == 0 || sent_at <= named_at_) return;
  own_absence_.add({now, now});
  absence_.add({now, now});
}

void LimitNaming::onReportedAbsence(const LimitAbsence& absence) {
  if (per_second_ == 0 || absence.last_at <= named_at_) return;
  absence_.add({std::max(absence.first_at, named_at_), absence.last_at});
}

/// @return doublings of the limit.
double LimitNaming::raisedBy() const {
  if (!absence_.exists()) return 0;
  const double rate = std::max(per_second_, kMinRateToRaise);
  const double requests = toSeconds(absence_.last_at - absence_.first_at) * rate;
  return std::max(requests - kRequestsBeforeRaise, 0.0) / kRequestsPerDoubling;
}

double LimitNaming::effectivePerSecond() const {
  return per_second_ * std::exp2(std::min(raisedBy(), kDoublingsToEnd));
}

bool LimitNaming::hasEnded() const {
  return per_second_ > 0 && raisedBy() >= kDoublingsToEnd;
}

void LimitNaming::end() {
  onNamed(0, std::max(absence_.last_at, named_at_ + Duration(1)), true);
}

}  // namespace crankspur::gateway
