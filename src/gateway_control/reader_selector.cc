#include "gateway_control/reader_selector.h"

#include <algorithm>
#include <utility>

namespace crankspur::gateway {
namespace {

/// A gateway that failed is not used for this time, which is the duration of a restart.
constexpr Duration kFailureBackoff = std::chrono::seconds(2);
/// A gateway whose response is late is not used for this time, which lets others respond on new connections:
/// a feed tries two more within a second.
constexpr Duration kLateBackoff = std::chrono::milliseconds(1'200);
/// Average interval at which a gateway reads the platform while all readers and the platform itself fail.
/// Readers fail together when the platform is down; without the interval hundreds of gateways would call it
/// at once.
constexpr Duration kPlatformInterval = std::chrono::seconds(3);

}  // namespace

void ReaderSelector::setReaders(std::vector<std::string> readers) {
  readers_ = std::move(readers);
  std::erase_if(late_at_, [this](const auto& item) {
    return std::find(readers_.begin(), readers_.end(), item.first) == readers_.end();
  });
}

ReadTarget ReaderSelector::next(TimePoint now) {
  if (readers_.empty()) return {ReadTarget::Kind::Platform, ""};
  std::erase_if(avoided_until_, [now](const auto& item) { return item.second <= now; });
  for (const std::string& reader : readers_) {
    if (!avoided_until_.contains(reader)) return {ReadTarget::Kind::Gateway, reader};
  }
  if (platform_responds_) return {ReadTarget::Kind::Platform, ""};
  if (now < next_platform_read_at_) return {ReadTarget::Kind::None, ""};
  const double jitter = 0.5 + random_.unit();
  next_platform_read_at_ =
      now + Duration(static_cast<Duration::rep>(static_cast<double>(kPlatformInterval.count()) * jitter));
  return {ReadTarget::Kind::Platform, ""};
}

void ReaderSelector::onFailed(const std::string& address, TimePoint now) {
  avoided_until_[address] = now + kFailureBackoff;
}

void ReaderSelector::onLate(const std::string& address, TimePoint now) {
  TimePoint& until = avoided_until_[address];
  until = std::max(until, now + kLateBackoff);
  late_at_[address] = now;
}

bool ReaderSelector::wasLateAfter(const std::string& address, TimePoint sent_at) const {
  const auto late = late_at_.find(address);
  return late != late_at_.end() && late->second > sent_at;
}

}  // namespace crankspur::gateway
