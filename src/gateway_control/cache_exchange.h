#pragma once
/// @file Shares news of caches between the gateways of a zone, so that each back end's cache is followed by
/// one of them. Pure decision code: datagrams may be lost, doubled and come out of order.
///
/// The sender of a back end numbers its notes. A receiver that misses a number asks the sender for the whole;
/// until it comes, later notes are still taken, since each states what the cache holds, not what changed.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "gateway/cached_parts.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// News of a back end's cache from another gateway.
struct ReceivedCacheUpdate {
  std::string backend;
  bool complete = false;
  std::vector<CachedPart> parts;
};

/// What comes of received notes.
struct ReceivedCacheNotes {
  std::vector<ReceivedCacheUpdate> news;
  std::vector<CacheWanted> wanted;  ///< To be sent to the sender.
};

/// The exchange of one gateway. Not thread-safe.
class CacheExchange {
public:
  /// News of a cache that this gateway follows.
  void onOwnNews(const std::string& backend, const std::vector<CachedPart>& parts, bool complete);
  /// This gateway follows the cache no longer.
  void forgetOwn(const std::string& backend);
  /// @return whether takeNotes() has anything.
  bool hasNotes() const;
  /// @return what the other gateways of the zone are to hear, in datagrams of bounded size.
  std::vector<CacheNotes> takeNotes();
  /// Another gateway asks for the whole of a cache. @return the answer; empty if this gateway does not follow
  /// it.
  std::vector<CacheNotes> onWanted(const CacheWanted& wanted) const;

  ReceivedCacheNotes onNotes(const std::string& sender, const CacheNotes& notes, TimePoint now);
  /// Forgets all back ends but these.
  void retain(const std::set<std::string>& present);

private:
  using part_key = std::tuple<std::string, std::string, std::uint64_t>;  ///< Scope, model, part.
  /// A cache that this gateway follows.
  struct OwnCache {
    std::uint64_t sequence = 0;
    std::map<part_key, std::uint32_t> tokens;
    std::vector<CacheNotePart> pending;
    bool pending_complete = false;
  };
  /// A cache that another gateway follows.
  struct ToldCache {
    std::string sender;
    std::uint64_t sequence = 0;
    TimePoint asked_at{};
  };

  bool misses(ToldCache& known, const std::string& sender, const CacheNote& note, TimePoint now);

  std::map<std::string, OwnCache> own_;
  std::map<std::string, ToldCache> told_;
};

/// @return the member that follows the back end's cache: the same for all that know the same members.
std::string followerOf(const std::string& backend, const std::vector<std::string>& members);

}  // namespace crankspur::gateway
