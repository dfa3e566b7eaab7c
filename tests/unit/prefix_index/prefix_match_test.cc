#include <catch2/catch.hpp>
#include <map>

#include "base/random.h"
#include "prefix_index/prefix_index.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

constexpr EngineSlot kEngines = 40;
constexpr std::size_t kHeadBlocks = 24;
constexpr std::size_t kTailBlocks = 12;

/// Reference implementation of the index without its data structures: one record for each block and engine.
class ReferenceIndex {
public:
  void clear(EngineSlot engine) { held_[engine].clear(); }
  void store(EngineSlot engine, std::span<const BlockHash> blocks, bool optimistic, TimePoint now) {
    for (const BlockHash block : blocks) {
      const auto known = held_[engine].find(block);
      const bool confirmed = known != held_[engine].end() && !known->second.optimistic;
      held_[engine][block] = {optimistic && !confirmed, now};
    }
  }
  void remove(EngineSlot engine, BlockHash block, TimePoint now) {
    const auto known = held_[engine].find(block);
    if (known == held_[engine].end()) return;
    if (!known->second.optimistic || !countsAsCached(known->second, now)) held_[engine].erase(known);
  }
  PrefixMatch prefix(EngineSlot engine, std::span<const BlockHash> blocks, TimePoint now) const {
    PrefixMatch found{engine, 0, 0};
    for (const BlockHash block : blocks) {
      const auto held = held_[engine].find(block);
      if (held == held_[engine].end() || !countsAsCached(held->second, now)) break;
      const bool confirmed = found.confirmed_blocks == found.blocks && !held->second.optimistic;
      found.confirmed_blocks += confirmed ? 1 : 0;
      ++found.blocks;
    }
    return found;
  }

private:
  struct Record {
    bool optimistic = false;
    TimePoint stored_at{};
  };
  static bool countsAsCached(const Record& record, TimePoint now) {
    return !record.optimistic || record.stored_at + kOptimisticLifetime > now;
  }
  std::vector<std::map<BlockHash, Record>> held_ = std::vector<std::map<BlockHash, Record>>(kEngines);
};

/// An index and its reference, which receive the same random updates for prompts that share leading blocks.
class IndexPair {
public:
  explicit IndexPair(std::uint64_t seed) : random_(seed), sequence_(kEngines, 0), incarnation_(kEngines, 1) {
    for (EngineSlot engine = 0; engine < kEngines; ++engine) index_->setIncarnation(engine, 1);
    for (int head = 0; head < 2; ++head) {
      const std::vector<BlockHash> blocks = randomBlocks(kHeadBlocks);
      for (int tail = 0; tail < 3; ++tail) {
        prompts_.push_back(blocks);
        const std::vector<BlockHash> rest = randomBlocks(kTailBlocks);
        prompts_.back().insert(prompts_.back().end(), rest.begin(), rest.end());
      }
    }
  }
  void step() {
    // Time advances by whole ticks of the index, so that updates made at one time, such as the blocks of one
    // placement, share a tick.
    if (random_.chance(0.05)) now_ += random_.uniform(1, 20) * 100ms;
    const auto engine = static_cast<EngineSlot>(random_.uniform(0, kEngines - 1));
    const std::vector<BlockHash>& prompt = prompts_[random_.uniform(0, prompts_.size() - 1)];
    const auto part = std::span(prompt).first(random_.uniform(1, prompt.size()));
    const double kind = random_.unit();
    if (kind < 0.02) return restart(engine);
    if (kind < 0.3) return place(engine, part);
    if (kind < 0.6) return respond(engine, part);
    removeSome(engine, prompt);
  }
  void compare() const {
    for (const std::vector<BlockHash>& prompt : prompts_) {
      std::vector<PrefixMatch> expected;
      for (EngineSlot engine = 0; engine < kEngines; ++engine) {
        const PrefixMatch match = reference_.prefix(engine, prompt, now_);
        if (match.blocks > 0) expected.push_back(match);
      }
      std::stable_sort(
          expected.begin(), expected.end(),
          [](const PrefixMatch& left, const PrefixMatch& right) { return left.blocks > right.blocks; });
      const std::vector<PrefixMatch> found = index_->match(prompt, now_);
      REQUIRE(found.size() == expected.size());
      for (std::size_t rank = 0; rank < found.size(); ++rank) {
        REQUIRE(found[rank].engine == expected[rank].engine);
        REQUIRE(found[rank].blocks == expected[rank].blocks);
        REQUIRE(found[rank].confirmed_blocks == expected[rank].confirmed_blocks);
      }
    }
  }

private:
  std::vector<BlockHash> randomBlocks(std::size_t count) {
    std::vector<BlockHash> blocks;
    while (blocks.size() < count) blocks.push_back(random_.bits());
    return blocks;
  }
  void restart(EngineSlot engine) {
    index_->setIncarnation(engine, ++incarnation_[engine]);
    reference_.clear(engine);
    sequence_[engine] = 0;
  }
  void place(EngineSlot engine, std::span<const BlockHash> blocks) {
    index_->recordPlacement(engine, incarnation_[engine], blocks, now_);
    reference_.store(engine, blocks, true, now_);
  }
  void respond(EngineSlot engine, std::span<const BlockHash> blocks) {
    index_->correct(engine, incarnation_[engine], blocks, 0, now_);
    reference_.store(engine, blocks, false, now_);
  }
  /// Removes the end of a prefix, as engines do, or occasionally a single block within it.
  void removeSome(EngineSlot engine, const std::vector<BlockHash>& prompt) {
    const std::size_t from = random_.uniform(0, prompt.size() - 1);
    const std::size_t to = random_.chance(0.2) ? from + 1 : prompt.size();
    CacheEvent event{++sequence_[engine], {}, {}};
    event.removed.assign(prompt.begin() + static_cast<std::ptrdiff_t>(from),
                         prompt.begin() + static_cast<std::ptrdiff_t>(to));
    REQUIRE(index_->applyEvent(engine, incarnation_[engine], event, now_));
    for (const BlockHash block : event.removed) reference_.remove(engine, block, now_);
  }

  RandomSource random_;
  std::unique_ptr<PrefixIndex> index_ = makePrefixIndex(100'000);
  ReferenceIndex reference_;
  std::vector<std::vector<BlockHash>> prompts_;
  std::vector<std::uint64_t> sequence_;
  std::vector<std::uint64_t> incarnation_;
  TimePoint now_{Duration(1'000'000'000)};
};

}  // namespace

TEST_CASE("match agrees with the reference implementation under random updates", "[prefix_index]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    IndexPair pair(seed);
    for (int step = 0; step < 600; ++step) {
      pair.step();
      if (step % 5 == 0) pair.compare();
    }
  }
}
