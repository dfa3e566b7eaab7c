#pragma once
/// @file When a sidecar pulls a bundle from a router. Pure decision code: one pull at a time, from a router
/// that said it holds a newer version, again elsewhere when no body came.

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace crankspur {

/// Pulls of newer bundles.
class BundleExchange {
public:
  /// Time after which a pull without a body is given up.
  static constexpr Duration kPullTimeout = std::chrono::seconds(1);

  /// A router said which version it holds.
  /// @param held version that this sidecar holds.
  /// @return true when a pull should be sent to that router now.
  bool onVersion(const std::string& router, std::uint64_t version, std::uint64_t held, TimePoint now);
  /// The connection to the router ended.
  void onRouterLost(const std::string& router);
  /// A body of some version arrived.
  void onBody();

private:
  std::string pulling_from_;  ///< Empty when no pull is open.
  TimePoint pulled_at_{};
};

}  // namespace crankspur
