#include "sidecar/router_directory.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace crankspur {

namespace {

constexpr int kOwnZone = 0;
constexpr int kOwnRegion = 1;
constexpr int kOtherRegion = 2;
constexpr std::uint32_t kMaxBackoffDoublings = 10;

}  // namespace

RouterDirectory::RouterDirectory(std::string own_name, std::string own_zone, std::string own_region,
                                 std::uint64_t random_seed, RouterDirectoryOptions options)
    : own_name_(std::move(own_name)),
      own_zone_(std::move(own_zone)),
      own_region_(std::move(own_region)),
      random_(random_seed),
      options_(options) {}

void RouterDirectory::addSeed(const std::string& address) {
  Entry& entry = entries_[address];
  entry.address = address;
  entry.seed = true;
}

RouterDirectory::Entry* RouterDirectory::findByName(const std::string& name) {
  for (auto& [address, entry] : entries_) {
    if (entry.name == name && !entry.alias) return &entry;
  }
  return nullptr;
}

void RouterDirectory::applyRecord(const MemberRecord& record) {
  if (record.name.empty() || record.address.empty()) return;
  Entry* known = findByName(record.name);
  if (known != nullptr) {
    const bool newer =
        std::tie(record.incarnation, record.state) > std::tie(known->incarnation, known->state);
    if (!newer) return;
    if (known->address == record.address || known->connected) {
      known->incarnation = record.incarnation;
      known->state = record.state;
      return;
    }
    if (known->seed) {
      known->name.clear();
    } else {
      entries_.erase(known->address);
    }
  }
  if (record.state == MemberState::Dead || entries_.size() >= options_.max_routers) return;
  Entry& entry = entries_[record.address];
  if (entry.connected) return;
  entry.address = record.address;
  entry.name = record.name;
  entry.zone = record.zone;
  entry.region = record.region;
  entry.incarnation = record.incarnation;
  entry.state = record.state;
}

bool RouterDirectory::onHello(const std::string& address, const Hello& hello) {
  Entry* known = findByName(hello.node_name);
  Entry& entry = entries_[address];
  entry.address = address;
  if (known != nullptr && known != &entry) {
    if (known->connected && known->incarnation == hello.incarnation) {
      entry.alias = true;
      return false;
    }
    if (known->seed) {
      known->alias = true;
      known->connected = false;
    } else {
      entries_.erase(known->address);
    }
  }
  entry.alias = false;
  entry.name = hello.node_name;
  entry.zone = hello.zone;
  entry.region = hello.region;
  if (hello.incarnation != entry.incarnation) entry.state = MemberState::Alive;
  if (entry.state == MemberState::Dead || entry.state == MemberState::Suspect)
    entry.state = MemberState::Alive;
  entry.incarnation = hello.incarnation;
  entry.connected = true;
  entry.failures = 0;
  return true;
}

void RouterDirectory::onClosed(const std::string& address, TimePoint now) {
  const auto found = entries_.find(address);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.connected) {
    // Other addresses of this router may be tried again.
    for (auto& [other_address, other] : entries_) other.alias = false;
  }
  entry.connected = false;
  const std::uint32_t doublings = std::min(entry.failures++, kMaxBackoffDoublings);
  const Duration max_delay =
      std::min(options_.max_reconnect_delay, options_.initial_reconnect_delay * (1 << doublings));
  const double jitter = 0.5 + 0.5 * random_.unit();
  entry.retry_at =
      now + Duration(static_cast<Duration::rep>(static_cast<double>(max_delay.count()) * jitter));
  if (entry.state == MemberState::Dead && !entry.seed) entries_.erase(found);
}

int RouterDirectory::distanceOf(const Entry& entry) const {
  if (entry.region != own_region_) return kOtherRegion;
  return entry.zone == own_zone_ ? kOwnZone : kOwnRegion;
}

std::vector<std::string> RouterDirectory::targetAddresses(TimePoint now) const {
  struct Candidate {
    int distance;
    std::uint64_t score;
    const Entry* entry;
  };
  std::vector<std::string> addresses;
  std::vector<Candidate> candidates;
  for (const auto& [address, entry] : entries_) {
    if (entry.alias) continue;
    if (entry.connected || (entry.name.empty() && entry.retry_at <= now)) {
      addresses.push_back(address);
    } else if (!entry.name.empty() && entry.state != MemberState::Leaving) {
      candidates.push_back({distanceOf(entry), hashBytes(entry.name, hashBytes(own_name_)), &entry});
    }
  }
  std::array<std::size_t, 3> capacity = {options_.own_zone_connections, options_.other_zone_connections,
                                         options_.other_region_connections};
  for (const auto& [address, entry] : entries_) {
    std::size_t& remaining = capacity[static_cast<std::size_t>(distanceOf(entry))];
    if (entry.connected && remaining > 0) --remaining;
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
    return std::tie(left.distance, left.score) < std::tie(right.distance, right.score);
  });
  for (const Candidate& candidate : candidates) {
    std::size_t& remaining = capacity[static_cast<std::size_t>(candidate.distance)];
    if (candidate.entry->retry_at > now || (remaining == 0 && !candidate.entry->seed)) continue;
    if (remaining > 0) --remaining;
    addresses.push_back(candidate.entry->address);
  }
  return addresses;
}

std::vector<RouterCandidate> RouterDirectory::usableRouters() const {
  std::vector<RouterCandidate> candidates;
  for (const auto& [address, entry] : entries_) {
    if (!entry.connected || entry.state == MemberState::Leaving) continue;
    candidates.push_back({entry.name, entry.zone, entry.region});
  }
  return candidates;
}

}  // namespace crankspur
