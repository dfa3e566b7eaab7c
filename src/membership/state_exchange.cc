#include "membership/state_exchange.h"

#include <algorithm>

#include "base/hash.h"
#include "membership/membership.h"

namespace crankspur {

namespace {

/// Minimum number of records that a partial response may carry and is charged for.
constexpr std::size_t kMinPartialRecords = 8;
/// Maximum fraction of the remaining budget that one partial response uses, so that more requesters are
/// served.
constexpr double kPartialShare = 0.25;

std::size_t bucketOf(const std::string& name) {
  return hashBytes(name) % kFingerprintBuckets;
}

std::uint64_t fingerprintOf(const MemberRecord& record) {
  const std::uint64_t leaving = record.state == MemberState::Leaving ? 1 : 0;
  return combineHashes(hashBytes(record.name), record.incarnation * 2 + leaving);
}

}  // namespace

std::vector<std::uint64_t> liveFingerprints(const MemberTable& table, const MemberRecord& self) {
  std::vector<std::uint64_t> fingerprints(kFingerprintBuckets, 0);
  fingerprints[bucketOf(self.name)] += fingerprintOf(self);
  for (const auto& [name, member] : table.members()) {
    if (member.record.state != MemberState::Dead)
      fingerprints[bucketOf(name)] += fingerprintOf(member.record);
  }
  return fingerprints;
}

std::vector<MemberRecord> differingRecords(const MemberTable& table, const MemberRecord& self,
                                           const std::vector<std::uint64_t>& peer_fingerprints,
                                           RandomSource& random) {
  const std::vector<std::uint64_t> own = liveFingerprints(table, self);
  const bool comparable = peer_fingerprints.size() == own.size();
  std::vector<std::vector<MemberRecord>> buckets(kFingerprintBuckets);
  for (const auto& [name, member] : table.members()) {
    const std::size_t bucket = bucketOf(name);
    const bool same = comparable && own[bucket] == peer_fingerprints[bucket];
    if (!same && member.record.state != MemberState::Dead) buckets[bucket].push_back(member.record);
  }
  std::vector<MemberRecord> records;
  const std::size_t first = random.uniform(0, kFingerprintBuckets - 1);
  for (std::size_t step = 0; step < kFingerprintBuckets; ++step) {
    const auto& bucket = buckets[(first + step) % kFingerprintBuckets];
    records.insert(records.end(), bucket.begin(), bucket.end());
  }
  return records;
}

void StateResponseBudget::refill(TimePoint now) {
  if (now > refilled_at_)
    level_ = std::min(kBurst, level_ + toSeconds(now - refilled_at_) * kRecordsPerSecond);
  refilled_at_ = std::max(now, refilled_at_);
}

bool StateResponseBudget::takeComplete(std::size_t records, TimePoint now) {
  refill(now);
  if (level_ < kBurst / 2) return false;
  level_ -= static_cast<double>(std::max(records, kMinPartialRecords));
  return true;
}

std::size_t StateResponseBudget::takePartial(std::size_t wanted, TimePoint now) {
  refill(now);
  if (level_ < static_cast<double>(kMinPartialRecords)) return 0;
  const auto share = static_cast<std::size_t>(level_ * kPartialShare);
  const std::size_t granted = std::clamp(share, kMinPartialRecords, kRecordsPerStateMessage);
  level_ -= static_cast<double>(std::clamp(wanted, kMinPartialRecords, granted));
  return granted;
}

}  // namespace crankspur
