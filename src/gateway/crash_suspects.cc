#include "gateway/crash_suspects.h"

#include <algorithm>
#include <functional>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Evidence counts for this long. Where a caller sends a request that ends engines again and again, this and
/// the quarantine bound the ends at three at once and some two an hour from then on.
constexpr Duration kEvidenceLifetime = std::chrono::hours(1);
/// Evidence that is told is taken only while it is younger than the lifetime by this much, so that gateways
/// whose clocks differ do not tell each other again what some have forgotten.
constexpr Duration kLifetimeMargin = std::chrono::seconds(10);
/// How long a quarantined request is not run, from the last end on; four times as long after each further
/// end, so that a caller whose request was mended, or who had bad luck three times, is served again.
constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
constexpr int kQuarantineGrowth = 4;
constexpr Duration kLongestQuarantine = std::chrono::minutes(30);
/// Refutations are kept this long against evidence that arrives late.
constexpr Duration kRefutationLifetime = std::chrono::minutes(1);
/// A run that began up to this much before the end of another one counts as begun after it: the times of
/// other gateways are off by the way of their datagrams.
constexpr Duration kClockTolerance = std::chrono::milliseconds(30);
/// Bytes that a back end sent before its end are read within this time after it is noticed.
constexpr Duration kReadingTime = std::chrono::milliseconds(300);
/// No back end is back sooner after its end: it has to load its weights. What answers sooner did not end.
constexpr Duration kLeastRestartTime = std::chrono::milliseconds(500);
/// Ends kept for one request; further ones say nothing new.
constexpr std::size_t kMostEnds = 16;
/// Requests kept, some 150 bytes each. An end leaves as many as the engine ran, some dozens, and most of
/// these are cleared within seconds.
constexpr std::size_t kMostSuspects = 8192;
/// What everything() tells at most, so that it fits into a datagram: some 40 bytes each.
constexpr std::size_t kMostTold = 600;

/// @return how long a request is not run after so many ends.
Duration quarantineAfter(std::uint32_t ends) {
  Duration quarantine = kFirstQuarantine;
  for (std::uint32_t count = CrashSuspects::kEndsUntilQuarantined; count < ends; ++count) {
    quarantine = std::min(quarantine * kQuarantineGrowth, kLongestQuarantine);
  }
  return quarantine;
}

}  // namespace

std::string_view nameOf(Suspicion suspicion) {
  switch (suspicion) {
    case Suspicion::none:
      return "none";
    case Suspicion::isolated:
      return "isolated";
    case Suspicion::quarantined:
      return "quarantined";
  }
  return "none";
}

std::uint64_t CrashSuspects::keyOf(const RequestFingerprint& request, std::uint64_t backend) {
  return mixBits(combineHashes(combineHashes(request.high, request.low), backend));
}

bool CrashSuspects::onCrash(const CrashEvidence& evidence, TimePoint now) {
  if (!add(evidence, now)) return false;
  news_.crashes.push_back(evidence);
  return true;
}

bool CrashSuspects::onWholeAnswer(const RequestFingerprint& request, TimePoint now) {
  const ClearedRequest cleared{request, now};
  if (!suspects_.contains(request) || !clear(cleared)) return false;
  news_.cleared.push_back(cleared);
  return true;
}

/// Bytes on a connection of before the end, or an answer sooner than any back end can be back.
bool CrashSuspects::onHeard(std::uint64_t backend, TimePoint sent_at, TimePoint now) {
  const auto found = ended_at_.find(backend);
  if (found == ended_at_.end()) return false;
  const TimePoint ended_at = found->second;
  const bool same_connection = sent_at < ended_at && now > ended_at + kReadingTime;
  const bool too_soon = sent_at >= ended_at && now < ended_at + kLeastRestartTime;
  if (!same_connection && !too_soon) return false;
  const LivingBackend living{backend, now};
  withdraw(living);
  news_.living.push_back(living);
  return true;
}

bool CrashSuspects::onTold(const CrashNews& news, TimePoint now) {
  bool changed = false;
  for (const ClearedRequest& cleared : news.cleared) changed |= clear(cleared);
  for (const LivingBackend& living : news.living) changed |= withdraw(living);
  for (const CrashEvidence& evidence : news.crashes) changed |= add(evidence, now);
  return changed;
}

bool CrashSuspects::isRefuted(const CrashEvidence& evidence) const {
  const auto cleared = cleared_.find(evidence.request);
  if (cleared != cleared_.end() && evidence.ended_at <= cleared->second) return true;
  const auto living = living_.find(evidence.backend);
  return living != living_.end() && evidence.ended_at <= living->second;
}

bool CrashSuspects::add(const CrashEvidence& evidence, TimePoint now) {
  if (now - evidence.ended_at > kEvidenceLifetime - kLifetimeMargin || isRefuted(evidence)) return false;
  if (!suspects_.contains(evidence.request)) makeRoom();
  std::vector<End>& ends = suspects_[evidence.request].ends;
  std::uint64_t ends_of_backend = 0;
  for (const End& end : ends) {
    if (end.backend != evidence.backend) continue;
    // Of one start there is one end. A run that began later than a back end can be back is of its next start,
    // even where its birth is not known yet.
    const bool is_later = evidence.sent_at >= end.ended_at + kLeastRestartTime;
    const bool is_earlier = end.sent_at >= evidence.ended_at + kLeastRestartTime;
    if (!is_later && !is_earlier) return false;
    ++ends_of_backend;
  }
  if (ends.size() >= kMostEnds) return false;
  const auto later = std::find_if(ends.begin(), ends.end(),
                                  [&](const End& end) { return end.ended_at > evidence.ended_at; });
  const std::uint64_t key = keyOf(evidence.request, evidence.backend + ends_of_backend);
  ends.insert(later, End{evidence.backend, evidence.sent_at, evidence.ended_at, key});
  digest_ += key;
  TimePoint& ended_at = ended_at_[evidence.backend];
  ended_at = std::max(ended_at, evidence.ended_at);
  return true;
}

void CrashSuspects::removeEnd(Suspect& suspect, std::size_t index) {
  digest_ -= suspect.ends[index].key;
  suspect.ends.erase(suspect.ends.begin() + static_cast<std::ptrdiff_t>(index));
}

bool CrashSuspects::clear(const ClearedRequest& cleared) {
  TimePoint& known = cleared_[cleared.request];
  const bool news = cleared.at > known;
  known = std::max(known, cleared.at);
  const auto found = suspects_.find(cleared.request);
  if (found == suspects_.end()) return news;
  Suspect& suspect = found->second;
  while (!suspect.ends.empty() && suspect.ends.front().ended_at <= cleared.at) {
    removeEnd(suspect, 0);
  }
  if (suspect.ends.empty()) suspects_.erase(found);
  return news;
}

bool CrashSuspects::withdraw(const LivingBackend& living) {
  TimePoint& known = living_[living.backend];
  const bool news = living.at > known;
  known = std::max(known, living.at);
  ended_at_.erase(living.backend);
  absl::erase_if(suspects_, [&](auto& item) {
    Suspect& suspect = item.second;
    for (std::size_t index = suspect.ends.size(); index-- > 0;) {
      const End& end = suspect.ends[index];
      if (end.backend == living.backend && end.ended_at <= living.at) removeEnd(suspect, index);
    }
    return suspect.ends.empty();
  });
  return news;
}

CrashVerdict CrashSuspects::judge(const RequestFingerprint& request, TimePoint now) const {
  CrashVerdict verdict;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return verdict;
  const std::vector<End>& ends = found->second.ends;
  TimePoint last_end = TimePoint::min();
  for (const End& end : ends) {
    if (verdict.ends > 0 && end.sent_at + kClockTolerance < last_end) continue;
    ++verdict.ends;
    last_end = end.ended_at;
  }
  if (verdict.ends < kEndsUntilIsolated) return verdict;
  verdict.suspicion = Suspicion::isolated;
  if (verdict.ends < kEndsUntilQuarantined && ends.size() < kEndsAtOnce) return verdict;
  verdict.quarantined_until = ends.back().ended_at + quarantineAfter(verdict.ends);
  if (now < verdict.quarantined_until) verdict.suspicion = Suspicion::quarantined;
  return verdict;
}

/// Those with the most ends first.
CrashNews CrashSuspects::everything() const {
  std::vector<std::pair<std::size_t, RequestFingerprint>> order;
  order.reserve(suspects_.size());
  for (const auto& [request, suspect] : suspects_) order.emplace_back(suspect.ends.size(), request);
  std::sort(order.begin(), order.end(), std::greater<>());
  CrashNews news;
  for (const auto& [count, request] : order) {
    if (news.crashes.size() + count > kMostTold) break;
    for (const End& end : suspects_.at(request).ends) {
      news.crashes.push_back({request, end.backend, end.sent_at, end.ended_at});
    }
  }
  for (const auto& [request, at] : cleared_) {
    if (news.cleared.size() < kMostTold) news.cleared.push_back({request, at});
  }
  for (const auto& [backend, at] : living_) {
    if (news.living.size() < kMostTold) news.living.push_back({backend, at});
  }
  return news;
}

CrashNews CrashSuspects::quarantined(TimePoint now) const {
  CrashNews news = everything();
  std::erase_if(news.crashes, [&](const CrashEvidence& evidence) {
    return judge(evidence.request, now).suspicion != Suspicion::quarantined;
  });
  news.cleared.clear();
  news.living.clear();
  return news;
}

bool CrashSuspects::quarantines(const CrashNews& news, TimePoint now) const {
  return std::any_of(news.crashes.begin(), news.crashes.end(), [&](const CrashEvidence& evidence) {
    return judge(evidence.request, now).suspicion == Suspicion::quarantined;
  });
}

void CrashSuspects::forgetOld(TimePoint now) {
  absl::erase_if(suspects_, [&](auto& item) {
    Suspect& suspect = item.second;
    while (!suspect.ends.empty() && now - suspect.ends.front().ended_at > kEvidenceLifetime) {
      removeEnd(suspect, 0);
    }
    return suspect.ends.empty();
  });
  const auto is_old = [now](const auto& item) { return now - item.second > kRefutationLifetime; };
  absl::erase_if(cleared_, is_old);
  absl::erase_if(living_, is_old);
  absl::erase_if(ended_at_, [now](const auto& item) { return now - item.second > kEvidenceLifetime; });
}

/// The one with the fewest ends goes, of these the one whose last end is the longest ago.
void CrashSuspects::makeRoom() {
  if (suspects_.size() < kMostSuspects) return;
  auto least = suspects_.begin();
  for (auto place = suspects_.begin(); place != suspects_.end(); ++place) {
    const std::vector<End>& ends = place->second.ends;
    const std::vector<End>& least_ends = least->second.ends;
    const bool fewer = ends.size() < least_ends.size();
    const bool older = ends.size() == least_ends.size() && ends.back().ended_at < least_ends.back().ended_at;
    if (fewer || older) least = place;
  }
  for (std::size_t index = least->second.ends.size(); index-- > 0;) removeEnd(least->second, index);
  suspects_.erase(least);
}

}  // namespace crankspur::gateway
