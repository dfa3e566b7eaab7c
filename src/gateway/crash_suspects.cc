#include "gateway/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Evidence is accepted only while it is younger than the lifetime by this much, so that gateways whose
/// clocks differ do not send each other expired evidence again.
constexpr Duration kLifetimeMargin = std::chrono::seconds(10);
/// How long refutations are kept, to reject evidence that arrives late.
constexpr Duration kRefutationLifetime = std::chrono::minutes(1);
/// Crashes kept for one request; further ones add no information.
constexpr std::size_t kMaxCrashesOfRequest = 16;
/// Signs of life whose times differ by at most this much are the same.
constexpr Duration kSignTolerance = std::chrono::milliseconds(50);
/// Signs of life kept for one back end.
constexpr std::size_t kMaxSignsOfBackend = 8;
/// A crash closes the connections of a back end within this time, as seen by different gateways.
constexpr Duration kCloseTolerance = std::chrono::milliseconds(50);
/// Unobserved ends are kept for this long. The proof of the crash may come with the next connection.
constexpr Duration kUnobservedLifetime = std::chrono::seconds(3);
/// Unobserved ends kept, about 200 bytes each. The oldest go first.
constexpr std::size_t kMaxUnobservedEnds = 2048;
/// Records of each kind in an update, about 40 bytes each, so that it fits into a datagram.
constexpr std::size_t kMaxRecordsOfUpdate = 600;

}  // namespace

Duration CrashSuspects::quarantineAfter(const Suspect& suspect, std::uint32_t crashes) const {
  Duration quarantine = policy_.first_quarantine;
  const std::uint32_t first =
      suspect.part_position == 0 ? policy_.crashes_until_quarantined : policy_.crashes_until_part_quarantined;
  for (std::uint32_t count = first; count < crashes; ++count) {
    quarantine = std::min(quarantine * policy_.quarantine_growth, policy_.max_quarantine);
  }
  return quarantine;
}

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
  update_.crashes.push_back(evidence);
  return true;
}

/// A back end drops a request whose connection the gateway closed, so that one that crashes later does not
/// crash because of it.
bool CrashSuspects::wasThere(const UnobservedEnd& end, TimePoint crashed_at) {
  const Duration tolerance = end.by_backend ? kCloseTolerance : Duration(0);
  return end.sent_at <= crashed_at && crashed_at <= end.ended_at + tolerance;
}

void CrashSuspects::onUnobservedEnd(const UnobservedEnd& end, TimePoint now) {
  if (unobserved_.size() >= kMaxUnobservedEnds) unobserved_.pop_front();
  unobserved_.push_back(end);
  const auto crashed_at = crashed_at_.find(end.backend);
  if (crashed_at != crashed_at_.end()) confirmUnobservedEnds(end.backend, crashed_at->second, now);
}

std::vector<UnobservedEnd> CrashSuspects::possibleCrashes(std::uint64_t backend, TimePoint now) const {
  std::vector<UnobservedEnd> ends;
  if (crashed_at_.contains(backend)) return ends;
  for (const UnobservedEnd& end : unobserved_) {
    const bool is_recent = now - end.ended_at <= kUnobservedLifetime;
    if (end.backend == backend && end.by_backend && is_recent) ends.push_back(end);
  }
  return ends;
}

/// The back end crashed.
void CrashSuspects::confirmUnobservedEnds(std::uint64_t backend, TimePoint crashed_at, TimePoint now) {
  std::vector<UnobservedEnd> confirmed;
  std::erase_if(unobserved_, [&](const UnobservedEnd& end) {
    const bool confirms = end.backend == backend && wasThere(end, crashed_at);
    if (confirms) confirmed.push_back(end);
    return confirms || now - end.ended_at > kUnobservedLifetime;
  });
  for (UnobservedEnd& end : confirmed) {
    const CrashEvidence evidence{end.request, backend, end.sent_at, crashed_at, false, end.part_position};
    if (onCrash(evidence, now)) confirmed_.push_back(std::move(end));
  }
}

bool CrashSuspects::onCompleteResponse(const RequestFingerprint& request, TimePoint now) {
  const ClearedRequest cleared{request, now};
  if (!policy_.clear_on_response || !suspects_.contains(request) || !clear(cleared)) return false;
  update_.cleared.push_back(cleared);
  return true;
}

bool CrashSuspects::onPartAnswered(const RequestFingerprint& part, TimePoint now) {
  answered_parts_.add(part);
  return onCompleteResponse(part, now);
}

/// A sign of life is either bytes on a connection from before the crash, or a response sooner than any back
/// end can restart.
bool CrashSuspects::onSignOfLife(std::uint64_t backend, TimePoint sent_at, TimePoint now) {
  const auto found = crashed_at_.find(backend);
  if (found == crashed_at_.end()) return false;
  const TimePoint crashed_at = found->second;
  const bool same_connection = sent_at < crashed_at && !mayBeDelayed(backend, crashed_at, now);
  const bool too_soon = sent_at >= crashed_at && now < crashed_at + policy_.min_restart_time;
  if (!same_connection && !too_soon) return false;
  const SignOfLife sign{backend, crashed_at};
  withdrawCrashes(sign);
  update_.signs_of_life.push_back(sign);
  return true;
}

/// @return whether bytes received on a connection from before the crash may have been sent before it. They
/// are read for a short time after the crash, or, if a partition held them back, after its end.
bool CrashSuspects::mayBeDelayed(std::uint64_t backend, TimePoint crashed_at, TimePoint now) {
  LateBytes& late = late_bytes_[backend];
  if (late.crashed_at != crashed_at) late = {crashed_at, now};
  return now <= std::max(crashed_at, late.first_at) + policy_.read_delay;
}

bool CrashSuspects::merge(const CrashUpdate& update, TimePoint now) {
  bool changed = false;
  for (const ClearedRequest& cleared : update.cleared) changed |= clear(cleared);
  for (const SignOfLife& sign : update.signs_of_life) changed |= withdrawCrashes(sign);
  for (const CrashEvidence& evidence : update.crashes) changed |= add(evidence, now);
  return changed;
}

bool CrashSuspects::isRefuted(const CrashEvidence& evidence) const {
  const auto cleared = cleared_.find(evidence.request);
  if (cleared != cleared_.end() && evidence.crashed_at <= cleared->second) return true;
  return isVoid(evidence);
}

/// A sign of life voids only evidence of about the time of the crash that it refutes. Evidence that was
/// recorded much earlier is of a real crash, which a process that was suspended detected late; evidence that
/// was recorded later is of a crash after the sign of life.
bool CrashSuspects::isVoid(const CrashEvidence& evidence) const {
  const auto signs = signs_of_life_.find(evidence.backend);
  if (signs == signs_of_life_.end()) return false;
  const auto after = signs->second.lower_bound(evidence.crashed_at - kSignTolerance);
  return after != signs->second.end() && *after < evidence.crashed_at + policy_.min_restart_time;
}

bool CrashSuspects::add(const CrashEvidence& evidence, TimePoint now) {
  if (now - evidence.crashed_at > policy_.evidence_lifetime - kLifetimeMargin || isRefuted(evidence))
    return false;
  if (!suspects_.contains(evidence.request)) evictIfFull();
  Suspect& suspect = suspects_[evidence.request];
  suspect.part_position = std::max(suspect.part_position, evidence.part_position);
  std::vector<Crash>& crashes = suspect.crashes;
  std::uint64_t crashes_of_backend = 0;
  for (const Crash& crash : crashes) {
    if (crash.backend != evidence.backend) continue;
    // An incarnation crashes only once. A run that began much later belongs to the next incarnation, even if
    // that one is not known yet.
    const bool is_later = evidence.sent_at >= crash.crashed_at + policy_.min_time_between_crashes;
    const bool is_earlier = crash.sent_at >= evidence.crashed_at + policy_.min_time_between_crashes;
    if (!is_later && !is_earlier) return false;
    ++crashes_of_backend;
  }
  if (crashes.size() >= kMaxCrashesOfRequest) return false;
  const auto later = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const Crash& crash) { return crash.crashed_at > evidence.crashed_at; });
  const std::uint64_t key = keyOf(evidence.request, evidence.backend + crashes_of_backend);
  crashes.insert(later,
                 Crash{evidence.backend, evidence.sent_at, evidence.crashed_at, key, evidence.observed_here});
  digest_ += key;
  culprits_known_ = false;
  TimePoint& crashed_at = crashed_at_[evidence.backend];
  crashed_at = std::max(crashed_at, evidence.crashed_at);
  confirmUnobservedEnds(evidence.backend, evidence.crashed_at, now);
  return true;
}

void CrashSuspects::removeCrashAt(Suspect& suspect, std::size_t index) {
  digest_ -= suspect.crashes[index].key;
  culprits_known_ = false;
  suspect.crashes.erase(suspect.crashes.begin() + static_cast<std::ptrdiff_t>(index));
}

bool CrashSuspects::clear(const ClearedRequest& cleared) {
  answered_parts_.add(cleared.request);
  TimePoint& known = cleared_[cleared.request];
  const bool is_new = cleared.at > known;
  known = std::max(known, cleared.at);
  const auto found = suspects_.find(cleared.request);
  if (found == suspects_.end()) return is_new;
  Suspect& suspect = found->second;
  while (!suspect.crashes.empty() && suspect.crashes.front().crashed_at <= cleared.at) {
    removeCrashAt(suspect, 0);
  }
  if (suspect.crashes.empty()) suspects_.erase(found);
  return is_new;
}

bool CrashSuspects::withdrawCrashes(const SignOfLife& sign) {
  std::set<TimePoint>& signs = signs_of_life_[sign.backend];
  // The time of a sign that is received again differs by the delay of a datagram.
  const auto near = signs.lower_bound(sign.at - kSignTolerance);
  if (near != signs.end() && *near <= sign.at + kSignTolerance) return false;
  signs.insert(sign.at);
  if (signs.size() > kMaxSignsOfBackend) signs.erase(signs.begin());
  crashed_at_.erase(sign.backend);
  absl::erase_if(suspects_, [&](auto& item) {
    Suspect& suspect = item.second;
    for (std::size_t index = suspect.crashes.size(); index-- > 0;) {
      const Crash& crash = suspect.crashes[index];
      const CrashEvidence evidence{item.first, crash.backend, crash.sent_at, crash.crashed_at};
      if (crash.backend == sign.backend && isVoid(evidence)) removeCrashAt(suspect, index);
    }
    return suspect.crashes.empty();
  });
  return true;
}

/// A part is innocent of a crash that another part, or a whole request, explains. A request is innocent of
/// one that a part explains; two poison requests may each crash back ends while the other one is there.
bool CrashSuspects::ExplainedCrashes::contains(std::uint64_t backend, const Suspect& suspect) const {
  if (by_part.contains(backend)) return true;
  return suspect.part_position > 0 && by_request.contains(backend);
}

CrashSuspects::CrashCount CrashSuspects::count(const Suspect& suspect, const ExplainedCrashes& explained,
                                               TimePoint until) const {
  CrashCount result;
  TimePoint last_in_sequence = TimePoint::min();
  for (const Crash& crash : suspect.crashes) {
    if (crash.crashed_at > until || explained.contains(crash.backend, suspect)) continue;
    ++result.in_all;
    result.last = crash.crashed_at;
    if (result.in_sequence > 0 && crash.sent_at + policy_.sequence_tolerance < last_in_sequence) continue;
    ++result.in_sequence;
    last_in_sequence = crash.crashed_at;
  }
  return result;
}

bool CrashSuspects::isEnough(const RequestFingerprint& id, const Suspect& suspect,
                             const CrashCount& crashes) const {
  if (suspect.part_position == 0) {
    if (crashes.in_sequence >= policy_.crashes_until_quarantined) return true;
    return crashes.in_sequence >= policy_.crashes_until_isolated &&
           crashes.in_all >= policy_.concurrent_crashes_until_quarantined;
  }
  const std::uint32_t factor = answered_parts_.contains(id) ? policy_.answered_part_factor : 1;
  const std::uint32_t in_sequence = policy_.crashes_until_part_quarantined * factor;
  const std::uint32_t in_all = policy_.concurrent_crashes_until_part_quarantined * factor;
  return crashes.in_sequence >= in_sequence ||
         (crashes.in_sequence + 1 >= in_sequence && crashes.in_all >= in_all);
}

/// Takes the suspect that explains the most crashes; among equals a whole request, and then the part that
/// comes last, since parts at the beginning of a prompt are shared by more requests. Repeats with what is
/// left.
void CrashSuspects::findCulprits() const {
  if (std::exchange(culprits_known_, true)) return;
  culprits_.clear();
  explained_ = {};
  constexpr std::uint32_t kWholeRequest = UINT32_MAX;
  while (true) {
    const RequestFingerprint* best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t, RequestFingerprint> best_rank;
    for (const auto& [request, suspect] : suspects_) {
      if (suspect.crashes.size() < policy_.crashes_until_quarantined || culprits_.contains(request)) continue;
      const CrashCount crashes = count(suspect, explained_, TimePoint::max());
      if (!isEnough(request, suspect, crashes)) continue;
      const std::uint32_t position = suspect.part_position == 0 ? kWholeRequest : suspect.part_position;
      const std::tuple rank(crashes.in_all, position, request);
      if (best != nullptr && rank <= best_rank) continue;
      best = &request;
      best_rank = rank;
    }
    if (best == nullptr) return;
    const Suspect& culprit = suspects_.at(*best);
    culprits_.insert(*best);
    for (const Crash& crash : culprit.crashes) {
      (culprit.part_position > 0 ? explained_.by_part : explained_.by_request).insert(crash.backend);
    }
  }
}

CrashVerdict CrashSuspects::judge(const RequestFingerprint& request, TimePoint now) const {
  CrashVerdict verdict;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return verdict;
  findCulprits();
  const Suspect& suspect = found->second;
  const bool is_culprit = culprits_.contains(request);
  static const ExplainedCrashes kNone;
  const CrashCount crashes = count(suspect, is_culprit ? kNone : explained_, TimePoint::max());
  verdict.crashes = crashes.in_sequence;
  verdict.crashes_in_all = crashes.in_all;
  // Many requests may have a part, which would all have to wait for each other.
  const bool is_isolated =
      suspect.part_position == 0 && crashes.in_sequence >= policy_.crashes_until_isolated;
  if (is_isolated || is_culprit) verdict.suspicion = Suspicion::isolated;
  if (!is_culprit) return verdict;
  if (!isSettled(request, suspect, now)) {
    verdict.awaits_evidence = true;
    return verdict;
  }
  verdict.quarantined_until = crashes.last + quarantineAfter(suspect, crashes.in_sequence);
  if (now < verdict.quarantined_until) verdict.suspicion = Suspicion::quarantined;
  return verdict;
}

/// A part is accused by all requests with it, a poison request only by its own attempts, of which other
/// gateways may know more. So the latest crashes count against a part only when their evidence may have
/// arrived.
bool CrashSuspects::isSettled(const RequestFingerprint& id, const Suspect& suspect, TimePoint now) const {
  if (suspect.part_position == 0) return true;
  return isEnough(id, suspect, count(suspect, {}, now - policy_.part_settle_time));
}

/// Requests with the most crashes come first.
CrashUpdate CrashSuspects::allEvidence() const {
  std::vector<std::pair<std::size_t, RequestFingerprint>> order;
  order.reserve(suspects_.size());
  for (const auto& [request, suspect] : suspects_) order.emplace_back(suspect.crashes.size(), request);
  std::sort(order.begin(), order.end(), std::greater<>());
  CrashUpdate update;
  for (const auto& [count, request] : order) {
    if (update.crashes.size() + count > kMaxRecordsOfUpdate) break;
    const Suspect& suspect = suspects_.at(request);
    for (const Crash& crash : suspect.crashes) {
      update.crashes.push_back(
          {request, crash.backend, crash.sent_at, crash.crashed_at, false, suspect.part_position});
    }
  }
  for (const auto& [request, at] : cleared_) {
    if (update.cleared.size() < kMaxRecordsOfUpdate) update.cleared.push_back({request, at});
  }
  for (const auto& [backend, signs] : signs_of_life_) {
    for (const TimePoint at : signs) {
      if (update.signs_of_life.size() < kMaxRecordsOfUpdate) update.signs_of_life.push_back({backend, at});
    }
  }
  return update;
}

CrashUpdate CrashSuspects::quarantined(TimePoint now) const {
  CrashUpdate update = allEvidence();
  std::erase_if(update.crashes, [&](const CrashEvidence& evidence) {
    return judge(evidence.request, now).suspicion != Suspicion::quarantined;
  });
  update.cleared.clear();
  update.signs_of_life.clear();
  return update;
}

bool CrashSuspects::quarantines(const CrashUpdate& update, TimePoint now) const {
  return std::any_of(update.crashes.begin(), update.crashes.end(), [&](const CrashEvidence& evidence) {
    return judge(evidence.request, now).suspicion == Suspicion::quarantined;
  });
}

std::optional<std::size_t> CrashSuspects::recorderRank(const CrashUpdate& update, TimePoint now) const {
  std::optional<std::size_t> lowest;
  for (const CrashEvidence& evidence : update.crashes) {
    if (judge(evidence.request, now).suspicion != Suspicion::quarantined) continue;
    const std::vector<Crash>& crashes = suspects_.at(evidence.request).crashes;
    const auto own =
        std::find_if(crashes.begin(), crashes.end(), [](const Crash& crash) { return crash.observed_here; });
    if (own == crashes.end()) continue;
    const auto rank = static_cast<std::size_t>(own - crashes.begin());
    lowest = std::min(lowest.value_or(rank), rank);
  }
  return lowest;
}

void CrashSuspects::removeExpired(TimePoint now) {
  absl::erase_if(suspects_, [&](auto& item) {
    Suspect& suspect = item.second;
    while (!suspect.crashes.empty() && now - suspect.crashes.front().crashed_at > policy_.evidence_lifetime) {
      removeCrashAt(suspect, 0);
    }
    return suspect.crashes.empty();
  });
  const auto is_old = [now](const auto& item) { return now - item.second > kRefutationLifetime; };
  absl::erase_if(cleared_, is_old);
  absl::erase_if(signs_of_life_, [now](auto& item) {
    std::erase_if(item.second, [now](TimePoint at) { return now - at > kRefutationLifetime; });
    return item.second.empty();
  });
  absl::erase_if(crashed_at_,
                 [&](const auto& item) { return now - item.second > policy_.evidence_lifetime; });
  absl::erase_if(late_bytes_, [&](const auto& item) { return !crashed_at_.contains(item.first); });
}

/// Evicts the request with the fewest crashes; among equals, the one with the oldest last crash.
void CrashSuspects::evictIfFull() {
  if (suspects_.size() < policy_.max_suspects) return;
  auto evicted = suspects_.begin();
  for (auto candidate = suspects_.begin(); candidate != suspects_.end(); ++candidate) {
    const std::vector<Crash>& crashes = candidate->second.crashes;
    const std::vector<Crash>& evicted_crashes = evicted->second.crashes;
    const bool fewer = crashes.size() < evicted_crashes.size();
    const bool older = crashes.size() == evicted_crashes.size() &&
                       crashes.back().crashed_at < evicted_crashes.back().crashed_at;
    if (fewer || older) evicted = candidate;
  }
  for (std::size_t index = evicted->second.crashes.size(); index-- > 0;)
    removeCrashAt(evicted->second, index);
  suspects_.erase(evicted);
}

}  // namespace crankspur::gateway
