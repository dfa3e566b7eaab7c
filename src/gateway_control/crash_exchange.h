#pragma once
/// @file Gossip and anti-entropy of the evidence against poison requests: an update goes at once to every
/// gateway, since such a request may come to any; and every half second a digest of all evidence goes to two
/// gateways at random, which answer with all they know where theirs differs. So a gateway that starts, was
/// cut off, or missed a datagram knows within a second or two of contact. Pure decision code.

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/crash_suspects.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// @return the update as it goes on the wire: instants as ages.
CrashNotes toNotes(const CrashUpdate& update, TimePoint now);
/// @return the update in instants of this process.
CrashUpdate toUpdate(const CrashNotes& notes, TimePoint now);

/// The control side's copy of what is known. Not thread-safe.
class CrashExchange {
public:
  /// Time between two digests.
  static constexpr Duration kDigestInterval = std::chrono::milliseconds(500);

  CrashExchange(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy = {});

  /// This gateway's traffic learnt something.
  void onOwnUpdate(const CrashUpdate& update, TimePoint now) { suspects_.merge(update, now); }
  /// Another gateway, or the store's record, told something.
  /// @return whether anything was new.
  bool onUpdate(const CrashUpdate& update, TimePoint now) { return suspects_.merge(update, now); }
  /// A gateway became known, or is back: either side may lack something.
  void onMemberJoined(TimePoint now) { joined_at_ = now; }
  /// @param digest of another gateway.
  /// @return whether that one is to be told allEvidence().
  bool onDigest(std::uint64_t digest, TimePoint now);
  CrashUpdate allEvidence() const { return suspects_.allEvidence(); }
  CrashUpdate quarantined(TimePoint now) const { return suspects_.quarantined(now); }
  /// @return whether a request of the update is quarantined.
  bool quarantines(const CrashUpdate& update, TimePoint now) const {
    return suspects_.quarantines(update, now);
  }

  /// To be called each kDigestInterval.
  /// @param members that live, without this one.
  /// @return those that are to be told the digest.
  std::vector<std::string> onTick(const std::vector<std::string>& members, TimePoint now);
  std::uint64_t digest() const { return suspects_.digest(); }

private:
  CrashSuspects suspects_;
  RandomSource random_;
  TimePoint joined_at_;
  TimePoint full_update_at_{};
};

}  // namespace crankspur::gateway
