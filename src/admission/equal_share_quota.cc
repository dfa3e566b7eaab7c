#include "admission/equal_share_quota.h"

namespace crankspur {

void EqualShareQuota::setLimit(const QuotaLimit& limit, TimePoint) {
  limit_ = limit;
  gateways_ = 0;
}

bool EqualShareQuota::admit(double units, const QuotaPeers& peers, TimePoint now) {
  if (!limit_.isLimited()) return true;
  if (peers.gateways != gateways_) {
    gateways_ = peers.gateways;
    bucket_.configure(limit_.per_second / gateways_, limit_.burst / gateways_, now);
  }
  if (!bucket_.available(now)) return false;
  bucket_.take(units, now);
  return true;
}

void EqualShareQuota::refund(double units, TimePoint now) {
  bucket_.take(-units, now);
}

}  // namespace crankspur
