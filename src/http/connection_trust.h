#pragma once
/// @file When kept connections are no longer to be used. Open connections may go silent for good, without a
/// reset, while new ones work; nothing but a missing answer shows it. Without this each kept connection costs
/// one more exchange the whole time for its answer: five kept ones failed five exchanges in a row, one now.
/// Pure decision code.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace crankspur::http {

/// Judges by what exchanges on connections that had served before met with. Not thread-safe.
class ConnectionTrust {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Which kept connections are to be closed.
  enum class Verdict {
    LeaveAddress,  ///< Those to the address: the server, or the way to it, may be at fault.
    LeaveAll,      ///< Those to all addresses: connections to several have gone silent together.
  };

  /// A connection that was heard this short a time ago, and after the unanswered exchange had begun, is not
  /// closed: a held call is given up so long after its answer was due, and one that is not held has begun
  /// after the silence.
  static constexpr std::chrono::milliseconds kRecently{300};

  /// A reused connection began to answer.
  void onAnswered(const std::string& address, Time now);
  /// A reused connection gave no byte in the time for it.
  /// @param began when the exchange did.
  Verdict onUnanswered(const std::string& address, Time began, Time now);

private:
  void forgetOld(Time now);

  std::map<std::string, Time>
      answered_at_;  ///< The last time, by address; old ones go with the next silence.
  std::map<std::string, Time> unanswered_at_;  ///< The same.
  Time all_left_at_{};
};

}  // namespace crankspur::http
