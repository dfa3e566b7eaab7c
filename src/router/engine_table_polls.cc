/// @file Selection and timing of the polls of EngineTable.

#include <algorithm>

#include "router/engine_table.h"
#include "router/zone_sharing.h"

namespace crankspur {

namespace {

/// Ratio of the load poll interval of engines in other regions to that in this router's region.
constexpr int kOtherRegionFactor = 5;
/// Ratio of the load poll interval of engines whose load a peer sends to that of other engines.
constexpr int kPeerPolledFactor = 50;
/// Age of the last load report after which an engine that a peer should poll is polled directly.
constexpr Duration kDigestTimeout = std::chrono::seconds(6);
/// Maximum time until the table is checked again.
constexpr Duration kMaxWait = std::chrono::seconds(1);
/// Maximum relative deviation of a poll interval from its mean, in either direction.
constexpr double kJitter = 0.2;

}  // namespace

void EngineTable::setRouters(const std::string& self, std::vector<std::string> routers, TimePoint now) {
  if (self == self_ && routers == routers_) return;
  self_ = self;
  routers_ = std::move(routers);
  std::set<std::string> previously_owned;
  for (auto& [name, entry] : entries_) {
    if (pollClass(entry) == InfoPollClass::Owned) previously_owned.insert(name);
    entry.owned.reset();
  }
  updateInfoCounts();
  for (auto& [name, entry] : entries_) {
    if (pollClass(entry) != InfoPollClass::Owned || previously_owned.contains(name)) continue;
    // The previous owner's last report may be one interval old. The first polls of the acquired back ends are
    // spread over an interval.
    const auto mean = static_cast<double>(infoInterval(entry).count());
    const Duration delay(static_cast<Duration::rep>(mean * random_.unit()));
    entry.next_info_at = std::min(entry.next_info_at, now + delay);
  }
}

void EngineTable::updateInfoCounts() {
  info_counts_ = {};
  for (auto& [name, entry] : entries_) {
    if (!entry.owned) entry.owned = routers_.empty() || ownerOf(name, routers_) == self_;
    const InfoPollClass poll_class = pollClass(entry);
    if (poll_class == InfoPollClass::Owned) ++info_counts_.owned;
    if (poll_class == InfoPollClass::InRegion) ++info_counts_.in_region;
    if (poll_class == InfoPollClass::OtherRegion) ++info_counts_.other_region;
  }
}

InfoPollClass EngineTable::pollClass(const Entry& entry) const {
  if (!inLocalRegion(entry)) return InfoPollClass::OtherRegion;
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

bool EngineTable::polledByPeer(const Entry& entry, TimePoint now) const {
  // Polls directly when the owner has stopped sending digests.
  return polled_by_peers_.contains(entry.view.name) && now - entry.view.load.measured_at < kDigestTimeout;
}

bool EngineTable::wantsLoad(const Entry& entry, TimePoint now) const {
  const bool reachable = entry.view.incarnation != 0 && entry.health.state(now) != HealthState::Dead;
  if (entry.runner || !reachable || entry.load_running) return false;
  return now >= entry.next_load_at || (entry.load_poll_early && !polledByPeer(entry, now));
}

std::vector<BackendPoll> EngineTable::duePolls(TimePoint now) {
  std::vector<BackendPoll> polls;
  const std::size_t peer_polled = std::min(entries_.size(), polled_by_peers_.size());
  const std::size_t load_polled = entries_.size() - peer_polled + peer_polled / kPeerPolledFactor;
  for (auto& [name, entry] : entries_) {
    if (!entry.info_running && now >= entry.next_info_at) {
      entry.info_running = true;
      entry.next_info_at = now + jittered(infoInterval(entry));
      const auto kind = entry.runner ? BackendPoll::Kind::RunnerInfo : BackendPoll::Kind::EngineInfo;
      polls.push_back({kind, name, entry.view.address});
    }
    if (!wantsLoad(entry, now)) continue;
    entry.load_running = true;
    // Engines polled by a peer are polled at a lower rate for the values that digests omit.
    const bool polled_by_peer = polled_by_peers_.contains(name);
    entry.load_poll_early = polled_by_peer;
    const int factor = polled_by_peer ? kPeerPolledFactor : inLocalRegion(entry) ? 1 : kOtherRegionFactor;
    entry.next_load_at = now + loadInterval(load_polled) * factor;
    polls.push_back({BackendPoll::Kind::EngineLoad, name, entry.view.address});
  }
  return polls;
}

TimePoint EngineTable::nextTimer(TimePoint now) const {
  TimePoint next = now + kMaxWait;
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
