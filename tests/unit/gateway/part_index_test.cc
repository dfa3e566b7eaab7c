#include "gateway/part_index.h"

#include <catch2/catch.hpp>
#include <map>

#include "base/random.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

constexpr std::uint64_t kIncarnation = 7;

/// An index with engines 1 to 4.
PartIndex makeIndex(std::size_t max_entries = 100) {
  PartIndex index(max_entries);
  for (EngineSlot engine = 1; engine <= 4; ++engine) index.setIncarnation(engine, kIncarnation);
  return index;
}

std::map<EngineSlot, std::uint32_t> held(const PartIndex& index, const std::vector<KeyedPart>& prompt) {
  std::map<EngineSlot, std::uint32_t> tokens;
  for (const HeldPrefix& match : index.match(prompt)) tokens[match.engine] = match.tokens;
  return tokens;
}

const std::vector<KeyedPart> kPrompt = {{10, 320}, {20, 160}, {30, 100}};

}  // namespace

TEST_CASE("a prefix extends into a part only if all previous parts are complete", "[gateway][part_index]") {
  PartIndex index = makeIndex();
  index.set(1, kIncarnation, {10, 320});
  index.set(1, kIncarnation, {20, 64});
  index.set(1, kIncarnation, {30, 100});
  index.set(2, kIncarnation, {10, 304});
  index.set(2, kIncarnation, {20, 160});
  index.set(3, kIncarnation, {20, 160});
  for (const KeyedPart& part : kPrompt) index.set(4, kIncarnation, part);
  CHECK(held(index, kPrompt) == std::map<EngineSlot, std::uint32_t>{{1, 384}, {2, 304}, {4, 580}});
  const std::vector<HeldPrefix> matches = index.match(kPrompt);
  REQUIRE(matches.size() == 3);
  CHECK(matches[0].engine == 4);
  CHECK(matches[1].engine == 1);
  CHECK(matches[2].engine == 2);
}

TEST_CASE("a part that lacks less than a block counts as complete", "[gateway][part_index]") {
  PartIndex index = makeIndex();
  index.set(1, kIncarnation, {30, 97});
  index.set(2, kIncarnation, {30, 96});
  const std::vector<KeyedPart> prompt = {{30, 100}, {10, 320}};
  index.set(1, kIncarnation, {10, 320});
  index.set(2, kIncarnation, {10, 320});
  CHECK(held(index, prompt) == std::map<EngineSlot, std::uint32_t>{{1, 420}, {2, 96}});
}

TEST_CASE("parts that an engine evicted or that its previous incarnation held are not found",
          "[gateway][part_index]") {
  PartIndex index = makeIndex();
  for (EngineSlot engine = 1; engine <= 3; ++engine) index.set(engine, kIncarnation, {10, 320});
  index.set(1, kIncarnation, {10, 0});
  index.setIncarnation(2, kIncarnation + 1);
  index.set(2, kIncarnation, {10, 320});  // Late update from the previous incarnation.
  index.clear(2, kIncarnation);
  CHECK(held(index, kPrompt) == std::map<EngineSlot, std::uint32_t>{{3, 320}});
  index.clear(3, kIncarnation);
  CHECK(held(index, kPrompt).empty());
  CHECK(index.size() == 0);
}

TEST_CASE("parts of other weights, another model or an isolated tenant have other keys",
          "[gateway][part_index]") {
  const std::uint64_t key = partKey(cacheScope("1", ""), "model", 10);
  CHECK(partKey(cacheScope("2", ""), "model", 10) != key);
  CHECK(partKey(cacheScope("1", "tenant"), "model", 10) != key);
  CHECK(partKey(cacheScope("1", ""), "other", 10) != key);
  const std::vector<KeyedPart> parts = keyedParts(cacheScope("1", ""), "model", {{10, 320}});
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].key == key);
  CHECK(parts[0].tokens == 320);
}

TEST_CASE("a full index evicts from the engines in turn and stays consistent", "[gateway][part_index]") {
  PartIndex index = makeIndex(40);
  RandomSource random(1);
  for (int step = 0; step < 20'000; ++step) {
    const auto engine = static_cast<EngineSlot>(random.uniform(1, 4));
    const std::uint64_t key = random.uniform(1, 60);
    const bool drops = random.chance(0.3);
    index.set(engine, kIncarnation, {key, drops ? 0 : static_cast<std::uint32_t>(random.uniform(1, 900))});
    if (random.chance(0.001)) index.clear(engine, kIncarnation);
    REQUIRE(index.size() <= 40);
  }
  std::size_t found = 0;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    found += index.match(std::vector<KeyedPart>{{key, 900}}).size();
  }
  CHECK(found == index.size());
  for (EngineSlot engine = 1; engine <= 4; ++engine) index.clear(engine, kIncarnation);
  CHECK(index.size() == 0);
}
