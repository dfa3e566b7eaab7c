#include "http/memory_guard.h"

#include <utility>

#include "http/server_session.h"

namespace crankspur::http {

namespace {

/// The pressure has ended when no request was delayed or rejected for this long.
constexpr Duration kPressureEnd = std::chrono::seconds(5);
/// A client that has read nothing for this long may be disconnected when the budget is exceeded.
constexpr Duration kIdleReader = std::chrono::seconds(1);

}  // namespace

MemoryGuard::MemoryGuard(const boost::asio::any_io_executor& executor, std::shared_ptr<ByteBudget> budget,
                         std::function<std::vector<std::shared_ptr<ServerSession>>()> sessions)
    : timer_(executor), budget_(std::move(budget)), sessions_(std::move(sessions)), admission_(budget_) {}

std::pair<BodyId, BodyDecision> MemoryGuard::request(const std::shared_ptr<ServerSession>& session,
                                                     std::size_t bytes, bool identified) {
  const BodyId body = next_body_++;
  const BodyDecision decision = admission_.request(body, bytes, identified, clock_.now());
  if (decision != BodyDecision::Refused) bodies_[body] = session;
  if (decision == BodyDecision::Waiting) beginPressure();
  return {body, decision};
}

ByteReservation MemoryGuard::remove(BodyId body) {
  bodies_.erase(body);
  return admission_.remove(body);
}

void MemoryGuard::onRejected() {
  beginPressure();
  ++pressure_.rejected;
}

void MemoryGuard::onQueued() {
  if (budget_->exceeds(1)) beginPressure();
}

void MemoryGuard::stop() {
  stopped_ = true;
  on_pressure_ = nullptr;
  timer_.cancel();
}

std::shared_ptr<ServerSession> MemoryGuard::find(BodyId body) const {
  const auto found = bodies_.find(body);
  return found == bodies_.end() ? nullptr : found->second.lock();
}

void MemoryGuard::beginPressure() {
  pressure_seen_at_ = clock_.now();
  schedulePoll();
  if (std::exchange(pressure_.began, true) || !on_pressure_) return;
  pressure_.used_bytes = budget_->used();
  pressure_.limit_bytes = budget_->limit();
  pressure_.waiting = admission_.waiting();
  on_pressure_(pressure_);
}

void MemoryGuard::endPressure() {
  MemoryPressure ended = std::exchange(pressure_, {});
  ended.began = false;
  ended.used_bytes = budget_->used();
  ended.limit_bytes = budget_->limit();
  if (on_pressure_) on_pressure_(ended);
}

void MemoryGuard::schedulePoll() {
  if (stopped_ || std::exchange(poll_scheduled_, true)) return;
  timer_.expires_after(BodyAdmission::kPollInterval);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self) return;
    self->poll_scheduled_ = false;
    self->poll();
  });
}

void MemoryGuard::poll() {
  if (stopped_) return;
  const BodyOutcomes outcomes = admission_.poll(clock_.now());
  for (const BodyId body : outcomes.admitted) {
    if (const auto session = find(body)) session->onBodyAdmitted();
  }
  for (const BodyId body : outcomes.refused) {
    if (const auto session = find(body)) session->rejectBody();
  }
  for (const BodyId body : outcomes.evicted) {
    ++pressure_.evicted;
    if (const auto session = find(body)) session->rejectBody();
  }
  if (budget_->exceeds(1)) disconnectIdleReader();
  if (admission_.hasWaiting() || budget_->exceeds(1)) pressure_seen_at_ = clock_.now();
  if (clock_.now() - pressure_seen_at_ >= kPressureEnd) return endPressure();
  schedulePoll();
}

/// Disconnects the client with the most unread bytes among those that have read nothing for some time.
void MemoryGuard::disconnectIdleReader() {
  std::shared_ptr<ServerSession> largest;
  for (const auto& session : sessions_()) {
    if (session->unreadTime() < kIdleReader) continue;
    if (largest == nullptr || session->unreadBytes() > largest->unreadBytes()) largest = session;
  }
  if (largest == nullptr) return;
  ++pressure_.disconnected;
  largest->disconnect();
}

}  // namespace crankspur::http
