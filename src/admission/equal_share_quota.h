#pragma once
/// @file Divides a tenant's quota into equal shares of all gateways. Needs no messages and never exceeds the
/// quota, but rejects what a tenant asks of one gateway beyond its share while the others leave theirs
/// unused. The baseline that other ways are compared with.

#include "admission/decaying_rate.h"
#include "admission/tenant_quota.h"
#include "admission/token_bucket.h"

namespace crankspur {

/// See the file comment.
class EqualShareQuota : public TenantQuota {
public:
  void setLimit(const QuotaLimit& limit, TimePoint now) override;
  bool admit(double units, const QuotaPeers& peers, TimePoint now) override;
  void refund(double units, TimePoint now) override;
  void onPeerUse(std::uint64_t, const QuotaUse&, TimePoint) override {}
  QuotaUse ownUse(TimePoint) override { return {}; }
  QuotaState state(TimePoint) override { return {limit_, 0, 0, 1, Duration(0)}; }
  Duration timeToRoom(TimePoint now) override { return bucket_.timeUntilAvailable(now); }

private:
  QuotaLimit limit_;
  std::uint32_t gateways_ = 0;  ///< Among which the bucket was last divided.
  TokenBucket bucket_;
};

}  // namespace crankspur
