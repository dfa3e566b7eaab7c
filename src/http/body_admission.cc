#include "http/body_admission.h"

#include <algorithm>
#include <utility>

namespace crankspur::http {

BodyAdmission::BodyAdmission(std::shared_ptr<ByteBudget> budget)
    : budget_(std::move(budget)),
      unidentified_budget_(std::make_shared<ByteBudget>(
          static_cast<std::size_t>(kUnidentifiedShare * double(budget_->limit())), budget_)) {}

BodyDecision BodyAdmission::request(BodyId id, std::size_t bytes, bool identified, TimePoint now) {
  const double most = shareOf(identified) * double(budgetOf(identified)->limit());
  if (double(bytes) > most) return BodyDecision::Refused;
  if (bytes <= kSmallBytes) {
    ByteReservation held(budget_);
    if (!held.tryResize(bytes, 1)) return BodyDecision::Refused;
    admitted_[id] = {std::move(held), true, 0, 0, now};
    return BodyDecision::Admitted;
  }
  if (!hasWaiting(identified) && tryAdmit(id, bytes, identified, now)) return BodyDecision::Admitted;
  waiting_[id] = {bytes, identified, now};
  return BodyDecision::Waiting;
}

bool BodyAdmission::hasWaiting(bool identified) const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [=](const auto& entry) { return entry.second.identified == identified; });
}

bool BodyAdmission::tryAdmit(BodyId id, std::size_t bytes, bool identified, TimePoint now) {
  ByteReservation held(budgetOf(identified));
  if (!held.tryResize(bytes, shareOf(identified))) return false;
  admitted_[id] = {std::move(held), identified, 0, 0, now};
  return true;
}

bool BodyAdmission::grow(BodyId id, std::size_t bytes) {
  const auto found = admitted_.find(id);
  if (found == admitted_.end()) return false;
  return found->second.held.tryResize(bytes, shareOf(found->second.identified));
}

void BodyAdmission::onReceived(BodyId id, std::size_t total, TimePoint now) {
  const auto found = admitted_.find(id);
  if (found == admitted_.end()) return;
  found->second.received = total;
  beginPeriod(found->second, now);
}

/// The period of a body that arrives too slowly does not end.
void BodyAdmission::beginPeriod(Admitted& body, TimePoint now) {
  if (now - body.period_began < kProgressPeriod || isSlow(body, now)) return;
  body.received_before = body.received;
  body.period_began = now;
}

ByteReservation BodyAdmission::remove(BodyId id) {
  waiting_.erase(id);
  const auto found = admitted_.find(id);
  if (found == admitted_.end()) return {};
  ByteReservation held = std::move(found->second.held);
  admitted_.erase(found);
  return held;
}

BodyOutcomes BodyAdmission::poll(TimePoint now) {
  BodyOutcomes outcomes;
  for (auto& [id, body] : admitted_) beginPeriod(body, now);
  admitInOrder(outcomes, now);
  evictSlowest(outcomes, now);
  refuseExpired(outcomes, now);
  return outcomes;
}

/// A body that does not fit holds up the later ones of its kind, so that a large one is not overtaken for
/// ever.
void BodyAdmission::admitInOrder(BodyOutcomes& outcomes, TimePoint now) {
  bool held_up[2] = {false, false};  // By whether the client is identified.
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto current = next++;
    const auto& [id, body] = *current;
    bool& is_held_up = held_up[body.identified ? 1 : 0];
    if (is_held_up) continue;
    is_held_up = !tryAdmit(id, body.bytes, body.identified, now);
    if (is_held_up) continue;
    outcomes.admitted.push_back(id);
    waiting_.erase(current);
  }
}

/// Evicts the largest body that arrives too slowly, for the first one that waits. Its bytes are free once the
/// driver has removed it.
void BodyAdmission::evictSlowest(BodyOutcomes& outcomes, TimePoint now) {
  if (waiting_.empty()) return;
  const bool any_kind = hasWaiting(true);
  auto largest = admitted_.end();
  for (auto body = admitted_.begin(); body != admitted_.end(); ++body) {
    const bool frees_room = body->second.held.bytes() > kSmallBytes && (any_kind || !body->second.identified);
    if (frees_room && isSlow(body->second, now) &&
        (largest == admitted_.end() || body->second.held.bytes() > largest->second.held.bytes())) {
      largest = body;
    }
  }
  if (largest != admitted_.end()) outcomes.evicted.push_back(largest->first);
}

bool BodyAdmission::isSlow(const Admitted& body, TimePoint now) {
  const double seconds = toSeconds(now - body.period_began);
  if (now - body.period_began < kProgressPeriod) return false;
  return double(body.received - body.received_before) < kMinBytesPerSecond * seconds;
}

void BodyAdmission::refuseExpired(BodyOutcomes& outcomes, TimePoint now) {
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto current = next++;
    if (now - current->second.since < kMaxWait) continue;
    outcomes.refused.push_back(current->first);
    waiting_.erase(current);
  }
}

}  // namespace crankspur::http
