#pragma once
/// @file Health of one back end as this router sees it: answered and failed polls, outcomes of its traffic.

#include <cstdint>

#include "base/time.h"

namespace crankspur {

/// How a dispatch at a back end went.
enum class OutcomeKind {
  Answered,       ///< It took the work and streamed.
  ConnectFailed,  ///< No connection could be made.
  Lost,           ///< The exchange broke after bytes were sent.
};

/// Why a poll failed.
enum class PollFailure {
  Refused,   ///< Nobody listens at the address.
  TimedOut,  ///< No answer in time, or a broken one.
};

/// What health allows.
enum class HealthState {
  Untried,  ///< Never answered yet.
  Healthy,
  Ejected,  ///< Failing or slow; comes back on probation after a while.
  Dead,
};

/// Health of one back end. Not thread-safe.
class EngineHealth {
public:
  void onPollAnswered(TimePoint now);
  void onPollFailed(PollFailure failure, TimePoint now);
  /// A peer says that the back end is dead: believed until a poll of one's own is answered.
  void onDeathTold(TimePoint now);
  /// @param lateness first token's time beyond the estimate, for Answered.
  void onOutcome(OutcomeKind outcome, Duration lateness, TimePoint now);
  /// Takes the back end out of use for a while that doubles with each ejection in a row.
  void eject(TimePoint now);
  /// Forgets everything: another process has taken the address.
  void reset() { *this = EngineHealth(); }

  HealthState state(TimePoint now) const;
  /// @return smoothed lateness of first tokens in seconds.
  double lateness() const { return lateness_; }
  /// @return whether lateness rests on enough answers to be compared.
  bool latenessKnown() const;
  /// @return when an ejection ends; the epoch when there is none.
  TimePoint ejectedUntil() const { return ejected_until_; }

private:
  bool answered_once_ = false;
  bool dead_ = false;
  std::uint32_t failed_polls_ = 0;
  std::uint32_t failed_dispatches_ = 0;
  std::uint32_t ejections_ = 0;
  std::uint32_t answers_ = 0;
  double lateness_ = 0;
  TimePoint ejected_until_{};
};

}  // namespace crankspur
