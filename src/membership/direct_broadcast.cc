#include "membership/direct_broadcast.h"

#include <algorithm>
#include <map>
#include <utility>

namespace crankspur {

namespace {

/// Maximum rate over all receivers. The delay before the next message grows with the size of the last one.
constexpr double kBytesPerSecond = 4'000;
/// Estimated sizes on the wire: a frame with its TCP and IP headers, and one record.
constexpr double kFrameBytes = 100;
constexpr double kRecordBytes = 32;
constexpr std::size_t kRecordsPerMessage = 32;
constexpr std::size_t kReceiversPerOtherRegion = 2;

}  // namespace

std::vector<MemberRecord> DirectBroadcast::receivers(const MemberTable& members, const std::string& region,
                                                     RandomSource& random) {
  std::vector<MemberRecord> chosen;
  std::map<std::string, std::vector<MemberRecord>> other_regions;
  for (const auto& [name, member] : members.members()) {
    const MemberRecord& record = member.record;
    if (record.state != MemberState::Alive || record.address.empty()) continue;
    (record.region == region ? chosen : other_regions[record.region]).push_back(record);
  }
  for (auto& [other_region, records] : other_regions) {
    for (std::size_t count = 0; count < kReceiversPerOtherRegion && !records.empty(); ++count) {
      std::swap(records[random.uniform(0, records.size() - 1)], records.back());
      chosen.push_back(std::move(records.back()));
      records.pop_back();
    }
  }
  return chosen;
}

std::vector<EngineRecord> DirectBroadcast::take(std::size_t receivers, TimePoint now) {
  const auto count = static_cast<std::ptrdiff_t>(std::min(pending_.size(), kRecordsPerMessage));
  std::vector<EngineRecord> taken(pending_.begin(), pending_.begin() + count);
  pending_.erase(pending_.begin(), pending_.begin() + count);
  const double bytes = kFrameBytes + kRecordBytes * static_cast<double>(taken.size());
  const double seconds = bytes * static_cast<double>(receivers) / kBytesPerSecond;
  next_at_ = now + Duration(static_cast<Duration::rep>(seconds * 1e6));
  return taken;
}

}  // namespace crankspur
