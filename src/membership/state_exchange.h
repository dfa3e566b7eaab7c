#pragma once
/// @file Parts of the exchange of whole tables between members: fingerprints that name what differs, and the
/// budget of records that one node sends in answers.

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/member_table.h"

namespace crankspur {

/// Buckets that member names are hashed to; a request carries one fingerprint of 8 bytes for each.
inline constexpr std::size_t kFingerprintBuckets = 64;

/// @return for each bucket a hash over the members in it that are not dead, `self` included. Equal tables
/// have equal fingerprints. Bundle versions and suspicions do not count.
std::vector<std::uint64_t> liveFingerprints(const MemberTable& table, const MemberRecord& self);

/// @param theirs fingerprints of the one who asks; of another length they count as all different.
/// @return records of members that are not dead, from buckets that differ, in random order of buckets.
std::vector<MemberRecord> differingRecords(const MemberTable& table, const MemberRecord& self,
                                           const std::vector<std::uint64_t>& theirs, RandomSource& random);

/// Records that answers may carry: refills steadily, so that a herd of askers cannot make one node send more.
class StateAnswerBudget {
public:
  /// @return whether an answer with all facts about engines may go out; it is then charged, and may overdraw
  /// the budget.
  bool takeWhole(std::size_t records, TimePoint now);
  /// Charges a partial answer.
  /// @return how many records it may carry; 0: give no answer.
  std::size_t takePart(std::size_t wanted, TimePoint now);

private:
  void refill(TimePoint now);

  double level_ = kBurst;
  TimePoint refilled_at_{};

  static constexpr double kRecordsPerSecond = 120;
  static constexpr double kBurst = 128;
};

}  // namespace crankspur
