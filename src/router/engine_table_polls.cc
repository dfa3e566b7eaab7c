// Which back ends EngineTable asks, and when.

#include <algorithm>

#include "router/engine_table.h"
#include "router/zone_sharing.h"

namespace crankspur {

namespace {

/// Engines outside the own region are asked for their load this many times less often.
constexpr int kOtherRegionFactor = 5;
/// Engines whose load another router tells are asked this many times less often.
constexpr int kElsewhereFactor = 50;
/// An engine whose owner has told nothing for this long is asked directly.
constexpr Duration kDigestPatience = std::chrono::seconds(6);
/// Longest time between two looks at the table.
constexpr Duration kLongestWait = std::chrono::seconds(1);
/// Times between two polls vary by this share in both directions.
constexpr double kJitter = 0.2;

}  // namespace

void EngineTable::setRouters(const std::string& self, std::vector<std::string> routers, TimePoint now) {
  if (self == self_ && routers == routers_) return;
  self_ = self;
  routers_ = std::move(routers);
  std::set<std::string> owned_before;
  for (auto& [name, entry] : entries_) {
    if (pollClass(entry) == InfoPollClass::Owned) owned_before.insert(name);
    entry.owned.reset();
  }
  countForInfoPolls();
  for (auto& [name, entry] : entries_) {
    if (pollClass(entry) != InfoPollClass::Owned || owned_before.contains(name)) continue;
    // What the former owner saw last may be as old as an interval; those taken over are not all asked at
    // once.
    const auto mean = static_cast<double>(infoInterval(entry).count());
    const Duration wait(static_cast<Duration::rep>(mean * random_.unit()));
    entry.next_info_at = std::min(entry.next_info_at, now + wait);
  }
}

void EngineTable::countForInfoPolls() {
  info_counts_ = {};
  for (auto& [name, entry] : entries_) {
    if (!entry.owned) entry.owned = routers_.empty() || ownerOf(name, routers_) == self_;
    const InfoPollClass poll_class = pollClass(entry);
    if (poll_class == InfoPollClass::Owned) ++info_counts_.owned;
    if (poll_class == InfoPollClass::InRegion) ++info_counts_.in_region;
    if (poll_class == InfoPollClass::Elsewhere) ++info_counts_.elsewhere;
  }
}

InfoPollClass EngineTable::pollClass(const Entry& entry) const {
  if (!inOwnRegion(entry)) return InfoPollClass::Elsewhere;
  return entry.owned.value_or(true) ? InfoPollClass::Owned : InfoPollClass::InRegion;
}

Duration EngineTable::infoInterval(const Entry& entry) const {
  return infoPollInterval(pollClass(entry), info_counts_, options_.info_interval,
                          options_.info_polls_per_second);
}

Duration EngineTable::loadInterval(std::size_t polled) {
  const double bounded = static_cast<double>(polled) / options_.load_polls_per_second;
  const double seconds = std::max(toSeconds(options_.load_interval), bounded);
  return jittered(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

Duration EngineTable::jittered(Duration mean) {
  const double factor = 1 - kJitter + 2 * kJitter * random_.unit();
  return Duration(static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor));
}

bool EngineTable::polledElsewhere(const Entry& entry, TimePoint now) const {
  // An owner that went silent is not waited for.
  return polled_elsewhere_.contains(entry.view.name) && now - entry.view.load.measured_at < kDigestPatience;
}

bool EngineTable::wantsLoad(const Entry& entry, TimePoint now) const {
  const bool reachable = entry.view.incarnation != 0 && entry.health.state(now) != HealthState::Dead;
  if (entry.runner || !reachable || entry.load_running) return false;
  return now >= entry.next_load_at || (entry.load_early && !polledElsewhere(entry, now));
}

std::vector<BackendPoll> EngineTable::duePolls(TimePoint now) {
  std::vector<BackendPoll> polls;
  const std::size_t told = std::min(entries_.size(), polled_elsewhere_.size());
  const std::size_t load_polled = entries_.size() - told + told / kElsewhereFactor;
  for (auto& [name, entry] : entries_) {
    if (!entry.info_running && now >= entry.next_info_at) {
      entry.info_running = true;
      entry.next_info_at = now + jittered(infoInterval(entry));
      const auto kind = entry.runner ? BackendPoll::Kind::RunnerInfo : BackendPoll::Kind::EngineInfo;
      polls.push_back({kind, name, entry.view.address});
    }
    if (!wantsLoad(entry, now)) continue;
    entry.load_running = true;
    // An engine that another router asks is asked now and then, for what digests leave out.
    const bool elsewhere = polled_elsewhere_.contains(name);
    entry.load_early = elsewhere;
    const int factor = elsewhere ? kElsewhereFactor : inOwnRegion(entry) ? 1 : kOtherRegionFactor;
    entry.next_load_at = now + loadInterval(load_polled) * factor;
    polls.push_back({BackendPoll::Kind::EngineLoad, name, entry.view.address});
  }
  return polls;
}

TimePoint EngineTable::nextTimer(TimePoint now) const {
  TimePoint next = now + kLongestWait;
  for (const auto& [name, entry] : entries_) {
    if (!entry.info_running) next = std::min(next, entry.next_info_at);
    const bool reachable = entry.view.incarnation != 0 && entry.health.state(now) != HealthState::Dead;
    if (!entry.runner && reachable && !entry.load_running) next = std::min(next, entry.next_load_at);
    const TimePoint ejection_end = entry.health.ejectedUntil();
    if (ejection_end > now) next = std::min(next, ejection_end);
  }
  return next;
}

}  // namespace crankspur
