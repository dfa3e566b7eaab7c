#pragma once
/// @file What routers of one zone tell each other about engines, within a byte rate: who asks which engine,
/// digests of loads, and summaries of cache events. Pure decision code.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"
#include "placement/engine_view.h"

namespace crankspur {

/// @return the router among `routers` that owns the engine, by rendezvous hashing; empty when there is none.
std::string ownerOf(const std::string& engine, const std::vector<std::string>& routers);

/// @return names of the members of the region that answer: neither suspected nor leaving.
std::vector<std::string> aliveInRegion(const std::vector<MemberRecord>& members, const std::string& region);

/// Makes load digests of owned engines. The interval grows with bytes and receivers.
class LoadSharing {
public:
  /// @param bytes_per_second sent at most, over all receivers.
  LoadSharing(std::string self, double bytes_per_second)
      : self_(std::move(self)), bytes_per_second_(bytes_per_second) {}
  /// @return whether due() may give a digest now.
  bool isDue(TimePoint now) const { return now >= next_at_; }
  /// @return the digest to send to every receiver now, if one is due.
  std::optional<LoadDigest> due(const std::vector<EngineView>& owned, std::size_t receivers, TimePoint now);

private:
  std::string self_;
  double bytes_per_second_;
  TimePoint next_at_{};
};

/// Makes summaries of the cache events of owned engines: only blocks that were stored more than once, at one
/// engine or at several, since only those can serve another router's request.
class CacheSharing {
public:
  /// @param bytes_per_second sent at most, over all receivers.
  explicit CacheSharing(double bytes_per_second);
  void onEvents(const std::string& engine, std::uint64_t incarnation, const std::vector<CacheEvent>& events);
  /// @return summaries to send to every receiver now.
  std::vector<CacheSummary> due(std::size_t receivers, TimePoint now);
  /// Forgets engines that are not in `engines`.
  void keepOnly(const std::set<std::string>& engines);

private:
  struct Seen {
    std::uint32_t mark = 0;
    std::uint32_t count = 0;
  };
  struct Stream {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::set<BlockHash> told;
    std::vector<BlockHash> stored;
    std::vector<BlockHash> removed;
  };
  bool isShared(BlockHash hash);
  void onStored(Stream& stream, BlockHash hash);
  void onRemoved(Stream& stream, BlockHash hash);

  double bytes_per_second_;
  double allowance_ = 0;
  TimePoint last_due_{};
  std::vector<Seen> seen_;
  std::map<std::string, Stream> streams_;
};

}  // namespace crankspur
