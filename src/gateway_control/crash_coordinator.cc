#include "gateway_control/crash_coordinator.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A loop that has not run for so long has stalled: the process was stopped, or the machine suspended.
constexpr Duration kStall = std::chrono::milliseconds(300);
/// After a stall datagrams that came meanwhile are read within this time.
constexpr Duration kReadBacklog = std::chrono::milliseconds(200);

}  // namespace

CrashCoordinator::CrashCoordinator(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy)
    : exchange_(random_seed, now, policy),
      record_(now),
      digest_at_(now),
      ran_at_(now),
      reads_old_until_(now) {}

/// To all gateways at once: clients come to any of them, also to one that stands by.
void CrashCoordinator::onOwnUpdate(const CrashUpdate& update, const std::vector<std::string>& members,
                                   TimePoint now) {
  const bool withdraws = !update.cleared.empty() || !update.alive.empty();
  const std::size_t recorded = withdraws ? exchange_.quarantined(now).crashes.size() : 0;
  exchange_.onOwnUpdate(update, now);
  const CrashNotes notes = toNotes(update, now);
  for (const std::string& member : members) actions_.emplace_back(SendCrashMessage{member, notes});
  // Gateways that start later must not refuse what has been cleared.
  const bool is_cleared = withdraws && exchange_.quarantined(now).crashes.size() < recorded;
  if (!is_cleared && !exchange_.quarantines(update, now)) return;
  record_.save();
  callStore(now);
}

/// After a stall it asks for what it dropped, as one that has just joined.
void CrashCoordinator::onRunning(TimePoint now) {
  if (now - ran_at_ > kStall) {
    reads_old_until_ = now + kReadBacklog;
    exchange_.onMemberJoined(now);
  }
  ran_at_ = now;
}

void CrashCoordinator::onNotes(const CrashNotes& notes, TimePoint now) {
  onRunning(now);
  if (now < reads_old_until_) return;
  take(toUpdate(notes, now), now);
}

void CrashCoordinator::take(CrashUpdate update, TimePoint now) {
  if (exchange_.onUpdate(update, now)) actions_.emplace_back(NotifyTraffic{std::move(update)});
}

/// One without evidence tells its digest to nobody of itself; by telling it to this one it asks.
void CrashCoordinator::onDigest(const std::string& sender, const CrashDigest& digest, TimePoint now) {
  if (exchange_.onDigest(digest.digest, now)) {
    actions_.emplace_back(SendCrashMessage{sender, toNotes(exchange_.allEvidence(), now)});
  }
  if (exchange_.digest() == 0 && digest.digest != 0) {
    actions_.emplace_back(SendCrashMessage{sender, CrashDigest{}});
  }
}

void CrashCoordinator::onRecordRead(const std::optional<StoredRecord>& record, TimePoint now) {
  take(record_.onRead(record, now), now);
  callStore(now);
}

void CrashCoordinator::onRecordWritten(bool written, TimePoint now) {
  record_.onWritten(written, now);
  callStore(now);
}

void CrashCoordinator::callStore(TimePoint now) {
  if (now < record_.nextTimer()) return;
  CrashRecordCall call = record_.nextCall(exchange_.quarantined(now), now);
  if (call.kind != CrashRecordCall::Kind::none) actions_.emplace_back(CallStore{std::move(call)});
}

void CrashCoordinator::onTimer(const std::vector<std::string>& members, TimePoint now) {
  callStore(now);
  if (now < digest_at_) return;
  digest_at_ = now + CrashExchange::kDigestInterval;
  for (const std::string& member : exchange_.onTick(members, now)) {
    actions_.emplace_back(SendCrashMessage{member, CrashDigest{exchange_.digest()}});
  }
}

TimePoint CrashCoordinator::nextTimer() const {
  return std::min(digest_at_, record_.nextTimer());
}

}  // namespace crankspur::gateway
