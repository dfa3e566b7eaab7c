#include "gateway/backend_notices.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace crankspur::gateway {
namespace {

/// A back end that has been unlisted for this long has ended. Until then it may be listed again, since the
/// platform may have lost its entry.
constexpr Duration kUnlistedTime = std::chrono::seconds(60);

}  // namespace

void BackendNotices::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  absl::erase_if(paused_until_, [now](const auto& item) { return item.second <= now; });
  if (departures_.empty() && invalid_pauses_.empty()) return;
  absl::flat_hash_set<std::uint64_t> listed;
  for (const Backend& backend : snapshot.backends) listed.insert(backend.view.incarnation);
  absl::erase_if(invalid_pauses_, [&listed](const auto& item) { return !listed.contains(item.first); });
  for (auto& [incarnation, last_listed_at] : departures_) {
    if (listed.contains(incarnation)) last_listed_at = now;
  }
  absl::erase_if(departures_, [now](const auto& item) { return now - item.second > kUnlistedTime; });
}

bool BackendNotices::onPause(std::uint64_t incarnation, Duration time, TimePoint now) {
  const TimePoint until = now + std::min(time, kMaxPause);
  if (until <= now) return false;
  TimePoint& known = paused_until_[incarnation];
  if (until <= known) return false;
  known = until;
  return true;
}

bool BackendNotices::onInvalidPause(std::uint64_t incarnation, const std::string& text) {
  return std::exchange(invalid_pauses_[incarnation], text) != text;
}

bool BackendNotices::onDeparture(std::uint64_t incarnation, TimePoint now) {
  return departures_.try_emplace(incarnation, now).second;
}

Duration BackendNotices::pausedFor(std::uint64_t incarnation, TimePoint now) const {
  const auto known = paused_until_.find(incarnation);
  return known == paused_until_.end() ? Duration(0) : std::max(Duration(0), known->second - now);
}

}  // namespace crankspur::gateway
