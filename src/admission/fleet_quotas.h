#pragma once
/// @file The quotas of all tenants at one gateway, and which of the other gateways report their use of them.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "admission/tenant_quota.h"
#include "base/random.h"
#include "internal_protocol/messages.h"

namespace crankspur {

/// The promise that quotas are kept: in any window, at most (rate x window + burst) x (1 + overshoot) +
/// slack.
struct QuotaTolerance {
  Duration window = QuotaLimit{}.window;
  double overshoot = 0;
  double slack = 0;  ///< In the tenant's unit.
};

/// Decision about a request.
struct QuotaDecision {
  bool admitted = true;
  Duration retry_after{0};  ///< Time until the quota is expected to have room; 0 if admitted.
  QuotaState state;         ///< Only of a rejection.
};

/// See the file comment. Tenants without a limit cost nothing. Not thread-safe.
class FleetQuotas {
public:
  /// @param random must outlive the object.
  FleetQuotas(const QuotaTolerance& tolerance, RandomSource& random);

  /// A configuration lists this tenant.
  void setLimit(std::string_view tenant, const QuotaLimit& limit, TimePoint now);
  /// Forgets tenants for which setLimit() was not called since the last call of this function.
  void removeUnlisted();
  /// @param gateways that place requests, this one included.
  void setGateways(std::uint32_t gateways) { gateways_ = gateways; }

  QuotaDecision admit(std::string_view tenant, double units, TimePoint now);
  /// @return whether nothing would be admitted now.
  bool isExhausted(std::string_view tenant, TimePoint now);
  void refund(std::string_view tenant, double units, TimePoint now);
  /// @return time until the quota is expected to have room; 0 without a limit.
  Duration timeToRoom(std::string_view tenant, TimePoint now);

  /// Another gateway reported its use.
  void onReport(std::string_view peer, const std::vector<TenantUse>& uses, TimePoint now);
  /// @return this gateway's use of the quotas of the tenants that recently asked for something.
  std::vector<TenantUse> report(TimePoint now);
  std::size_t tenants() const { return tenants_.size(); }

private:
  struct Tenant {
    std::unique_ptr<TenantQuota> quota;
    TimePoint asked_at{};
    bool listed = true;
  };
  struct Reporter {
    TimePoint reported_at{};
    bool has_use = false;  ///< Of the last report: it has clients.
  };

  QuotaPeers peers(TimePoint now);

  QuotaTolerance tolerance_;
  RandomSource& random_;
  std::uint32_t gateways_ = 1;
  absl::flat_hash_map<std::uint64_t, Tenant> tenants_;  ///< By the hash of the name.
  absl::flat_hash_map<std::uint64_t, Reporter> reporters_;
  QuotaPeers peers_;  ///< As of counted_at_.
  TimePoint counted_at_{};
};

}  // namespace crankspur
