#include "router/zone_sharing.h"

#include <algorithm>

#include "base/hash.h"

namespace crankspur {

namespace {

/// Estimated bytes on the wire: of a frame with its TCP and IP headers, of one engine's load, of one block.
constexpr double kFrameBytes = 100;
constexpr double kLoadBytes = 34;
constexpr double kBlockBytes = 10;
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(200);
constexpr Duration kMaxDigestInterval = std::chrono::seconds(5);
/// Slots of the table of store counts per block.
constexpr std::size_t kBlockCountSlots = 1 << 16;
/// Limits per engine of pending blocks and of announced blocks.
constexpr std::size_t kMaxPendingBlocks = 1024;
constexpr std::size_t kMaxAnnouncedBlocks = 8192;
constexpr Duration kSummaryInterval = std::chrono::seconds(1);
/// Unused allowance accumulates for at most this many seconds.
constexpr double kAllowanceSeconds = 5;

}  // namespace

std::string ownerOf(const std::string& engine, const std::vector<std::string>& routers) {
  std::string owner;
  std::uint64_t best_score = 0;
  const std::uint64_t engine_hash = hashBytes(engine);
  for (const std::string& router : routers) {
    const std::uint64_t score = combineHashes(engine_hash, hashBytes(router));
    const bool better = owner.empty() || score > best_score || (score == best_score && router < owner);
    if (!better) continue;
    best_score = score;
    owner = router;
  }
  return owner;
}

std::vector<std::string> liveMembersInRegion(const std::vector<MemberRecord>& members,
                                             const std::string& region) {
  std::vector<std::string> names;
  for (const MemberRecord& member : members) {
    if (member.region == region && member.state == MemberState::Alive) names.push_back(member.name);
  }
  return names;
}

std::optional<LoadDigest> LoadSharing::due(const std::vector<EngineView>& owned, std::size_t receivers,
                                           TimePoint now) {
  if (now < next_at_ || owned.empty() || receivers == 0) return std::nullopt;
  const double bytes = kFrameBytes + kLoadBytes * static_cast<double>(owned.size());
  const double seconds = bytes * static_cast<double>(receivers) / bytes_per_second_;
  const Duration interval(static_cast<Duration::rep>(seconds * 1e6));
  next_at_ = now + std::clamp(interval, kMinDigestInterval, kMaxDigestInterval);
  LoadDigest digest;
  digest.sender = self_;
  for (const EngineView& engine : owned) {
    EngineLoad load;
    load.engine = engine.name;
    load.engine_incarnation = engine.incarnation;
    load.queued_tokens = engine.load.queued_tokens;
    load.running = engine.load.running_requests;
    const auto age = std::max(Duration(0), now - engine.load.measured_at);
    load.age_milliseconds = static_cast<std::uint32_t>(age / std::chrono::milliseconds(1));
    digest.loads.push_back(std::move(load));
  }
  return digest;
}

CacheSharing::CacheSharing(double bytes_per_second)
    : bytes_per_second_(bytes_per_second), block_counts_(kBlockCountSlots) {}

bool CacheSharing::countStore(BlockHash hash) {
  BlockCount& slot = block_counts_[hash % kBlockCountSlots];
  const auto tag = static_cast<std::uint32_t>(hash >> 32U);
  if (slot.tag == tag) return ++slot.count >= 2;
  // A frequently stored block keeps its slot for some time when another block maps to it.
  if (slot.count > 1) {
    slot.count /= 2;
    return false;
  }
  slot = {tag, 1};
  return false;
}

void CacheSharing::onEvents(const std::string& engine, std::uint64_t incarnation,
                            const std::vector<CacheEvent>& events) {
  Stream& stream = streams_[engine];
  if (stream.incarnation != incarnation) {
    stream = Stream();
    stream.incarnation = incarnation;
  }
  for (const CacheEvent& event : events) {
    stream.sequence = std::max(stream.sequence, event.sequence);
    for (const BlockHash hash : event.stored) onStored(stream, hash);
    for (const BlockHash hash : event.removed) onRemoved(stream, hash);
  }
}

void CacheSharing::onStored(Stream& stream, BlockHash hash) {
  if (!countStore(hash) || stream.announced.contains(hash)) return;
  const bool full =
      stream.stored.size() >= kMaxPendingBlocks || stream.announced.size() >= kMaxAnnouncedBlocks;
  if (full) return;
  stream.announced.insert(hash);
  stream.stored.push_back(hash);
}

void CacheSharing::onRemoved(Stream& stream, BlockHash hash) {
  if (stream.announced.erase(hash) == 0) return;
  const auto pending = std::find(stream.stored.begin(), stream.stored.end(), hash);
  if (pending != stream.stored.end()) {
    stream.stored.erase(pending);
  } else {
    stream.removed.push_back(hash);
  }
}

std::vector<CacheSummary> CacheSharing::due(std::size_t receivers, TimePoint now) {
  std::vector<CacheSummary> summaries;
  if (now - last_due_ < kSummaryInterval || receivers == 0) return summaries;
  const double elapsed = std::min(toSeconds(now - last_due_), kAllowanceSeconds);
  last_due_ = now;
  allowance_ = std::min(allowance_ + elapsed * bytes_per_second_, kAllowanceSeconds * bytes_per_second_);
  const double per_block = kBlockBytes * static_cast<double>(receivers);
  for (auto& [engine, stream] : streams_) {
    const double after_frame = allowance_ - kFrameBytes * static_cast<double>(receivers);
    const bool empty = stream.stored.empty() && stream.removed.empty();
    if (empty || after_frame < per_block) continue;
    auto blocks_left = static_cast<std::size_t>(after_frame / per_block);
    CacheSummary summary{engine, stream.incarnation, stream.sequence, {}, {}};
    const auto move_blocks = [&blocks_left](std::vector<BlockHash>& from, std::vector<std::uint64_t>& to) {
      const auto count = static_cast<std::ptrdiff_t>(std::min(blocks_left, from.size()));
      to.assign(from.begin(), from.begin() + count);
      from.erase(from.begin(), from.begin() + count);
      blocks_left -= static_cast<std::size_t>(count);
    };
    // Removals take precedence, because a stale entry at a receiver costs more than a missing one.
    move_blocks(stream.removed, summary.removed);
    move_blocks(stream.stored, summary.stored);
    const auto blocks = static_cast<double>(summary.stored.size() + summary.removed.size());
    allowance_ -= (kFrameBytes * static_cast<double>(receivers)) + per_block * blocks;
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

void CacheSharing::keepOnly(const std::set<std::string>& engines) {
  std::erase_if(streams_, [&engines](const auto& item) { return !engines.contains(item.first); });
}

}  // namespace crankspur
