#include "standins/engine/block_cache.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace crankspur::standin {

std::uint32_t BlockCache::cachedPrefixLength(std::span<const BlockHash> blocks) const {
  std::uint32_t held = 0;
  while (held < blocks.size() && entries_.contains(blocks[held])) ++held;
  return held;
}

bool BlockCache::fits(std::span<const BlockHash> leading, std::uint32_t others) const {
  std::size_t in_use = entries_.size() - unused_.size();
  for (const BlockHash block : leading) {
    const auto found = entries_.find(block);
    if (found != entries_.end() && found->second.references == 0) ++in_use;
  }
  return in_use + reserved_ + others <= capacity_;
}

void BlockCache::acquire(std::span<const BlockHash> blocks) {
  for (const BlockHash block : blocks) {
    Entry& entry = entries_.at(block);
    if (entry.references++ == 0) unused_.erase(entry.recency);
  }
}

void BlockCache::reserve(std::uint32_t blocks) {
  evictToFit(blocks);
  reserved_ += blocks;
}

void BlockCache::releaseReserved(std::uint32_t blocks) {
  assert(blocks <= reserved_);
  reserved_ -= blocks;
}

void BlockCache::store(BlockHash block, const BlockWriter& writer) {
  releaseReserved(1);
  const auto [position, inserted] = entries_.try_emplace(block);
  Entry& entry = position->second;
  if (inserted) {
    entry.writer = writer;
    stored_.push_back(block);
  } else if (entry.references == 0) {
    unused_.erase(entry.recency);
  }
  ++entry.references;
}

void BlockCache::release(std::span<const BlockHash> blocks) {
  for (std::size_t index = blocks.size(); index > 0; --index) {
    const BlockHash block = blocks[index - 1];
    Entry& entry = entries_.at(block);
    if (--entry.references > 0) continue;
    entry.recency = unused_.insert(unused_.end(), block);
    if (entry.dropped) erase(block);
  }
}

void BlockCache::dropModel(const std::string& model) {
  std::vector<BlockHash> unused;
  for (auto& [block, entry] : entries_) {
    if (entry.writer.scope->model != model) continue;
    entry.dropped = true;
    if (entry.references == 0) unused.push_back(block);
  }
  std::sort(unused.begin(), unused.end());
  for (const BlockHash block : unused) erase(block);
}

const BlockWriter* BlockCache::writer(BlockHash block) const {
  const auto found = entries_.find(block);
  return found == entries_.end() ? nullptr : &found->second.writer;
}

std::vector<BlockHash> BlockCache::blocks() const {
  std::vector<BlockHash> blocks;
  blocks.reserve(entries_.size());
  for (const auto& [block, entry] : entries_) blocks.push_back(block);
  std::sort(blocks.begin(), blocks.end());
  return blocks;
}

std::vector<BlockHash> BlockCache::takeStored() {
  return std::exchange(stored_, {});
}

std::vector<BlockHash> BlockCache::takeRemoved() {
  return std::exchange(removed_, {});
}

void BlockCache::evictToFit(std::uint32_t blocks) {
  while (used() + blocks > capacity_ && !unused_.empty()) {
    erase(unused_.front());
    ++evicted_;
  }
}

void BlockCache::erase(BlockHash block) {
  const auto found = entries_.find(block);
  unused_.erase(found->second.recency);
  entries_.erase(found);
  removed_.push_back(block);
}

}  // namespace crankspur::standin
