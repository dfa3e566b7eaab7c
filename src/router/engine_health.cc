#include "router/engine_health.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Consecutive poll timeouts after which a back end is considered dead. The first one ejects it.
constexpr std::uint32_t kTimedOutPollsUntilDead = 3;
/// Consecutive failed dispatches after which a back end is ejected.
constexpr std::uint32_t kFailedDispatchesUntilEjection = 3;
constexpr Duration kInitialEjection = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 5;
/// Consecutive responses after which the next ejection has the initial duration again.
constexpr std::uint32_t kResponsesUntilTrusted = 20;
constexpr std::uint32_t kResponsesUntilLatenessKnown = 8;
constexpr double kLatenessSmoothing = 0.2;

}  // namespace

void EngineHealth::onPollSucceeded(TimePoint) {
  responded_once_ = true;
  dead_ = false;
  failed_polls_ = 0;
}

void EngineHealth::onPollFailed(PollFailure failure, TimePoint now) {
  ++failed_polls_;
  const bool dead = failure == PollFailure::Refused || failed_polls_ >= kTimedOutPollsUntilDead;
  if (dead) {
    dead_ = true;
  } else {
    eject(now);
  }
}

void EngineHealth::onPeerReportedDead(TimePoint) {
  dead_ = true;
}

void EngineHealth::onOutcome(OutcomeKind outcome, Duration lateness, TimePoint now) {
  if (outcome == OutcomeKind::Answered) {
    failed_dispatches_ = 0;
    const double seconds = std::max(0.0, toSeconds(lateness));
    lateness_ = responses_ == 0 ? seconds : lateness_ + kLatenessSmoothing * (seconds - lateness_);
    if (++responses_ >= kResponsesUntilTrusted) ejections_ = 0;
    return;
  }
  responses_ = 0;
  ++failed_dispatches_;
  const bool on_probation = ejections_ > 0;
  const bool refused = outcome == OutcomeKind::ConnectFailed;
  if (refused || on_probation || failed_dispatches_ >= kFailedDispatchesUntilEjection) eject(now);
}

void EngineHealth::eject(TimePoint now) {
  if (now < ejected_until_) return;
  const std::uint32_t doublings = std::min(ejections_, kMaxDoublings);
  ejected_until_ = now + kInitialEjection * (1 << doublings);
  ++ejections_;
  responses_ = 0;
  failed_dispatches_ = 0;
}

HealthState EngineHealth::state(TimePoint now) const {
  if (dead_) return HealthState::Dead;
  if (!responded_once_) return HealthState::Untried;
  return now < ejected_until_ ? HealthState::Ejected : HealthState::Healthy;
}

bool EngineHealth::latenessKnown() const {
  return responses_ >= kResponsesUntilLatenessKnown;
}

}  // namespace crankspur
