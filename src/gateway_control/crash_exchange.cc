#include "gateway_control/crash_exchange.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Gateways that are told the digest at a time. With 0.5 s between, one of n gateways that all tell theirs
/// hears four a second, and none for 2.5 s once in 20,000 times.
constexpr std::size_t kDigestReceivers = 2;
/// A gateway that knows nothing asks for so long after it or another one has joined.
constexpr Duration kAskAfterJoin = std::chrono::seconds(5);
/// Everything is told at most this often: many may ask at once.
constexpr Duration kLeastTellAllPause = std::chrono::milliseconds(20);

std::uint32_t age(TimePoint instant, TimePoint now) {
  const auto milliseconds = (now - instant) / std::chrono::milliseconds(1);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, UINT32_MAX));
}

TimePoint instant(std::uint32_t age_milliseconds, TimePoint now) {
  return now - std::chrono::milliseconds(age_milliseconds);
}

}  // namespace

CrashNotes toNotes(const CrashNews& news, TimePoint now) {
  CrashNotes notes;
  for (const CrashEvidence& crash : news.crashes) {
    notes.crashes.push_back({crash.request.high, crash.request.low, crash.backend, age(crash.sent_at, now),
                             age(crash.ended_at, now)});
  }
  for (const ClearedRequest& cleared : news.cleared) {
    notes.cleared.push_back({cleared.request.high, cleared.request.low, age(cleared.at, now)});
  }
  for (const LivingBackend& living : news.living) {
    notes.living.push_back({living.backend, age(living.at, now)});
  }
  return notes;
}

CrashNews toNews(const CrashNotes& notes, TimePoint now) {
  CrashNews news;
  for (const CrashEvidenceRecord& crash : notes.crashes) {
    news.crashes.push_back({{crash.request_high, crash.request_low},
                            crash.backend,
                            instant(crash.sent_age_milliseconds, now),
                            instant(crash.ended_age_milliseconds, now)});
  }
  for (const ClearedRequestRecord& cleared : notes.cleared) {
    news.cleared.push_back(
        {{cleared.request_high, cleared.request_low}, instant(cleared.age_milliseconds, now)});
  }
  for (const LivingBackendRecord& living : notes.living) {
    news.living.push_back({living.backend, instant(living.age_milliseconds, now)});
  }
  return news;
}

CrashExchange::CrashExchange(std::uint64_t random_seed, TimePoint now)
    : random_(random_seed), joined_at_(now) {}

bool CrashExchange::onDigest(std::uint64_t digest, TimePoint now) {
  if (digest == suspects_.digest() || suspects_.digest() == 0) return false;
  if (now - told_all_at_ < kLeastTellAllPause) return false;
  told_all_at_ = now;
  return true;
}

std::vector<std::string> CrashExchange::onTick(const std::vector<std::string>& members, TimePoint now) {
  suspects_.forgetOld(now);
  std::vector<std::string> told;
  const bool asks = now - joined_at_ < kAskAfterJoin;
  if (members.empty() || (suspects_.digest() == 0 && !asks)) return told;
  const std::size_t first = random_.uniform(0, members.size() - 1);
  for (std::size_t index = 0; index < std::min(kDigestReceivers, members.size()); ++index) {
    told.push_back(members[(first + index) % members.size()]);
  }
  return told;
}

}  // namespace crankspur::gateway
