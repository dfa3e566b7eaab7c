#pragma once
/// @file Detection of half-open kept-alive connections. Established connections may fall silent permanently,
/// without a reset, while new ones work; only a missing response shows it. Without detection, each idle
/// half-open connection costs another exchange its full timeout: five of them fail five exchanges in a row.
/// With detection, only the first exchange fails. Decision logic only, without I/O.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace crankspur::http {

/// Decides by the outcome of exchanges on reused connections. Not thread-safe.
class HalfOpenDetector {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Which idle connections to close.
  enum class Action {
    CloseAddress,  ///< Those to the address: the server or the path to it may be at fault.
    CloseAll,      ///< Those to all addresses: connections to several fell silent together.
  };

  /// A connection that received data within this time, and after the start of the timed-out exchange, is not
  /// closed: a held call times out this long after its response was due, and a call that is not held started
  /// after the connections fell silent.
  static constexpr std::chrono::milliseconds kRecentActivity{300};

  /// A reused connection received the first byte of a response.
  void onResponse(const std::string& address, Time now);
  /// An exchange on a reused connection timed out without a response byte.
  /// @param began start of the exchange.
  Action onTimeout(const std::string& address, Time began, Time now);

private:
  void removeExpired(Time now);

  /// Last response and last timeout by address; expired entries are removed on the next timeout.
  std::map<std::string, Time> last_response_;
  std::map<std::string, Time> last_timeout_;
  Time all_closed_at_{};
};

}  // namespace crankspur::http
