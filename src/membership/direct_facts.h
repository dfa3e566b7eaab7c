#pragma once
/// @file Facts about engines that are told directly, beside gossip, within a byte rate.

#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "membership/member_table.h"

namespace crankspur {

/// Facts that wait to be told. Each goes once to every receiver, in a PingAck with sequence 0, which asks for
/// no answer.
class DirectFacts {
public:
  /// @return live members of the region, and a few of each other region that carry facts into its gossip.
  static std::vector<MemberRecord> receivers(const MemberTable& members, const std::string& region,
                                             RandomSource& random);
  void add(const EngineRecord& record) { waiting_.push_back(record); }
  /// @return whether facts wait and the byte rate allows to tell them.
  bool isDue(TimePoint now) const { return !waiting_.empty() && now >= next_at_; }
  /// @return when isDue() becomes true; the far future when nothing waits.
  TimePoint nextTimer() const { return waiting_.empty() ? TimePoint::max() : next_at_; }
  /// @return the facts of one message, oldest first, counted as sent to so many receivers.
  std::vector<EngineRecord> take(std::size_t receivers, TimePoint now);

private:
  std::vector<EngineRecord> waiting_;
  TimePoint next_at_{};
};

}  // namespace crankspur
