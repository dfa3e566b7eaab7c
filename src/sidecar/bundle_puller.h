#pragma once
/// @file Decides when a sidecar pulls a bundle from a router: one pull at a time, from a router that
/// announced a newer version, retried at another router when no body is received. Decision logic only,
/// without I/O.

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace crankspur {

/// Schedules pulls of newer bundles.
class BundlePuller {
public:
  /// Time after which a pull without a body has failed.
  static constexpr Duration kPullTimeout = std::chrono::seconds(1);

  /// A router announced the version it holds.
  /// @param held version held by this sidecar.
  /// @return true if a pull should be sent to that router now.
  bool onVersion(const std::string& router, std::uint64_t version, std::uint64_t held, TimePoint now);
  /// The connection to the router ended.
  void onRouterLost(const std::string& router);
  /// A bundle body was received.
  void onBody();

private:
  std::string pull_source_;  ///< Empty if no pull is pending.
  TimePoint pull_started_at_{};
};

}  // namespace crankspur
