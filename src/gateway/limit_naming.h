#pragma once
/// @file What is known of the limit that one back end names in its responses: its value, and whether
/// responses without it show that it has ended. Pure decision code.

#include <optional>

#include "base/time.h"

namespace crankspur::gateway {

/// Responses between `first_at` and `last_at` named no limit, and none did meanwhile.
struct LimitAbsence {
  TimePoint first_at{};  ///< TimePoint{}: there was no such response.
  TimePoint last_at{};

  bool exists() const { return first_at != TimePoint{}; }
  /// Extends it by another one.
  void add(const LimitAbsence& other);
};

/// See the file comment. Not every response of a back end in need names its limit, and one of another process
/// at its address may not either. So a limit is raised step by step while responses come without it, and ends
/// once it has no effect any more. The first response that names it restores it.
class LimitNaming {
public:
  /// A response named the limit.
  /// @param here whether this gateway received it.
  /// @return whether it is newer than what was known.
  bool onNamed(double per_second, TimePoint at, bool here);
  /// A successful response named no limit.
  /// @param sent_at when its request was sent. A response that was under way when the limit was named counts
  /// for nothing.
  void onAbsent(TimePoint sent_at, TimePoint now);
  /// Another gateway received responses without the limit.
  void onReportedAbsence(const LimitAbsence& absence);

  /// Ends the limit; see hasEnded().
  void end();

  /// @return requests per second as the back end named them; 0: no limit, or it has ended.
  double perSecond() const { return per_second_; }
  /// @return requests per second that may be sent now: more than named while responses come without a limit.
  double effectivePerSecond() const;
  /// @return whether responses without the limit show that it has ended.
  bool hasEnded() const;
  /// Time of the response that named the limit last, or that ended it.
  TimePoint namedAt() const { return named_at_; }
  bool namedHere() const { return named_here_; }
  /// @return the responses without a limit that this gateway received.
  const LimitAbsence& ownAbsence() const { return own_absence_; }

private:
  double raisedBy() const;

  double per_second_ = 0;
  TimePoint named_at_{};
  bool named_here_ = false;
  LimitAbsence own_absence_;
  LimitAbsence absence_;  ///< Of all gateways.
};

}  // namespace crankspur::gateway
