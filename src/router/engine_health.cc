#include "router/engine_health.h"

#include <algorithm>

namespace crankspur {

namespace {

/// Polls that time out in a row before a back end counts as dead; it is ejected at the first.
constexpr std::uint32_t kTimedOutPollsUntilDead = 3;
/// Dispatches that break in a row before a back end is ejected.
constexpr std::uint32_t kFailedDispatchesUntilEjection = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr std::uint32_t kMaximumDoublings = 5;
/// Answers in a row after which earlier ejections are forgotten.
constexpr std::uint32_t kAnswersUntilTrusted = 20;
constexpr std::uint32_t kAnswersUntilLatenessKnown = 8;
constexpr double kLatenessSmoothing = 0.2;

}  // namespace

void EngineHealth::onPollAnswered(TimePoint) {
  answered_once_ = true;
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

void EngineHealth::onDeathTold(TimePoint) {
  dead_ = true;
}

void EngineHealth::onOutcome(OutcomeKind outcome, Duration lateness, TimePoint now) {
  if (outcome == OutcomeKind::Answered) {
    failed_dispatches_ = 0;
    const double seconds = std::max(0.0, toSeconds(lateness));
    lateness_ = answers_ == 0 ? seconds : lateness_ + kLatenessSmoothing * (seconds - lateness_);
    if (++answers_ >= kAnswersUntilTrusted) ejections_ = 0;
    return;
  }
  answers_ = 0;
  ++failed_dispatches_;
  const bool on_probation = ejections_ > 0;
  const bool refused = outcome == OutcomeKind::ConnectFailed;
  if (refused || on_probation || failed_dispatches_ >= kFailedDispatchesUntilEjection) eject(now);
}

void EngineHealth::eject(TimePoint now) {
  if (now < ejected_until_) return;
  const std::uint32_t doublings = std::min(ejections_, kMaximumDoublings);
  ejected_until_ = now + kFirstEjection * (1 << doublings);
  ++ejections_;
  answers_ = 0;
  failed_dispatches_ = 0;
}

HealthState EngineHealth::state(TimePoint now) const {
  if (dead_) return HealthState::Dead;
  if (!answered_once_) return HealthState::Untried;
  return now < ejected_until_ ? HealthState::Ejected : HealthState::Healthy;
}

bool EngineHealth::latenessKnown() const {
  return answers_ >= kAnswersUntilLatenessKnown;
}

}  // namespace crankspur
