#include "gateway/permit_holder.h"

#include <algorithm>
#include <utility>

namespace crankspur::gateway {
namespace {

/// A delegation that was sent may arrive late by this much.
constexpr Duration kDelegationMargin = std::chrono::milliseconds(500);
/// Interval of requests that only renew the delegation.
constexpr Duration kRenewalInterval = std::chrono::milliseconds(300);
/// Permits are requested for the requests of this time.
constexpr Duration kWantedTime = std::chrono::milliseconds(1'000);
constexpr std::uint32_t kMaxWanted = 1'000;
/// Permits that were not used for this long are given back, so that another gateway gets them.
constexpr Duration kHoldTime = std::chrono::milliseconds(1'000);
/// Resolution of the times in requests.
constexpr Duration kClockUnit = std::chrono::milliseconds(1);

}  // namespace

void PermitHolder::setIssuer(std::uint64_t issuer, TimePoint now) {
  next_issuer_ = issuer == issuer_ ? 0 : issuer;
  if (next_issuer_ == 0) return;
  const bool delegated = issuer_ != 0 && now - requested_at_ <= kDelegationTime + kDelegationMargin;
  if (delegated) return;
  *this = PermitHolder();
  issuer_ = issuer;
}

bool PermitHolder::use(TimePoint now) {
  if (!hasPermit(now)) return false;
  --held_;
  ++used_;
  changed_ = true;
  return true;
}

void PermitHolder::undo(TimePoint now) {
  if (used_ == 0 || now >= expires_at_) return;
  --used_;
  ++held_;
  changed_ = true;
}

void PermitHolder::onWanted(TimePoint now) {
  if (now - wanted_since_ > kWantedTime) {
    wanted_ = 0;
    wanted_since_ = now;
  }
  wanted_ = std::min(wanted_ + 1, kMaxWanted);
  wanted_at_ = now;
}

void PermitHolder::giveBackUnused(TimePoint now) {
  if (held_ == 0 || (now < expires_at_ && now - received_at_ < kHoldTime)) return;
  given_back_ += std::exchange(held_, 0);
  changed_ = true;
}

std::optional<PermitRequest> PermitHolder::nextRequest(std::uint64_t backend, TimePoint now) {
  giveBackUnused(now);
  if (next_issuer_ != 0) return std::nullopt;  // The delegation to the previous issuer has to end.
  const bool wants = wanted_ > 0 && now - wanted_at_ <= kWantedTime;
  if (!wants && !changed_ && now - requested_at_ < kRenewalInterval) return std::nullopt;
  if (first_requested_at_ == TimePoint{}) first_requested_at_ = now;
  requested_at_ = now;
  changed_ = false;
  PermitRequest request;
  request.backend = backend;
  request.issuer = issuer_;
  request.requested_at = permitClock(now);
  request.wanted = wants ? wanted_ : 0;
  request.grant = grant_.value_or(0);
  request.used = used_;
  request.given_back = given_back_;
  return request;
}

void PermitHolder::onGrant(const PermitGrant& grant, TimePoint now) {
  const bool is_newer = !grant_ || static_cast<std::int32_t>(grant.grant - *grant_) > 0;
  const Duration age = std::chrono::milliseconds(permitClock(now) - grant.requested_at);
  // Permits that were requested before a restart of this process may have been used.
  const bool was_requested =
      first_requested_at_ != TimePoint{} && age <= now - first_requested_at_ + kClockUnit;
  if (!is_newer || !was_requested) return;
  grant_ = grant.grant;
  used_ = 0;
  given_back_ = 0;
  held_ = grant.permits;
  received_at_ = now;
  expires_at_ = now + kPermitLifetime - age;
  changed_ = true;
  wanted_ -= std::min(wanted_, grant.permits);
}

}  // namespace crankspur::gateway
