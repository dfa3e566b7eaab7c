#pragma once
/// @file What the gateways tell each other of requests that end back ends: news at once to every gateway,
/// since such a request may come to any; and every half second a sum over all that is known, to two gateways
/// at random, which answer with all they know where theirs differs. So a gateway that starts, was cut off, or
/// missed a datagram knows within a second or two of contact. Pure decision code.

#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/crash_suspects.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// @return the news as they go on the wire: instants as ages.
CrashNotes toNotes(const CrashNews& news, TimePoint now);
/// @return the news in instants of this process.
CrashNews toNews(const CrashNotes& notes, TimePoint now);

/// The control side's copy of what is known. Not thread-safe.
class CrashExchange {
public:
  /// Time between two digests.
  static constexpr Duration kDigestInterval = std::chrono::milliseconds(500);

  CrashExchange(std::uint64_t random_seed, TimePoint now);

  /// This gateway's traffic learnt something.
  void onOwnNews(const CrashNews& news, TimePoint now) { suspects_.onTold(news, now); }
  /// @return whether anything was news.
  bool onNews(const CrashNews& news, TimePoint now) { return suspects_.onTold(news, now); }
  /// A gateway became known, or is back: either side may lack something.
  void onMemberJoined(TimePoint now) { joined_at_ = now; }
  /// @param digest of another gateway.
  /// @return whether that one is to be told everything().
  bool onDigest(std::uint64_t digest, TimePoint now);
  CrashNews everything() const { return suspects_.everything(); }
  CrashNews quarantined(TimePoint now) const { return suspects_.quarantined(now); }
  /// @return whether a request of the news is quarantined.
  bool quarantines(const CrashNews& news, TimePoint now) const { return suspects_.quarantines(news, now); }

  /// To be called each kDigestInterval.
  /// @param members that live, without this one.
  /// @return those that are to be told the digest.
  std::vector<std::string> onTick(const std::vector<std::string>& members, TimePoint now);
  std::uint64_t digest() const { return suspects_.digest(); }

private:
  CrashSuspects suspects_;
  RandomSource random_;
  TimePoint joined_at_;
  TimePoint told_all_at_{};
};

}  // namespace crankspur::gateway
