/// @file Cost of a gateway's choice of an engine and of incremental and complete cache updates, by the number
/// of engines.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "base/random.h"
#include "gateway/engine_choice.h"

namespace crankspur::gateway {
namespace {

constexpr std::size_t kIndexEntries = 250'000;
constexpr std::uint32_t kSharedTokens = 13'300;
constexpr std::uint32_t kUniqueTokens = 3'720;
constexpr std::uint32_t kShortSharedTokens = 92;
constexpr std::uint32_t kShortUniqueTokens = 291;
/// Numbers of long and short parts that fill an engine's cache of 152,320 tokens.
constexpr std::uint64_t kLongParts = 8;
constexpr std::uint64_t kShortParts = 120;
constexpr std::uint64_t kLongSubjects = 196;
constexpr std::uint64_t kShortSubjects = 894;
constexpr std::uint64_t kFirstShortSubject = 100'000;
constexpr std::uint64_t kFirstUniquePart = 1'000'000;
constexpr char kModel[] = "model";
constexpr char kPool[] = "engines";
const TimePoint kNow{std::chrono::hours(1)};

/// A fleet whose caches are filled with long and short shared parts.
class Fleet {
public:
  explicit Fleet(std::size_t engines) : choice_(kIndexEntries, random_) {
    configuration_.pools.resize(1);
    Pool& pool = configuration_.pools.front();
    pool.name = kPool;
    pool.token_bytes = 327'680;
    pool.link_bits_per_second = 550e9;
    for (std::size_t index = 0; index < engines; ++index) addEngine(static_cast<EngineSlot>(index));
    snapshot_.own_zone = "zone-0";
    snapshot_.own_region = "region";
    snapshot_.peer_count = 58;
    snapshot_.share_divisor = 59;
    choice_.onSnapshot(snapshot_);
    for (std::size_t index = 0; index < engines; ++index) choice_.onCachedParts(completeUpdate(index), kNow);
  }

  CachedPartsUpdate completeUpdate(std::size_t engine) {
    CachedPartsUpdate update = emptyUpdate(engine);
    update.complete = true;
    for (std::uint64_t part = 0; part < kLongParts; ++part) {
      update.parts.push_back(cachedPart(random_.uniform(1, kLongSubjects), kSharedTokens));
    }
    for (std::uint64_t part = 0; part < kShortParts; ++part) {
      const std::uint64_t subject = random_.uniform(1, kShortSubjects);
      update.parts.push_back(cachedPart(kFirstShortSubject + subject, kShortSharedTokens));
    }
    return update;
  }

  /// @return an update that adds one part and removes one.
  CachedPartsUpdate incrementalUpdate(std::size_t engine) {
    CachedPartsUpdate update = emptyUpdate(engine);
    update.parts.push_back(cachedPart(random_.uniform(1, kLongSubjects), kSharedTokens));
    update.parts.push_back(cachedPart(random_.uniform(1, kLongSubjects), 0));
    return update;
  }

  ClientRequest request(bool is_long) {
    ClientRequest client;
    client.model = kModel;
    const std::uint64_t unique_part = kFirstUniquePart + random_.uniform(0, 1U << 20);
    if (is_long) {
      client.prompt = {{random_.uniform(1, kLongSubjects), kSharedTokens}, {unique_part, kUniqueTokens}};
    } else {
      client.prompt = {{kFirstShortSubject + random_.uniform(1, kShortSubjects), kShortSharedTokens},
                       {unique_part, kShortUniqueTokens}};
    }
    for (const PromptPart& part : client.prompt) client.prompt_tokens += part.tokens;
    return client;
  }

  /// Runs one request through all steps: choice, dispatch, first byte, end.
  void serve(const ClientRequest& client) {
    ChoiceRequest request;
    request.pool = &configuration_.pools.front();
    request.client = &client;
    request.uses_prefixes = true;
    const Choice choice = choice_.choose(request, snapshot_, table_, kNow);
    const std::uint64_t dispatch = ++dispatches_;
    const DispatchedPrompt prompt = choice_.onDispatch(choice, dispatch, kNow);
    choice_.onFirstByte(*request.pool, prompt, dispatch, std::chrono::milliseconds(200), kNow);
    choice_.onEnd(prompt.slot, dispatch);
  }

  EngineChoice& choice() { return choice_; }
  std::size_t engines() const { return snapshot_.backends.size(); }
  RandomSource& random() { return random_; }

private:
  static CachedPart cachedPart(std::uint64_t part, std::uint32_t tokens) {
    return {cacheScope("1", ""), kModel, part, tokens};
  }

  CachedPartsUpdate emptyUpdate(std::size_t engine) const {
    CachedPartsUpdate update;
    update.slot = snapshot_.backends[engine].view.slot;
    update.incarnation = snapshot_.backends[engine].view.incarnation;
    return update;
  }

  void addEngine(EngineSlot slot) {
    Backend backend;
    backend.view.slot = slot;
    backend.view.name = fmt::format("i-{:08x}", slot * 2654435761U);
    backend.view.address = fmt::format("10.1.{}.{}:8040", slot / 250, slot % 250);
    backend.view.zone = fmt::format("zone-{}", slot % 3);
    backend.view.region = "region";
    backend.view.pool = kPool;
    backend.view.incarnation = 1000U + slot;
    backend.view.models = {{kModel, "1", {}}};
    backend.slots = 12;
    snapshot_.backends.push_back(std::move(backend));
  }

  RandomSource random_{1};
  EngineChoice choice_;
  Configuration configuration_;
  GatewaySnapshot snapshot_;
  BackendTable table_;
  std::uint64_t dispatches_ = 0;
};

void serveRequests(benchmark::State& state, bool is_long) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    const ClientRequest client = fleet.request(is_long);
    state.ResumeTiming();
    fleet.serve(client);
  }
}

void longRequest(benchmark::State& state) {
  serveRequests(state, true);
}
BENCHMARK(longRequest)->Arg(12)->Arg(90)->Arg(500)->Arg(2000)->Unit(benchmark::kMicrosecond);

void shortRequest(benchmark::State& state) {
  serveRequests(state, false);
}
BENCHMARK(shortRequest)->Arg(12)->Arg(90)->Arg(500)->Arg(2000)->Unit(benchmark::kMicrosecond);

void cacheNews(benchmark::State& state) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)));
  std::size_t engine = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const CachedPartsUpdate update = fleet.incrementalUpdate(engine++ % fleet.engines());
    state.ResumeTiming();
    fleet.choice().onCachedParts(update, kNow);
  }
}
BENCHMARK(cacheNews)->Arg(12)->Arg(90)->Unit(benchmark::kMicrosecond);

void wholeCache(benchmark::State& state) {
  Fleet fleet(static_cast<std::size_t>(state.range(0)));
  std::size_t engine = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const CachedPartsUpdate update = fleet.completeUpdate(engine++ % fleet.engines());
    state.ResumeTiming();
    fleet.choice().onCachedParts(update, kNow);
  }
}
BENCHMARK(wholeCache)->Arg(12)->Arg(90)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace crankspur::gateway
