#pragma once
/// @file Exchanges load and cache state of engines with the other routers of the zone. Runs on the control
/// thread.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "router/engine_table.h"
#include "router/zone_sharing.h"
#include "router_process/traffic_shard.h"

namespace crankspur {

/// Notifications to the owner of the exchange.
struct ZoneExchangeCallbacks {
  /// Sends the message to each address.
  std::function<void(std::vector<std::string> addresses, Message message)> on_send;
  std::function<void(std::shared_ptr<const EngineCacheUpdate>)> on_cache_update;
};

/// In a small fleet every router polls and follows all engines. In a larger one each engine has one owner in
/// the zone, which sends its state to the other routers.
class ZoneExchange {
public:
  /// @param engine_table must outlive the exchange.
  ZoneExchange(MemberRecord self, EngineTable& engine_table, ZoneExchangeCallbacks callbacks);
  /// Applies the current members and engines and sets which engines the engine table polls itself.
  void update(const std::vector<MemberRecord>& members, const std::vector<EngineView>& engines);
  /// @return the engines whose cache events this router follows.
  std::vector<EngineView> followed(const std::vector<EngineView>& engines) const;
  /// An update of a cache that this router follows.
  void onOwnCacheUpdate(const EngineCacheUpdate& update);
  void onLoadDigest(const LoadDigest& digest, TimePoint now);
  void onCacheSummary(const CacheSummary& summary);
  /// Sends digests and summaries that are due; to be called several times per second.
  void tick(TimePoint now);

private:
  const EngineView* findEngine(const std::string& name) const;

  MemberRecord self_;
  EngineTable& engine_table_;
  ZoneExchangeCallbacks callbacks_;
  LoadSharing loads_;
  CacheSharing cache_;
  std::vector<std::string> peer_addresses_;
  std::vector<EngineView> engines_;
  std::set<std::string> owned_;
  bool share_loads_ = false;
  bool share_cache_ = false;
};

}  // namespace crankspur
