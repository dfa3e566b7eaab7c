#include "gateway_control/crash_coordinator.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

/// A loop that has not run for this long has stalled: the process was stopped, or the machine suspended.
constexpr Duration kStallThreshold = std::chrono::milliseconds(300);
/// After a stall, datagrams that arrived meanwhile are read within this time.
constexpr Duration kBacklogReadTime = std::chrono::milliseconds(200);
/// Time that each observer of a quarantined request leaves to those of lower rank to record it.
constexpr Duration kRecordDelayPerRank = std::chrono::milliseconds(200);

}  // namespace

CrashCoordinator::CrashCoordinator(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy)
    : exchange_(random_seed, now, policy),
      record_(now),
      digest_at_(now),
      last_ran_at_(now),
      backlog_until_(now) {}

/// Sends the update to all gateways at once: clients may use any of them, including a standby gateway.
void CrashCoordinator::onOwnUpdate(const CrashUpdate& update, const std::vector<std::string>& members,
                                   TimePoint now) {
  const bool withdraws = !update.cleared.empty() || !update.signs_of_life.empty();
  const std::size_t recorded = withdraws ? exchange_.quarantined(now).crashes.size() : 0;
  exchange_.onOwnUpdate(update, now);
  const CrashNotes notes = toNotes(update, now);
  for (const std::string& member : members) actions_.emplace_back(SendCrashMessage{member, notes});
  // Gateways that start later must not reject a request that has been cleared.
  const bool is_cleared = withdraws && exchange_.quarantined(now).crashes.size() < recorded;
  if (!is_cleared && !exchange_.quarantines(update, now)) return;
  record_.save(now);
  callStore(now);
}

/// After a stall, requests the dropped evidence again, as a gateway that has just joined does.
void CrashCoordinator::onRunning(TimePoint now) {
  if (now - last_ran_at_ > kStallThreshold) {
    backlog_until_ = now + kBacklogReadTime;
    exchange_.onMemberJoined(now);
  }
  last_ran_at_ = now;
}

void CrashCoordinator::onNotes(const CrashNotes& notes, TimePoint now) {
  onRunning(now);
  if (now < backlog_until_) return;
  merge(toUpdate(notes, now), now);
}

void CrashCoordinator::merge(CrashUpdate update, TimePoint now) {
  if (!exchange_.onUpdate(update, now)) return;
  // The crashes may have been observed by several gateways, so that none of their own updates quarantines.
  if (const auto rank = exchange_.recorderRank(update, now)) {
    record_.save(now + kRecordDelayPerRank * static_cast<Duration::rep>(*rank));
    callStore(now);
  }
  actions_.emplace_back(NotifyTraffic{std::move(update)});
}

/// A gateway without evidence does not send its digest on its own initiative; sending it to the sender of a
/// digest requests that gateway's evidence.
void CrashCoordinator::onDigest(const std::string& sender, const CrashDigest& digest, TimePoint now) {
  if (exchange_.onDigest(digest.digest, now)) {
    actions_.emplace_back(SendCrashMessage{sender, toNotes(exchange_.allEvidence(), now)});
  }
  if (exchange_.digest() == 0 && digest.digest != 0) {
    actions_.emplace_back(SendCrashMessage{sender, CrashDigest{}});
  }
}

void CrashCoordinator::onRecordRead(const std::optional<StoredRecord>& record, TimePoint now) {
  merge(record_.onRead(record, now), now);
  callStore(now);
}

void CrashCoordinator::onRecordWritten(bool written, TimePoint now) {
  record_.onWritten(written, now);
  callStore(now);
}

void CrashCoordinator::callStore(TimePoint now) {
  if (now < record_.nextTimer()) return;
  RecordCall call = record_.nextCall(exchange_.quarantined(now), now);
  if (call.kind != RecordCall::Kind::none) actions_.emplace_back(CallStore{std::move(call)});
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
