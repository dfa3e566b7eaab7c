#include "gateway_control/cache_exchange.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur::gateway {
namespace {

/// Parts per datagram. At about 60 bytes each they stay far below the maximum datagram size.
constexpr std::size_t kPartsInDatagram = 400;
/// The complete content of one cache is requested at most once per interval.
constexpr Duration kRequestInterval = std::chrono::seconds(1);

/// Packs notes into datagrams of bounded size.
class NotePacker {
public:
  void add(const std::string& backend, std::uint64_t sequence, bool complete, const CacheNotePart* part) {
    const bool full = !datagrams_.empty() && parts_ >= kPartsInDatagram;
    if (datagrams_.empty() || full) {
      datagrams_.emplace_back();
      parts_ = 0;
    }
    std::vector<CacheNote>& notes = datagrams_.back().notes;
    const bool same = !notes.empty() && notes.back().backend == backend && notes.back().sequence == sequence;
    if (!same) notes.push_back({backend, sequence, complete, {}});
    ++parts_;
    if (part != nullptr) notes.back().parts.push_back(*part);
  }
  /// @return whether the next part starts a new datagram.
  bool isFull() const { return !datagrams_.empty() && parts_ >= kPartsInDatagram; }
  std::vector<CacheNotes> take() { return std::move(datagrams_); }

private:
  std::vector<CacheNotes> datagrams_;
  std::size_t parts_ = 0;
};

}  // namespace

// Caches that this gateway follows.

void CacheExchange::onOwnUpdate(const std::string& backend, const std::vector<CachedPart>& parts,
                                bool complete) {
  OwnCache& own = own_[backend];
  remote_.erase(backend);
  if (complete) {
    own.tokens.clear();
    own.pending.clear();
    own.pending_complete = true;
  }
  for (const CachedPart& part : parts) {
    const part_key key{part.scope, part.model, part.part};
    if (part.tokens == 0) {
      own.tokens.erase(key);
    } else {
      own.tokens[key] = part.tokens;
    }
    own.pending.push_back({part.scope, part.model, part.part, part.tokens});
  }
}

void CacheExchange::removeOwn(const std::string& backend) {
  own_.erase(backend);
}

bool CacheExchange::hasNotes() const {
  return std::any_of(own_.begin(), own_.end(), [](const auto& item) {
    return !item.second.pending.empty() || item.second.pending_complete;
  });
}

std::vector<CacheNotes> CacheExchange::takeNotes() {
  NotePacker packer;
  for (auto& [backend, own] : own_) {
    if (own.pending.empty() && !own.pending_complete) continue;
    ++own.sequence;
    bool complete = std::exchange(own.pending_complete, false);
    if (own.pending.empty()) packer.add(backend, own.sequence, complete, nullptr);
    for (const CacheNotePart& part : std::exchange(own.pending, {})) {
      // Each datagram has its own sequence number, so that the loss of any one is detected.
      if (packer.isFull()) ++own.sequence;
      packer.add(backend, own.sequence, complete, &part);
      complete = complete && !packer.isFull();
    }
  }
  return packer.take();
}

std::vector<CacheNotes> CacheExchange::onWanted(const CacheWanted& wanted) const {
  NotePacker packer;
  const auto found = own_.find(wanted.backend);
  if (found == own_.end()) return {};
  const OwnCache& own = found->second;
  bool complete = true;
  if (own.tokens.empty()) packer.add(wanted.backend, own.sequence, complete, nullptr);
  for (const auto& [key, tokens] : own.tokens) {
    const auto& [scope, model, part] = key;
    const CacheNotePart note_part{scope, model, part, tokens};
    packer.add(wanted.backend, own.sequence, complete, &note_part);
    complete = complete && !packer.isFull();
  }
  return packer.take();
}

// Caches that other gateways follow.

bool CacheExchange::needsCompleteContent(RemoteCache& known, const std::string& sender, const CacheNote& note,
                                         TimePoint now) {
  const bool in_sequence = known.sender == sender && note.sequence <= known.sequence + 1;
  known.sender = sender;
  known.sequence = std::max(note.sequence, in_sequence ? known.sequence : note.sequence);
  if (in_sequence || note.complete) return false;
  const bool requested_recently =
      known.requested_at != TimePoint{} && now - known.requested_at < kRequestInterval;
  if (!requested_recently) known.requested_at = now;
  return !requested_recently;
}

ReceivedCacheNotes CacheExchange::onNotes(const std::string& sender, const CacheNotes& notes, TimePoint now) {
  ReceivedCacheNotes received;
  for (const CacheNote& note : notes.notes) {
    if (own_.contains(note.backend)) continue;  // This gateway's own view is newer.
    RemoteCache& known = remote_[note.backend];
    const bool outdated = known.sender == sender && note.sequence < known.sequence && !note.complete;
    if (outdated) continue;
    if (needsCompleteContent(known, sender, note, now)) received.wanted.push_back({note.backend});
    ReceivedCacheUpdate update;
    update.backend = note.backend;
    update.complete = note.complete;
    for (const CacheNotePart& part : note.parts) {
      update.parts.push_back({part.scope, part.model, part.part, part.tokens});
    }
    received.updates.push_back(std::move(update));
  }
  return received;
}

void CacheExchange::retain(const std::set<std::string>& present) {
  const auto absent = [&present](const auto& item) { return !present.contains(item.first); };
  std::erase_if(own_, absent);
  std::erase_if(remote_, absent);
}

std::string followerOf(const std::string& backend, const std::vector<std::string>& members) {
  std::string best;
  std::uint64_t highest = 0;
  for (const std::string& member : members) {
    const std::uint64_t weight = hashBytes(backend, hashBytes(member));
    const bool better = best.empty() || weight > highest || (weight == highest && member < best);
    if (!better) continue;
    best = member;
    highest = weight;
  }
  return best;
}

}  // namespace crankspur::gateway
