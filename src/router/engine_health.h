#pragma once
/// @file Health of one back end as observed by this router, from its polls and the outcomes of its traffic.

#include <cstdint>

#include "base/time.h"

namespace crankspur {

/// Outcome of a dispatch to a back end.
enum class OutcomeKind {
  Answered,       ///< The back end accepted the request and streamed a response.
  ConnectFailed,  ///< No connection could be established.
  Lost,           ///< The exchange failed after bytes were sent.
};

/// Why a poll failed.
enum class PollFailure {
  Refused,   ///< The connection was refused: no process listens at the address.
  TimedOut,  ///< No response in time, or a malformed one.
};

/// Health of a back end.
enum class HealthState {
  Untried,  ///< Has never responded.
  Healthy,
  Ejected,  ///< Failing or slow; on probation once the ejection ends.
  Dead,
};

/// Health of one back end. Not thread-safe.
class EngineHealth {
public:
  void onPollSucceeded(TimePoint now);
  void onPollFailed(PollFailure failure, TimePoint now);
  /// A peer reported the back end as dead. Applies until a poll by this router succeeds.
  void onPeerReportedDead(TimePoint now);
  /// @param lateness time of the first token beyond its estimate; used for Answered only.
  void onOutcome(OutcomeKind outcome, Duration lateness, TimePoint now);
  /// Ejects the back end for a period that doubles with each consecutive ejection.
  void eject(TimePoint now);
  /// Resets all state because another process uses the address.
  void reset() { *this = EngineHealth(); }

  HealthState state(TimePoint now) const;
  /// @return exponentially smoothed lateness of first tokens, in seconds.
  double lateness() const { return lateness_; }
  /// @return whether enough responses were observed for lateness() to be compared.
  bool latenessKnown() const;
  /// @return end of the last ejection; the epoch when there was none.
  TimePoint ejectedUntil() const { return ejected_until_; }

private:
  bool responded_once_ = false;
  bool dead_ = false;
  std::uint32_t failed_polls_ = 0;
  std::uint32_t failed_dispatches_ = 0;
  std::uint32_t ejections_ = 0;
  std::uint32_t responses_ = 0;
  double lateness_ = 0;
  TimePoint ejected_until_{};
};

}  // namespace crankspur
