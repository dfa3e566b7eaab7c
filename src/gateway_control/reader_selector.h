#pragma once
/// @file Whom a gateway asks for the platform's tables. Pure decision code.

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace crankspur::gateway {

/// Where a call is to go.
struct ReadTarget {
  enum class Kind {
    Platform,
    Gateway,
    None,  ///< Not now: everyone failed of late, and the platform is not to be asked by all.
  };
  Kind kind = Kind::Platform;
  std::string address;  ///< Of the gateway.
};

/// The choice. Not thread-safe.
class ReaderSelector {
public:
  explicit ReaderSelector(std::uint64_t random_seed) : random_(random_seed) {}
  /// @param readers addresses of gateways that read the platform, the best first; empty: this one reads it.
  void setReaders(std::vector<std::string> readers);
  /// @return whether this gateway reads the platform itself.
  bool readsPlatform() const { return readers_.empty(); }
  ReadTarget next(TimePoint now);
  /// How a call to the platform itself went. One that answers is asked on while all readers fail: on a day
  /// with a third of the machines cut off from it, gateways whose readers were cut heard it once in 6 s, and
  /// refused callers for outdated keys and by an old configuration.
  void onPlatformResponse(bool answered) { platform_responds_ = answered; }
  /// A gateway did not answer, or with nothing of use.
  void onFailed(const std::string& address, TimePoint now);
  /// The answer of a gateway is late: the connection to it may have gone silent while it is well.
  void onLate(const std::string& address, TimePoint now);
  /// @return whether the gateway was told to be late after `sent_at`: a call sent then tells nothing new.
  bool wasLateAfter(const std::string& address, TimePoint sent_at) const;

private:
  RandomSource random_;
  std::vector<std::string> readers_;
  std::map<std::string, TimePoint> avoided_until_;
  std::map<std::string, TimePoint> late_at_;  ///< The last time, by address.
  TimePoint next_platform_read_at_{};
  bool platform_responds_ = false;  ///< The last call to it was answered.
};

}  // namespace crankspur::gateway
