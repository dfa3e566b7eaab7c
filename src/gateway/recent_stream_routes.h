#pragma once
/// @file Routes of resumable streams in the configurations of the time for which clients resume streams. A
/// configuration may move a route to another pool while its streams run: these began at builds of the earlier
/// pool, whose names may differ from those of the later one.

#include <deque>
#include <memory>
#include <string_view>

#include "gateway/gateway_snapshot.h"
#include "gateway/stream_origins.h"

namespace crankspur::gateway {

/// See the file comment. Not thread-safe.
class RecentStreamRoutes {
public:
  void onSnapshot(const GatewaySnapshot& snapshot, TimePoint now);
  /// @return the pools that may have begun streams of the path.
  PoolIds poolsOf(std::string_view host, std::string_view path) const;

private:
  struct Replaced {
    Configuration routes;  ///< Those of resumable streams that were dropped, split or moved.
    TimePoint replaced_at{};
  };

  std::shared_ptr<const Configuration> current_;
  std::deque<Replaced> replaced_;  ///< Oldest first.
};

}  // namespace crankspur::gateway
