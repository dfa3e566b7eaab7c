#pragma once
/// @file Gossip and anti-entropy of the evidence against poison requests. An update is sent to every gateway
/// at once, since such a request may arrive at any of them. Every half second a digest of all evidence is
/// sent to two random gateways, which respond with all their evidence if their digest differs. A gateway that
/// started, was cut off, or missed a datagram therefore catches up within a second or two of contact. Pure
/// decision code.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/crash_suspects.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// @return the update in wire format, with instants as ages.
CrashNotes toNotes(const CrashUpdate& update, TimePoint now);
/// @return the update with ages converted to instants of this process.
CrashUpdate toUpdate(const CrashNotes& notes, TimePoint now);

/// The control side's copy of the evidence. Not thread-safe.
class CrashExchange {
public:
  /// Time between two digests.
  static constexpr Duration kDigestInterval = std::chrono::milliseconds(500);

  CrashExchange(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy = {});

  /// This gateway's traffic has new evidence.
  void onOwnUpdate(CrashUpdate update, TimePoint now);
  /// Another gateway, or the store's record, has provided evidence.
  /// @return whether anything was new.
  bool onUpdate(const CrashUpdate& update, TimePoint now) { return suspects_.merge(update, now); }
  /// A gateway joined or returned: either side may lack evidence.
  void onMemberJoined(TimePoint now) { joined_at_ = now; }
  /// @param digest of another gateway.
  /// @return whether to send allEvidence() to that gateway.
  bool onDigest(std::uint64_t digest, TimePoint now);
  CrashUpdate allEvidence() const { return suspects_.allEvidence(); }
  CrashUpdate quarantined(TimePoint now) const { return suspects_.quarantined(now); }
  /// @return whether a request of the update is quarantined.
  bool quarantines(const CrashUpdate& update, TimePoint now) const {
    return suspects_.quarantines(update, now);
  }

  /// @return as CrashSuspects::recorderRank().
  std::optional<std::size_t> recorderRank(const CrashUpdate& update, TimePoint now) const {
    return suspects_.recorderRank(update, now);
  }

  /// To be called every kDigestInterval.
  /// @param members live gateways, without this one.
  /// @return those to send the digest to.
  std::vector<std::string> onTick(const std::vector<std::string>& members, TimePoint now);
  std::uint64_t digest() const { return suspects_.digest(); }

private:
  CrashSuspects suspects_;
  RandomSource random_;
  TimePoint joined_at_;
  TimePoint full_update_at_{};
};

}  // namespace crankspur::gateway
