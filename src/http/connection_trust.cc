#include "http/connection_trust.h"

namespace crankspur::http {
namespace {

/// Exchanges that went unanswered within this time may have one cause. Calls that wait at engines are held
/// for 0.4 s and given up 0.3 s later, so that all of them tell of one silence within a second.
constexpr std::chrono::seconds kTogether{1};
constexpr std::size_t kFewestAddresses = 2;

}  // namespace

void ConnectionTrust::onAnswered(const std::string& address, Time now) {
  answered_at_[address] = now;
  unanswered_at_.erase(address);
}

/// All are left when at least two addresses gave no answer and these are half as many as those that did, or
/// more: a few lost packets or silent servers among many sound ones do not come up to that.
ConnectionTrust::Verdict ConnectionTrust::onUnanswered(const std::string& address, Time began, Time now) {
  // An exchange of before the last time that all were left tells of the same silence.
  if (began < all_left_at_) return Verdict::LeaveAddress;
  answered_at_.erase(address);
  unanswered_at_[address] = now;
  forgetOld(now);
  const bool several = unanswered_at_.size() >= kFewestAddresses;
  if (!several || unanswered_at_.size() * 2 < answered_at_.size()) return Verdict::LeaveAddress;
  unanswered_at_.clear();
  all_left_at_ = now;
  return Verdict::LeaveAll;
}

/// Addresses come and go with the servers that are replaced.
void ConnectionTrust::forgetOld(Time now) {
  std::erase_if(unanswered_at_, [now](const auto& item) { return now - item.second > kTogether; });
  std::erase_if(answered_at_, [now](const auto& item) { return now - item.second >= kRecently; });
}

}  // namespace crankspur::http
