#pragma once
/// @file Distributes cache updates between the gateways of a zone, so that each back end's cache is followed
/// by only one of them. Pure decision code: datagrams may be lost, duplicated and reordered.
///
/// The gateway that follows a cache numbers its notes. A receiver that detects a gap requests the complete
/// content from the sender. Until it arrives, later notes are still applied, since each states what the cache
/// holds rather than a difference.

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

/// An update of a back end's cache from another gateway.
struct ReceivedCacheUpdate {
  std::string backend;
  bool complete = false;
  std::vector<CachedPart> parts;
};

/// Result of processing received notes.
struct ReceivedCacheNotes {
  std::vector<ReceivedCacheUpdate> updates;
  std::vector<CacheWanted> wanted;  ///< Requests to return to the sender of the notes.
};

/// The exchange of one gateway. Not thread-safe.
class CacheExchange {
public:
  /// An update of a cache that this gateway follows.
  void onOwnUpdate(const std::string& backend, const std::vector<CachedPart>& parts, bool complete);
  /// This gateway has stopped following the cache.
  void removeOwn(const std::string& backend);
  /// @return whether takeNotes() would return anything.
  bool hasNotes() const;
  /// Takes the pending notes.
  /// @return the notes for the other gateways of the zone, in datagrams of bounded size.
  std::vector<CacheNotes> takeNotes();
  /// Another gateway requests the complete content of a cache.
  /// @return the response; empty if this gateway does not follow the cache.
  std::vector<CacheNotes> onWanted(const CacheWanted& wanted) const;

  ReceivedCacheNotes onNotes(const std::string& sender, const CacheNotes& notes, TimePoint now);
  /// Removes the state of all back ends except those in `present`.
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
  struct RemoteCache {
    std::string sender;
    std::uint64_t sequence = 0;
    TimePoint requested_at{};
  };

  bool needsCompleteContent(RemoteCache& known, const std::string& sender, const CacheNote& note,
                            TimePoint now);

  std::map<std::string, OwnCache> own_;
  std::map<std::string, RemoteCache> remote_;
};

/// @return the member that follows the back end's cache; the same on all gateways with the same member list.
std::string followerOf(const std::string& backend, const std::vector<std::string>& members);

}  // namespace crankspur::gateway
