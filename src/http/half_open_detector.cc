#include "http/half_open_detector.h"

namespace crankspur::http {
namespace {

/// Exchanges that time out within this window may have a common cause. Calls that wait at engines are held
/// for 0.4 s and time out 0.3 s later, so that all of them report one silence within a second.
constexpr std::chrono::seconds kCorrelationWindow{1};
constexpr std::size_t kMinAddresses = 2;

}  // namespace

void HalfOpenDetector::onResponse(const std::string& address, Time now) {
  last_response_[address] = now;
  last_timeout_.erase(address);
}

/// Closes connections to all addresses when at least two addresses timed out and they are at least half as
/// many as those that responded. A few lost packets or silent servers among many healthy ones do not reach
/// this threshold.
HalfOpenDetector::Action HalfOpenDetector::onTimeout(const std::string& address, Time began, Time now) {
  // An exchange that started before all connections were last closed reports the same silence.
  if (began < all_closed_at_) return Action::CloseAddress;
  last_response_.erase(address);
  last_timeout_[address] = now;
  removeExpired(now);
  const bool several = last_timeout_.size() >= kMinAddresses;
  if (!several || last_timeout_.size() * 2 < last_response_.size()) return Action::CloseAddress;
  last_timeout_.clear();
  all_closed_at_ = now;
  return Action::CloseAll;
}

/// Bounds the maps: addresses change as servers are replaced.
void HalfOpenDetector::removeExpired(Time now) {
  std::erase_if(last_timeout_, [now](const auto& item) { return now - item.second > kCorrelationWindow; });
  std::erase_if(last_response_, [now](const auto& item) { return now - item.second >= kRecentActivity; });
}

}  // namespace crankspur::http
