#pragma once
/// @file Anti-entropy between members: fingerprints that identify differing parts of the tables, and the rate
/// limit on the records that one node sends in responses.

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/member_table.h"

namespace crankspur {

/// Number of buckets that member names are hashed to. A request carries a fingerprint of 8 bytes per bucket.
inline constexpr std::size_t kFingerprintBuckets = 64;

/// @return for each bucket a hash over its members that are not Dead, including `self`. Equal tables have
/// equal fingerprints. Bundle versions and suspicions are not hashed.
std::vector<std::uint64_t> liveFingerprints(const MemberTable& table, const MemberRecord& self);

/// @param peer_fingerprints fingerprints of the requester; if their number is different, all buckets differ.
/// @return records of members that are not Dead in buckets that differ, starting at a random bucket.
std::vector<MemberRecord> differingRecords(const MemberTable& table, const MemberRecord& self,
                                           const std::vector<std::uint64_t>& peer_fingerprints,
                                           RandomSource& random);

/// Token bucket of records in responses. It bounds what one node sends when many members request state at
/// once (thundering herd).
class StateResponseBudget {
public:
  /// @return whether a response with all engine records may be sent; if so, it is charged and may overdraw
  /// the budget.
  bool takeComplete(std::size_t records, TimePoint now);
  /// Charges a partial response.
  /// @return the number of records it may carry; 0: send no response.
  std::size_t takePartial(std::size_t wanted, TimePoint now);

private:
  void refill(TimePoint now);

  double level_ = kBurst;
  TimePoint refilled_at_{};

  static constexpr double kRecordsPerSecond = 120;
  static constexpr double kBurst = 128;
};

}  // namespace crankspur
