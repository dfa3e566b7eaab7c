#include "gateway/brittle_backends.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// A back end states it in each response. It counts as brittle for this long after the last one, since it may
/// get no requests meanwhile.
constexpr Duration kStatementLifetime = std::chrono::seconds(10);
/// After a rejection a back end has at most this part of the requests that it had.
constexpr double kLimitAfterRejection = 0.75;
/// The limit of a gateway rises by one in this time at the earliest, and so slowly that all gateways together
/// cause at most half of the tolerated rejections by it.
constexpr Duration kMinRecovery = std::chrono::milliseconds(500);
constexpr double kRejectionsPerTolerated = 0.5;
/// Limit of the doublings of the time until a back end that rejected the only request of this gateway gets
/// one again.
constexpr std::uint32_t kMaxDoublings = 3;
/// A back end that falls over because of its rejections does so within about a second of the first of them.
constexpr Duration kCrashAfterRejection = std::chrono::seconds(2);
/// A back end that has just started gets at first this part of its share.
constexpr double kShareAfterStart = 0.25;

/// @return the rank of a gateway among those that have requests for the back end; all of them compute the
/// same ones.
std::uint64_t rankOf(std::string_view gateway, const Backend& backend) {
  return combineHashes(hashBytes(backend.view.name), hashBytes(gateway));
}

}  // namespace

bool BrittleBackends::isCurrent(const Statement& statement, TimePoint now) {
  return now - statement.stated_at <= kStatementLifetime;
}

void BrittleBackends::onSnapshot(const GatewaySnapshot& snapshot, TimePoint now) {
  shares_.clear();
  for (const Backend& backend : snapshot.backends) {
    const auto known = rooms_.find(backend.view.slot);
    if (known == rooms_.end() || known->second.incarnation == backend.view.incarnation) continue;
    known->second = Room();
    known->second.incarnation = backend.view.incarnation;
    if (!isBrittle(backend.view.pool, now)) continue;
    known->second.limit = std::max(shareOf(backend, snapshot) * kShareAfterStart, 1.0);
    known->second.limited_at = now;
  }
}

bool BrittleBackends::onResponse(const std::string& pool, std::uint64_t incarnation,
                                 const BrittleStatement& statement, TimePoint now) {
  if (!statement.brittle && pools_.empty()) return false;
  Statements& statements = pools_[pool];
  std::erase_if(statements, [now](const auto& item) { return !isCurrent(item.second, now); });
  const auto known = statements.find(incarnation);
  const bool was_brittle = known != statements.end();
  bool changed = false;
  if (statement.brittle) {
    changed = !was_brittle || known->second.tolerated_rejections != statement.tolerated_rejections;
    statements[incarnation] = {statement.tolerated_rejections, now};
  } else if (was_brittle && statement.success && statement.sent_at > known->second.stated_at) {
    changed = true;
    statements.erase(known);
  }
  if (statements.empty()) pools_.erase(pool);
  return changed;
}

BrittleBackends::Room& BrittleBackends::roomOf(EngineSlot slot, std::uint64_t incarnation, TimePoint now) {
  Room& room = rooms_[slot];
  if (room.incarnation == incarnation) return room;
  room = Room();
  room.incarnation = incarnation;
  room.limited_at = now;
  return room;
}

void BrittleBackends::onRejected(EngineSlot slot, std::uint64_t incarnation, std::uint32_t in_flight,
                                 TimePoint now) {
  if (!any()) return;
  Room& room = roomOf(slot, incarnation, now);
  const double others = in_flight > 0 ? in_flight - 1 : 0;
  room.rejections = others > 0 ? 0 : room.rejections + 1;
  // Below 1 the limit has to recover before the next request.
  const double backoff = 1 - double(1U << std::min(room.rejections, kMaxDoublings));
  room.limit = others > 0 ? std::max(others * kLimitAfterRejection, 1.0) : backoff;
  room.limited_at = now;
  room.rejected_at = now;
}

bool BrittleBackends::explainsCrash(const std::string& pool, EngineSlot slot, std::uint64_t incarnation,
                                    TimePoint now) const {
  const auto known = rooms_.find(slot);
  if (known == rooms_.end() || known->second.incarnation != incarnation) return false;
  const Room& room = known->second;
  return isBrittle(pool, now) && room.rejected_at && now - *room.rejected_at <= kCrashAfterRejection;
}

void BrittleBackends::onAccepted(EngineSlot slot, std::uint64_t incarnation) {
  const auto known = rooms_.find(slot);
  if (known != rooms_.end() && known->second.incarnation == incarnation) known->second.rejections = 0;
}

bool BrittleBackends::hasRoom(const Backend& backend, std::uint32_t in_flight,
                              const GatewaySnapshot& snapshot, TimePoint now) {
  if (!isBrittle(backend.view.pool, now)) return true;
  if (in_flight >= shareOf(backend, snapshot)) return false;
  const Room& room = roomOf(backend.view.slot, backend.view.incarnation, now);
  if (!room.limit) return true;
  const double recovered = toSeconds(now - room.limited_at) / toSeconds(recoveryOf(backend));
  return in_flight + 1 <= *room.limit + recovered;
}

Duration BrittleBackends::recoveryOf(const Backend& backend) const {
  std::uint32_t tolerated = std::numeric_limits<std::uint32_t>::max();
  const auto pool = pools_.find(backend.view.pool);
  if (pool != pools_.end()) {
    for (const auto& [incarnation, statement] : pool->second)
      tolerated = std::min(tolerated, statement.tolerated_rejections);
  }
  const double users = std::min(gateways_.shareDivisor(), std::max(backend.slots, 1U));
  const double seconds = users / (std::max(tolerated, 1U) * kRejectionsPerTolerated);
  return std::max(kMinRecovery, Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

std::uint32_t BrittleBackends::shareOf(const Backend& backend, const GatewaySnapshot& snapshot) {
  auto known = shares_.find(backend.view.slot);
  if (known == shares_.end()) {
    divide(backend.view.pool, snapshot);
    known = shares_.find(backend.view.slot);
  }
  return known == shares_.end() ? 1 : known->second;
}

/// Each gateway has an equal number of the places of a back end. Those that remain go to the gateways of the
/// lowest ranks there. A gateway that has no place at any back end of the pool may have one request at one.
void BrittleBackends::divide(const std::string& pool, const GatewaySnapshot& snapshot) {
  const double divisor = gateways_.shareDivisor();
  const RecentGateways::Peers& peers = gateways_.peers();
  const Backend* lowest_rank = nullptr;
  bool has_share = false;
  for (const Backend& backend : snapshot.backends) {
    if (backend.view.pool != pool) continue;
    const double exact = backend.slots / divisor;
    const double whole = std::floor(exact);
    const auto remaining = std::lround((exact - whole) * static_cast<double>(peers.size() + 1));
    const std::uint64_t own_rank = rankOf(snapshot.own_name, backend);
    const auto earlier = std::count_if(
        peers.begin(), peers.end(), [&](const auto& peer) { return rankOf(peer.first, backend) < own_rank; });
    const std::uint32_t share = static_cast<std::uint32_t>(whole) + (earlier < remaining ? 1 : 0);
    const bool is_limited = backend.slots > 0;
    shares_[backend.view.slot] = is_limited ? share : std::numeric_limits<std::uint32_t>::max();
    has_share = has_share || shares_[backend.view.slot] > 0;
    if (lowest_rank == nullptr || own_rank < rankOf(snapshot.own_name, *lowest_rank)) lowest_rank = &backend;
  }
  if (!has_share && lowest_rank != nullptr) shares_[lowest_rank->view.slot] = 1;
}

bool BrittleBackends::isBrittle(std::string_view pool, TimePoint now) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [now](const auto& item) { return isCurrent(item.second, now); });
}

}  // namespace crankspur::gateway
