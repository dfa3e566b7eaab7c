#include "gateway_control/crash_exchange.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// Receivers of one digest. When all gateways send theirs, each receives four a second.
constexpr std::size_t kDigestReceivers = 2;
/// A gateway without evidence requests it for this long after it or another gateway has joined.
constexpr Duration kRequestAfterJoin = std::chrono::seconds(5);
/// All evidence is sent at most this often, since many gateways may request it at once.
constexpr Duration kMinFullUpdateInterval = std::chrono::milliseconds(20);

std::uint32_t age(TimePoint instant, TimePoint now) {
  const auto milliseconds = (now - instant) / std::chrono::milliseconds(1);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, UINT32_MAX));
}

TimePoint instant(std::uint32_t age_milliseconds, TimePoint now) {
  return now - std::chrono::milliseconds(age_milliseconds);
}

}  // namespace

CrashNotes toNotes(const CrashUpdate& update, TimePoint now) {
  CrashNotes notes;
  for (const CrashEvidence& crash : update.crashes) {
    notes.crashes.push_back({crash.request.high, crash.request.low, crash.backend, age(crash.sent_at, now),
                             age(crash.crashed_at, now), crash.part_position});
  }
  for (const ClearedRequest& cleared : update.cleared) {
    notes.cleared.push_back({cleared.request.high, cleared.request.low, age(cleared.at, now)});
  }
  for (const SignOfLife& sign : update.signs_of_life) {
    notes.living.push_back({sign.backend, age(sign.at, now)});
  }
  return notes;
}

CrashUpdate toUpdate(const CrashNotes& notes, TimePoint now) {
  CrashUpdate update;
  for (const CrashEvidenceRecord& crash : notes.crashes) {
    update.crashes.push_back({{crash.request_high, crash.request_low},
                              crash.backend,
                              instant(crash.sent_age_milliseconds, now),
                              instant(crash.ended_age_milliseconds, now),
                              false,
                              crash.part_position});
  }
  for (const ClearedRequestRecord& cleared : notes.cleared) {
    update.cleared.push_back(
        {{cleared.request_high, cleared.request_low}, instant(cleared.age_milliseconds, now)});
  }
  for (const LivingBackendRecord& living : notes.living) {
    update.signs_of_life.push_back({living.backend, instant(living.age_milliseconds, now)});
  }
  return update;
}

CrashExchange::CrashExchange(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy)
    : suspects_(policy), random_(random_seed), joined_at_(now) {}

void CrashExchange::onOwnUpdate(CrashUpdate update, TimePoint now) {
  for (CrashEvidence& crash : update.crashes) crash.observed_here = true;
  suspects_.merge(update, now);
}

bool CrashExchange::onDigest(std::uint64_t digest, TimePoint now) {
  if (digest == suspects_.digest() || suspects_.isEmpty()) return false;
  if (now - full_update_at_ < kMinFullUpdateInterval) return false;
  full_update_at_ = now;
  return true;
}

std::vector<std::string> CrashExchange::onTick(const std::vector<std::string>& members, TimePoint now) {
  suspects_.removeExpired(now);
  std::vector<std::string> receivers;
  const bool joined_recently = now - joined_at_ < kRequestAfterJoin;
  if (members.empty() || (suspects_.digest() == 0 && !joined_recently)) return receivers;
  const std::size_t first = random_.uniform(0, members.size() - 1);
  for (std::size_t index = 0; index < std::min(kDigestReceivers, members.size()); ++index) {
    receivers.push_back(members[(first + index) % members.size()]);
  }
  return receivers;
}

}  // namespace crankspur::gateway
