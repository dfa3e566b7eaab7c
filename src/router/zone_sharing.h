#pragma once
/// @file Exchange of engine state between the routers of a zone, within a byte rate: ownership of engines for
/// polling, load digests, and summaries of cache events. Decision logic only, without I/O.

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

/// @return names of the region's live members, excluding suspected and leaving ones.
std::vector<std::string> liveMembersInRegion(const std::vector<MemberRecord>& members,
                                             const std::string& region);

/// Builds load digests of owned engines. The interval grows with the digest size and the number of receivers.
/// Not thread-safe.
class LoadSharing {
public:
  /// @param bytes_per_second upper bound of the rate over all receivers.
  LoadSharing(std::string self, double bytes_per_second)
      : self_(std::move(self)), bytes_per_second_(bytes_per_second) {}
  /// @return whether the interval since the last digest has elapsed.
  bool isDue(TimePoint now) const { return now >= next_at_; }
  /// @return the digest to send to each receiver now, if due.
  std::optional<LoadDigest> due(const std::vector<EngineView>& owned, std::size_t receivers, TimePoint now);

private:
  std::string self_;
  double bytes_per_second_;
  TimePoint next_at_{};
};

/// Builds summaries of the cache events of owned engines. They contain only blocks that were stored more than
/// once, on one or several engines, because only those can serve requests of other routers. Not thread-safe.
class CacheSharing {
public:
  /// @param bytes_per_second upper bound of the rate over all receivers.
  explicit CacheSharing(double bytes_per_second);
  void onEvents(const std::string& engine, std::uint64_t incarnation, const std::vector<CacheEvent>& events);
  /// @return the summaries to send to each receiver now.
  std::vector<CacheSummary> due(std::size_t receivers, TimePoint now);
  /// Removes the state of engines that are not in `engines`.
  void keepOnly(const std::set<std::string>& engines);

private:
  /// Slot of the lossy table of store counts.
  struct BlockCount {
    std::uint32_t tag = 0;  ///< Upper half of the block's hash.
    std::uint32_t count = 0;
  };
  /// Pending changes of one engine's cache.
  struct Stream {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::set<BlockHash> announced;  ///< Blocks sent or pending in `stored`.
    std::vector<BlockHash> stored;
    std::vector<BlockHash> removed;
  };
  /// Counts a store of the block. @return whether it was stored more than once.
  bool countStore(BlockHash hash);
  void onStored(Stream& stream, BlockHash hash);
  void onRemoved(Stream& stream, BlockHash hash);

  double bytes_per_second_;
  double allowance_ = 0;  ///< Bytes that may be sent now.
  TimePoint last_due_{};
  std::vector<BlockCount> block_counts_;
  std::map<std::string, Stream> streams_;
};

}  // namespace crankspur
