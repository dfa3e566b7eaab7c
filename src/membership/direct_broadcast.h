#pragma once
/// @file Rate-limited broadcast of engine records, in addition to gossip.

#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "membership/member_table.h"

namespace crankspur {

/// Queue of engine records to broadcast. Each is sent once to all receivers in a PingAck with sequence 0,
/// which requires no response.
class DirectBroadcast {
public:
  /// @return live members of the region, and a few of each other region that spread the records there by
  /// gossip.
  static std::vector<MemberRecord> receivers(const MemberTable& members, const std::string& region,
                                             RandomSource& random);
  void add(const EngineRecord& record) { pending_.push_back(record); }
  /// @return whether records are queued and the byte rate allows sending them.
  bool isDue(TimePoint now) const { return !pending_.empty() && now >= next_at_; }
  /// @return when isDue() becomes true; TimePoint::max() when the queue is empty.
  TimePoint nextTimer() const { return pending_.empty() ? TimePoint::max() : next_at_; }
  /// Dequeues the records of one message, oldest first, and charges its size for each receiver.
  std::vector<EngineRecord> take(std::size_t receivers, TimePoint now);

private:
  std::vector<EngineRecord> pending_;
  TimePoint next_at_{};
};

}  // namespace crankspur
