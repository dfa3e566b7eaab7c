#include "gateway/permit_issuer.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Part of the limit that accrues. The rest and kCirculationTime make up for requests that arrive closer
/// together than they were sent.
constexpr double kAccruedShare = 0.9;
/// Limit of the permits that are available or held, seconds of the limit and a number of permits. Gateways
/// with few requests hold permits that they give back unused, so that more are in circulation than are used
/// at a time.
constexpr double kCirculationTime = 2.2;
constexpr double kCirculationPermits = 4;
/// While no gateway waits for permits, they accrue up to this many seconds of the limit, at least one, so
/// that what accrued meanwhile is not sent at once. Above that they lapse at the rate of the limit.
constexpr double kAvailableTime = 0.25;
/// A request for permits is served for this long; the permits would otherwise expire too soon.
constexpr Duration kRequestLifetime = std::chrono::milliseconds(700);
/// Each issue looks at all gateways, and this one asks for each request that finds no permit.
constexpr Duration kMinIssueInterval = std::chrono::milliseconds(10);
/// A gateway that has not sent a request for this long holds nothing and delegates nothing.
constexpr Duration kHolderLifetime = std::chrono::seconds(5);

}  // namespace

void PermitIssuer::setLimit(double per_second, std::uint32_t gateways) {
  per_second_ = per_second;
  gateways_ = std::max(gateways, 1U);
}

/// @return the part of the limit that is delegated to this gateway.
double PermitIssuer::share(TimePoint now) const {
  const auto delegates = std::count_if(holders_.begin(), holders_.end(), [now](const auto& item) {
    return now - item.second.delegated_at <= kDelegationTime;
  });
  return std::min(static_cast<double>(delegates) / gateways_, 1.0);
}

double PermitIssuer::maxInCirculation(TimePoint now) const {
  return std::max((per_second_ * kCirculationTime + kCirculationPermits) * share(now), 1.0);
}

double PermitIssuer::inCirculation() const {
  double permits = available_;
  for (const auto& [id, holder] : holders_) permits += holder.outstanding();
  return permits;
}

void PermitIssuer::refill(TimePoint now) {
  expire(now);
  const double accrued = per_second_ * kAccruedShare * share(now) * toSeconds(now - refilled_at_);
  refilled_at_ = now;
  const double idle_limit = std::max(per_second_ * kAvailableTime, 1.0);
  if (left_waiting_) {
    available_ += accrued;
  } else if (available_ > idle_limit) {
    available_ = std::max(available_ - accrued, idle_limit);
  } else {
    available_ = std::min(available_ + accrued, idle_limit);
  }
  const double held = inCirculation() - available_;
  available_ = std::min(available_, std::max(maxInCirculation(now) - held, 0.0));
}

/// Permits that were neither used nor given back in time count as used.
void PermitIssuer::expire(TimePoint now) {
  for (auto& [id, holder] : holders_) {
    if (now - holder.issued_at > kPermitLifetime) holder.settled = holder.grant.permits;
  }
  std::erase_if(holders_, [now](const auto& item) {
    return item.second.outstanding() == 0 && now - item.second.delegated_at > kHolderLifetime;
  });
}

void PermitIssuer::onRequest(std::uint64_t id, const PermitRequest& request, TimePoint now) {
  Holder& holder = holders_[id];
  holder.delegated_at = now;
  holder.request = request;
  if (request.grant != holder.grant.grant || holder.outstanding() == 0) return;
  const std::uint32_t permits = holder.grant.permits;
  const std::uint32_t given_back = std::min(request.given_back, permits);
  const std::uint32_t settled = std::min(request.used + given_back, permits);
  if (settled <= holder.settled) return;
  available_ += given_back - std::min(holder.given_back, given_back);
  holder.given_back = given_back;
  holder.settled = settled;
}

std::vector<PermitIssuer::Holder*> PermitIssuer::waiting(TimePoint now) {
  std::vector<Holder*> found;
  for (auto& [id, holder] : holders_) {
    const bool is_fresh = now - holder.delegated_at <= kRequestLifetime;
    if (holder.request.wanted > 0 && is_fresh && holder.outstanding() == 0) found.push_back(&holder);
  }
  std::stable_sort(found.begin(), found.end(), [](const Holder* left, const Holder* right) {
    return left->served_at < right->served_at;
  });
  return found;
}

void PermitIssuer::issue(TimePoint now) {
  if (available_ < 1 && now < refilled_at_ + kMinIssueInterval) return;
  refill(now);
  const std::vector<Holder*> holders = waiting(now);
  left_waiting_ = false;
  if (holders.empty()) return;
  const auto equal_share = static_cast<std::uint32_t>(available_ / static_cast<double>(holders.size()));
  for (Holder* holder : holders) {
    left_waiting_ = available_ < 1;
    if (left_waiting_) return;
    grant(*holder, std::clamp(equal_share, 1U, holder->request.wanted), now);
  }
}

void PermitIssuer::grant(Holder& holder, std::uint32_t permits, TimePoint now) {
  available_ -= permits;
  // Numbers grow over restarts of this process, so that a holder accepts the first grant after one.
  next_grant_ = std::max(next_grant_ + 1, permitClock(now));
  holder.grant = {holder.request.backend, 0, next_grant_, permits, holder.request.requested_at};
  holder.issued_at = now;
  holder.served_at = now;
  holder.settled = 0;
  holder.given_back = 0;
  holder.request.wanted -= std::min(holder.request.wanted, permits);
}

const PermitGrant* PermitIssuer::unconfirmed(std::uint64_t id) const {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return nullptr;
  const Holder& holder = found->second;
  return holder.outstanding() > 0 && holder.request.grant != holder.grant.grant ? &holder.grant : nullptr;
}

std::vector<PermitGrant> PermitIssuer::unconfirmed() const {
  std::vector<PermitGrant> grants;
  for (const auto& [id, holder] : holders_) {
    const PermitGrant* grant = unconfirmed(id);
    if (grant == nullptr) continue;
    grants.push_back(*grant);
    grants.back().holder = id;
  }
  return grants;
}

}  // namespace crankspur::gateway
