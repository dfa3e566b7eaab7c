#include "prefix_index/prefix_index.h"

#include <catch2/catch.hpp>

#include "base/random.h"

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{Duration(1'000'000'000)};

std::vector<BlockHash> promptOf(const CacheScope& scope, std::size_t blocks) {
  std::string prompt;
  for (std::size_t block = 0; block < blocks; ++block) {
    prompt += std::string(kBytesPerBlock, static_cast<char>('a' + block % 26));
  }
  return hashBlocks(scope.seed(), prompt);
}

const CacheScope kScope{"yard", "large", "", "w1"};

std::uint32_t blocksAt(const PrefixIndex& index, std::span<const BlockHash> blocks, EngineSlot engine,
                       TimePoint now) {
  for (const PrefixMatch& match : index.match(blocks, now)) {
    if (match.engine == engine) return match.blocks;
  }
  return 0;
}

}  // namespace

TEST_CASE("entries of a dead incarnation never match again", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 4);
  index->setIncarnation(3, 7);
  CHECK(index->applyEvent(3, 7, {1, blocks, {}}, kStart));
  REQUIRE(blocksAt(*index, blocks, 3, kStart) == 4);

  index->setIncarnation(3, 8);
  CHECK(index->match(blocks, kStart).empty());
  CHECK(index->size() == 0);

  SECTION("late updates for the dead incarnation are ignored") {
    index->recordPlacement(3, 7, blocks, kStart);
    index->applyEvent(3, 7, {2, blocks, {}}, kStart);
    index->applyDigest(3, 7, 9, blocks, kStart);
    index->correct(3, 7, blocks, 4, kStart);
    CHECK(index->match(blocks, kStart).empty());
  }
  SECTION("setting the old incarnation again does not restore them") {
    index->setIncarnation(3, 7);
    CHECK(index->match(blocks, kStart).empty());
  }
  SECTION("the new incarnation starts its own sequence") {
    CHECK(index->applyEvent(3, 8, {1, {blocks[0]}, {}}, kStart));
    CHECK(blocksAt(*index, blocks, 3, kStart) == 1);
  }
}

TEST_CASE("entries stay dead when generation numbers wrap around", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 2);
  index->setIncarnation(0, 1);
  index->correct(0, 1, blocks, 0, kStart);
  for (std::uint64_t incarnation = 2; incarnation <= 65'537 + 1; ++incarnation) {
    index->setIncarnation(0, incarnation);
  }
  CHECK(index->match(blocks, kStart).empty());
}

TEST_CASE("updates for a removed engine are ignored until its incarnation is set", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 2);
  index->setIncarnation(1, 5);
  index->correct(1, 5, blocks, 0, kStart);
  index->forgetEngine(1);
  index->correct(1, 5, blocks, 0, kStart);
  CHECK(index->match(blocks, kStart).empty());
}

TEST_CASE("blocks of another tenant, adapter or weights version never match", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  index->setIncarnation(0, 1);
  index->correct(0, 1, promptOf(kScope, 4), 0, kStart);
  const CacheScope others[] = {{"camp", "large", "", "w1"},
                               {"yard", "small", "", "w1"},
                               {"yard", "large", "legal", "w1"},
                               {"yard", "large", "", "w0"}};
  for (const CacheScope& other : others) CHECK(index->match(promptOf(other, 4), kStart).empty());
}

TEST_CASE("a sequence gap is reported and a digest repairs it", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 5);
  index->setIncarnation(2, 1);
  CHECK(index->applyEvent(2, 1, {1, {blocks[0], blocks[1]}, {}}, kStart));
  CHECK_FALSE(index->applyEvent(2, 1, {4, {blocks[3]}, {}}, kStart));
  CHECK(blocksAt(*index, blocks, 2, kStart) == 2);

  index->applyDigest(2, 1, 6, std::vector<BlockHash>(blocks.begin(), blocks.begin() + 4), kStart);
  CHECK(blocksAt(*index, blocks, 2, kStart) == 4);
  SECTION("events before the digest are ignored, the next one is in order") {
    CHECK(index->applyEvent(2, 1, {5, {}, {blocks[0]}}, kStart));
    CHECK(blocksAt(*index, blocks, 2, kStart) == 4);
    CHECK(index->applyEvent(2, 1, {7, {blocks[4]}, {}}, kStart));
    CHECK(blocksAt(*index, blocks, 2, kStart) == 5);
  }
  SECTION("an older digest does not undo newer events") {
    index->applyDigest(2, 1, 3, {}, kStart);
    CHECK(blocksAt(*index, blocks, 2, kStart) == 4);
  }
}

TEST_CASE("optimistic entries expire unless they are confirmed", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 3);
  index->setIncarnation(0, 1);
  index->recordPlacement(0, 1, blocks, kStart);
  CHECK(blocksAt(*index, blocks, 0, kStart + kOptimisticLifetime - 1s) == 3);
  CHECK(blocksAt(*index, blocks, 0, kStart + kOptimisticLifetime) == 0);

  index->applyEvent(0, 1, {1, {blocks[0], blocks[1]}, {}}, kStart + 1s);
  CHECK(blocksAt(*index, blocks, 0, kStart + kOptimisticLifetime) == 2);
}

TEST_CASE("a late removal does not hide blocks that a placement is creating", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 3);
  index->setIncarnation(0, 1);
  index->recordPlacement(0, 1, blocks, kStart);
  index->applyEvent(0, 1, {1, {}, blocks}, kStart);
  CHECK(blocksAt(*index, blocks, 0, kStart) == 3);
  index->correct(0, 1, blocks, 0, kStart);
  index->applyEvent(0, 1, {2, {}, {blocks[1]}}, kStart);
  CHECK(blocksAt(*index, blocks, 0, kStart) == 1);
}

TEST_CASE("only leading blocks count, longest prefix first", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 6);
  for (EngineSlot engine = 0; engine < 3; ++engine) index->setIncarnation(engine, 1);
  index->correct(0, 1, std::span(blocks).first(2), 0, kStart);
  index->correct(1, 1, std::span(blocks).first(5), 0, kStart);
  index->applyEvent(2, 1, {1, {blocks[1], blocks[2]}, {}}, kStart);
  const auto matches = index->match(blocks, kStart);
  REQUIRE(matches.size() == 2);
  CHECK(matches[0].engine == 1);
  CHECK(matches[0].blocks == 5);
  CHECK(matches[1].blocks == 2);
}

TEST_CASE("a full index evicts dead and old entries and stays within its capacity", "[prefix_index]") {
  auto index = makePrefixIndex(256);
  RandomSource random(1);
  index->setIncarnation(0, 1);
  index->setIncarnation(1, 1);
  std::vector<BlockHash> hot;
  for (int block = 0; block < 64; ++block) hot.push_back(random.bits());
  for (int round = 0; round < 200; ++round) {
    const TimePoint now = kStart + round * 1s;
    std::vector<BlockHash> cold;
    for (int block = 0; block < 32; ++block) cold.push_back(random.bits());
    index->correct(0, 1, hot, 0, now);
    index->correct(1, 1, cold, 0, now);
    CHECK(index->size() <= 256);
  }
  CHECK(blocksAt(*index, hot, 0, kStart + 200s) == 64);
}

TEST_CASE("the index agrees with a reference model under random events", "[prefix_index]") {
  RandomSource random(42);
  auto index = makePrefixIndex(4096);
  constexpr EngineSlot kEngines = 4;
  std::vector<std::vector<bool>> held(kEngines, std::vector<bool>(64, false));
  std::vector<std::uint64_t> sequence(kEngines, 0);
  std::vector<std::uint64_t> incarnation(kEngines, 1);
  for (EngineSlot engine = 0; engine < kEngines; ++engine) index->setIncarnation(engine, 1);
  const auto blocks = promptOf(kScope, 64);
  for (int step = 0; step < 20'000; ++step) {
    const auto engine = static_cast<EngineSlot>(random.uniform(0, kEngines - 1));
    const std::size_t block = random.uniform(0, 63);
    if (random.chance(0.002)) {
      index->setIncarnation(engine, ++incarnation[engine]);
      held[engine].assign(64, false);
      sequence[engine] = 0;
      continue;
    }
    const bool store = random.chance(0.7);
    CacheEvent event{++sequence[engine], {}, {}};
    (store ? event.stored : event.removed).push_back(blocks[block]);
    index->applyEvent(engine, incarnation[engine], event, kStart);
    held[engine][block] = store;
    std::uint32_t expected = 0;
    while (expected < 64 && held[engine][expected]) ++expected;
    REQUIRE(blocksAt(*index, blocks, engine, kStart) == expected);
  }
}

TEST_CASE("a block may gain and lose many holders", "[prefix_index]") {
  auto index = makePrefixIndex(1000);
  const auto blocks = promptOf(kScope, 3);
  for (EngineSlot engine = 0; engine < 100; ++engine) {
    index->setIncarnation(engine, 1);
    index->correct(engine, 1, blocks, 0, kStart);
  }
  CHECK(index->match(blocks, kStart).size() == 100);
  CHECK(index->size() == 300);
  for (EngineSlot engine = 0; engine < 99; ++engine) {
    index->applyEvent(engine, 1, {1, {}, {blocks[0]}}, kStart);
  }
  REQUIRE(index->match(blocks, kStart).size() == 1);
  CHECK(index->match(blocks, kStart)[0].engine == 99);
  CHECK(index->size() == 201);
}

TEST_CASE("prefixes of different lengths are matched when many engines hold the first block",
          "[prefix_index]") {
  auto index = makePrefixIndex(10'000);
  const auto blocks = promptOf(kScope, 60);
  for (EngineSlot engine = 0; engine < 60; ++engine) {
    index->setIncarnation(engine, 1);
    index->correct(engine, 1, std::span(blocks).first(engine + 1U), 0, kStart);
  }
  for (EngineSlot engine = 0; engine < 60; ++engine) {
    CHECK(blocksAt(*index, blocks, engine, kStart) == engine + 1U);
  }
  CHECK(blocksAt(*index, std::span(blocks).first(7), 59, kStart) == 7);
}

TEST_CASE("618,000 blocks fit into 20 MB", "[prefix_index]") {
  auto index = makePrefixIndex(618'000);
  RandomSource random(3);
  for (EngineSlot engine = 0; engine < 16; ++engine) index->setIncarnation(engine, 1);
  while (index->size() < 617'000) {
    std::vector<BlockHash> prompt;
    for (int block = 0; block < 100; ++block) prompt.push_back(random.bits());
    const std::uint64_t holders = random.chance(0.2) ? random.uniform(2, 16) : 1;
    for (EngineSlot engine = 0; engine < holders; ++engine) index->correct(engine, 1, prompt, 0, kStart);
  }
  CHECK(index->memoryBytes() < 20'000'000);
}
