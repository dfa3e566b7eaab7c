#pragma once
/// @file Selects the source from which a gateway reads the platform's tables. Pure decision code.

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace crankspur::gateway {

/// Target of a read.
struct ReadTarget {
  enum class Kind {
    Platform,
    Gateway,
    None,  ///< No read for the moment: all sources failed recently, and the load on the platform is limited.
  };
  Kind kind = Kind::Platform;
  std::string address;  ///< Of the gateway; empty for other kinds.
};

/// Prefers configured readers and falls back to the platform. Not thread-safe.
class ReaderSelector {
public:
  explicit ReaderSelector(std::uint64_t random_seed) : random_(random_seed) {}
  /// @param readers addresses of gateways that read the platform, by descending preference; empty: this
  /// gateway reads the platform itself.
  void setReaders(std::vector<std::string> readers);
  /// @return whether this gateway reads the platform itself.
  bool readsPlatform() const { return readers_.empty(); }
  ReadTarget next(TimePoint now);
  /// Records the outcome of a call to the platform itself. While all readers fail, a platform that responds
  /// is read without a delay. Otherwise, with a third of the machines cut off from the platform, gateways
  /// whose readers are cut off would have contact with it only once in 6 s and refuse callers because of
  /// outdated keys or an old configuration.
  void onPlatformResponse(bool responded) { platform_responds_ = responded; }
  /// A gateway did not respond, or its response was not usable.
  void onFailed(const std::string& address, TimePoint now);
  /// The response of a gateway is late: the connection may have gone silent although the gateway is healthy.
  void onLate(const std::string& address, TimePoint now);
  /// @return whether onLate() was called for the gateway after `sent_at`. The failure of a call sent at that
  /// time is then already accounted for.
  bool wasLateAfter(const std::string& address, TimePoint sent_at) const;

private:
  RandomSource random_;
  std::vector<std::string> readers_;
  std::map<std::string, TimePoint> avoided_until_;
  std::map<std::string, TimePoint> late_at_;  ///< Last onLate(), by address.
  TimePoint next_platform_read_at_{};
  bool platform_responds_ = false;  ///< The last call to it was successful.
};

}  // namespace crankspur::gateway
