/// @file Cost of a placement decision, of a cached block and of a cache event at the fleet size planned for
/// two years ahead.

#include <benchmark/benchmark.h>
#include <time.h>

#include <algorithm>
#include <chrono>

#include "base/random.h"
#include "placement/outstanding_ledger.h"
#include "placement/placement.h"

namespace crankspur {
namespace {

constexpr EngineSlot kEngines = 2000;
constexpr std::size_t kIndexedBlocks = 618'000;
constexpr std::size_t kCatalogueBlocks = 250;
constexpr std::size_t kRulesBlocks = 90;
constexpr std::size_t kQuestionBlocks = 25;
constexpr std::size_t kCatalogueHolders = 64;
constexpr std::size_t kRulesHolders = 4;
const TimePoint kNow{std::chrono::hours(1)};

std::vector<BlockHash> randomBlocks(RandomSource& random, std::size_t count) {
  std::vector<BlockHash> blocks;
  for (std::size_t index = 0; index < count; ++index) blocks.push_back(random.bits());
  return blocks;
}

/// How much of a catalogue its holders have cached.
enum class CachedHeads {
  Whole,   ///< Each holder has all blocks.
  Ragged,  ///< Each holder lacks a tail of random length, so that the set of holders varies by block.
};

/// 2,000 engines of one model, an index filled to capacity, and prompts whose catalogue is cached by 64
/// engines.
class LargeFleet {
public:
  explicit LargeFleet(CachedHeads heads) : heads_(heads) {
    auto bundle = std::make_shared<Bundle>();
    TenantPolicy tenant;
    tenant.name = "tenant";
    tenant.models = {"large"};
    bundle->tenants.push_back(tenant);
    ModelPolicy model;
    model.name = "large";
    model.weights_version = "w1";
    model.pools = {"gpu"};
    bundle->models.push_back(model);
    snapshot.bundle = bundle;
    for (EngineSlot slot = 0; slot < kEngines; ++slot) addEngine(slot);
    addPrompts();
    while (index->size() < kIndexedBlocks - kEngines) addUnrelatedBlocks();
  }

  RoutingSnapshot snapshot;
  std::unique_ptr<PrefixIndex> index = makePrefixIndex(kIndexedBlocks);
  OutstandingLedger work;
  RandomSource random{1};
  std::vector<std::vector<BlockHash>> prompts;

private:
  CachedHeads heads_;

  void addEngine(EngineSlot slot) {
    EngineView engine;
    engine.slot = slot;
    engine.name = "engine" + std::to_string(slot);
    engine.address = engine.name;
    engine.pool = "gpu";
    engine.incarnation = slot + 1U;
    engine.models = {{"large", "w1", {}}};
    engine.load.measured_at = kNow;
    engine.load.queued_tokens = static_cast<std::uint32_t>(random.uniform(0, 5000));
    engine.load.batch_limit = 32;
    snapshot.engines.push_back(engine);
    index->setIncarnation(slot, engine.incarnation);
  }
  void addHolders(std::span<const BlockHash> blocks, std::size_t holders, CachedHeads heads) {
    for (std::size_t holder = 0; holder < holders; ++holder) {
      const auto slot = static_cast<EngineSlot>(random.uniform(0, kEngines - 1));
      const std::size_t held = heads == CachedHeads::Whole ? blocks.size() : random.uniform(1, blocks.size());
      index->correct(slot, slot + 1U, blocks.first(held), 0, kNow);
    }
  }
  void addPrompts() {
    for (int catalogue = 0; catalogue < 8; ++catalogue) {
      const std::vector<BlockHash> head = randomBlocks(random, kCatalogueBlocks);
      addHolders(head, kCatalogueHolders, heads_);
      for (int rules = 0; rules < 16; ++rules) {
        std::vector<BlockHash> prompt = head;
        const std::vector<BlockHash> middle = randomBlocks(random, kRulesBlocks);
        prompt.insert(prompt.end(), middle.begin(), middle.end());
        addHolders(prompt, kRulesHolders, CachedHeads::Whole);
        const std::vector<BlockHash> question = randomBlocks(random, kQuestionBlocks);
        prompt.insert(prompt.end(), question.begin(), question.end());
        prompts.push_back(std::move(prompt));
      }
    }
  }
  void addUnrelatedBlocks() {
    const auto slot = static_cast<EngineSlot>(random.uniform(0, kEngines - 1));
    index->correct(slot, slot + 1U, randomBlocks(random, 200), 0, kNow);
  }
};

LargeFleet& largeFleet(CachedHeads heads) {
  static LargeFleet whole(CachedHeads::Whole);
  static LargeFleet ragged(CachedHeads::Ragged);
  return heads == CachedHeads::Whole ? whole : ragged;
}

/// @return the CPU time of this thread in nanoseconds. Excludes other work on the machine.
double threadNanoseconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e9 + static_cast<double>(used.tv_nsec);
}

/// Adds the 50th and 99th percentiles of `nanoseconds` to the counters.
void reportPercentiles(benchmark::State& state, const std::string& name, std::vector<double> nanoseconds) {
  std::sort(nanoseconds.begin(), nanoseconds.end());
  state.counters[name + "_p50_ns"] = nanoseconds[nanoseconds.size() / 2];
  state.counters[name + "_p99_ns"] = nanoseconds[nanoseconds.size() * 99 / 100];
}

void decide(benchmark::State& state, CachedHeads heads) {
  LargeFleet& fleet = largeFleet(heads);
  const auto policy = makeCostPlacement();
  PlacementRequest request;
  request.tenant = "tenant";
  request.model = "large";
  request.deadline = std::chrono::seconds(2);
  request.max_tokens = 100;
  std::vector<double> wall;
  std::vector<double> cpu;
  std::size_t iteration = 0;
  for (auto _ : state) {
    const std::vector<BlockHash>& prompt = fleet.prompts[iteration++ * 37 % fleet.prompts.size()];
    request.blocks = prompt;
    request.prompt_tokens = static_cast<std::uint32_t>(prompt.size() * kTokensPerBlock);
    const double cpu_start = threadNanoseconds();
    const auto start = std::chrono::steady_clock::now();
    PlacementDecision decision =
        policy->choose(request, fleet.snapshot, *fleet.index, fleet.work, fleet.random, kNow);
    const auto end = std::chrono::steady_clock::now();
    cpu.push_back(threadNanoseconds() - cpu_start);
    wall.push_back(std::chrono::duration<double, std::nano>(end - start).count());
    benchmark::DoNotOptimize(decision);
  }
  reportPercentiles(state, "wall", std::move(wall));
  reportPercentiles(state, "cpu", std::move(cpu));
}
BENCHMARK_CAPTURE(decide, whole_heads, CachedHeads::Whole)->Unit(benchmark::kMicrosecond)->Iterations(20'000);
BENCHMARK_CAPTURE(decide, ragged_heads, CachedHeads::Ragged)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(20'000);

void match(benchmark::State& state, CachedHeads heads) {
  LargeFleet& fleet = largeFleet(heads);
  std::size_t iteration = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        fleet.index->match(fleet.prompts[iteration++ * 37 % fleet.prompts.size()], kNow));
  }
}
BENCHMARK_CAPTURE(match, whole_heads, CachedHeads::Whole)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(match, ragged_heads, CachedHeads::Ragged)->Unit(benchmark::kMicrosecond);

void bytesPerBlock(benchmark::State& state) {
  LargeFleet& fleet = largeFleet(CachedHeads::Whole);
  for (auto _ : state) benchmark::DoNotOptimize(fleet.index->size());
  state.counters["blocks"] = static_cast<double>(fleet.index->size());
  state.counters["bytes"] = static_cast<double>(fleet.index->memoryBytes());
  state.counters["bytes_per_block"] =
      static_cast<double>(fleet.index->memoryBytes()) / static_cast<double>(fleet.index->size());
}
BENCHMARK(bytesPerBlock)->Iterations(1);

/// One event that adds one block and removes one, on an index at capacity.
void cacheEvent(benchmark::State& state) {
  const auto index = makePrefixIndex(kIndexedBlocks);
  RandomSource random(2);
  index->setIncarnation(0, 1);
  index->correct(0, 1, randomBlocks(random, kIndexedBlocks), 0, kNow);
  std::vector<BlockHash> recent = randomBlocks(random, 4096);
  std::uint64_t sequence = 0;
  for (auto _ : state) {
    BlockHash& removed = recent[sequence % recent.size()];
    const BlockHash added = random.bits();
    benchmark::DoNotOptimize(index->applyEvent(0, 1, {++sequence, {added}, {removed}}, kNow));
    removed = added;
  }
}
BENCHMARK(cacheEvent);

}  // namespace
}  // namespace crankspur
