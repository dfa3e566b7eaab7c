#pragma once
/// @file Shares knowledge of engines with the routers of the own zone. Lives on the control thread.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "router/engine_table.h"
#include "router/zone_sharing.h"
#include "router_process/traffic_shard.h"

namespace crankspur {

/// What the exchange does through its owner.
struct ZoneExchangeCallbacks {
  /// Sends to each address.
  std::function<void(std::vector<std::string> addresses, Message message)> on_send;
  std::function<void(std::shared_ptr<const CacheNews>)> on_cache_news;
};

/// The exchange. Few engines are all asked and followed by every router; beyond that each has one owner in
/// the zone, which tells the others.
class ZoneExchange {
public:
  /// @param table must outlive the exchange.
  ZoneExchange(MemberRecord self, EngineTable& table, ZoneExchangeCallbacks callbacks);
  /// Takes the present members and engines, and sets which engines the table asks itself.
  void update(const std::vector<MemberRecord>& members, const std::vector<EngineView>& engines);
  /// @return the engines whose events this router reads.
  std::vector<EngineView> followed(const std::vector<EngineView>& engines) const;
  /// News that this router read from an engine.
  void onOwnNews(const CacheNews& news);
  void onLoadDigest(const LoadDigest& digest, TimePoint now);
  void onCacheSummary(const CacheSummary& summary);
  /// Sends what is due; to be called several times a second.
  void tick(TimePoint now);

private:
  const EngineView* findEngine(const std::string& name) const;

  MemberRecord self_;
  EngineTable& table_;
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
