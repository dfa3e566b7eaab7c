#include "gateway/engine_choice.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gateway/import_source.h"

namespace crankspur::gateway {
namespace {

/// Cost of a request that leaves the zone, seconds: its way there and back.
constexpr double kOtherZoneCost = 0.004;
constexpr double kOtherRegionCost = 0.050;
/// Share of a runner's load that a request to another zone is worth.
constexpr double kOtherZoneLoad = 0.15;
/// Engines equal otherwise are told apart by up to this many seconds, alike in all gateways for one prefix,
/// so that requests with a common prefix meet at one engine.
constexpr double kAffinityCost = 0.015;
/// Reading shared parts that another engine has read, or is about to read, counts this many times the time it
/// takes, up to a limit in seconds: it takes time and memory from all others.
constexpr double kReadAgainFactor = 6;
constexpr double kReadAgainLimit = 1.5;
/// What an answer of superseded weights costs, seconds: about a quarter of the time that a first byte may
/// take, so that engines with the named weights fill up first but are not waited for.
constexpr double kSupersededCost = 0.15;
/// Reading shared parts for the first time under superseded weights counts this many times the time it takes:
/// it is of no use to anyone once these are gone. With the factor above, engines that have the named weights
/// early in a roll-out got more than they could read.
constexpr double kSupersededReadFactor = 2;
/// A prompt that takes longer to read than this many seconds holds up the streams beside it; what it costs to
/// send it to an engine of short ones, or the reverse, in seconds.
constexpr double kLongPrompt = 0.06;
constexpr double kOtherPartitionCost = 0.25;
/// Of gateways that do not tell their work: own work in an engine's queue stands for up to this many
/// gateways'.
constexpr double kUnseenGateways = 3;
/// Wait for a place among the requests that an engine runs at once, for each request above, seconds.
constexpr double kFullBatchWait = 0.1;
/// What filling a cache block costs later requests by eviction, seconds.
constexpr double kEvictionCost = 0.0003;
/// An engine's queue is taken to last this many times its usual time to the first byte.
constexpr double kQueueSafety = 2.5;
/// Lateness counts up to this many seconds.
constexpr double kLatenessLimit = 0.5;
/// Factor of load while a runner is slow after its start.
constexpr double kColdFactor = 2.0;
/// What another request at the back end costs one that may end it, seconds (for runners: load), so that it
/// goes before all else: each is cut, and its engine's cache is lost, for an end. Avoided back ends cost as
/// much as so many.
constexpr double kCostPerRequestAtRisk = 10;
constexpr double kAvoidedRequests = 1'000;

Duration toDuration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

std::optional<std::uint64_t> parseVersion(const std::string& text) {
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return version;
}

/// @return the version of the model's weights that the engine is listed with; empty: none or no number.
std::optional<std::uint64_t> listedWeights(const EngineView& engine, const std::string& model) {
  for (const LoadedModel& loaded : engine.models) {
    if (loaded.model == model) return parseVersion(loaded.weights_version);
  }
  return std::nullopt;
}

/// @return the hash by which prompts that share their longest shared part meet: of the part before the last.
std::uint64_t affinityKey(const std::vector<PromptPart>& prompt) {
  if (prompt.empty()) return 0;
  return prompt.size() == 1 ? prompt.front().id : prompt[prompt.size() - 2].id;
}

double distanceCost(const EngineView& engine, const GatewaySnapshot& snapshot) {
  if (engine.region != snapshot.own_region) return kOtherRegionCost;
  return engine.zone != snapshot.own_zone ? kOtherZoneCost : 0;
}

}  // namespace

EngineChoice::EngineChoice(std::size_t index_entries, RandomSource& random)
    : random_(random), index_(index_entries) {}

void EngineChoice::onSnapshot(const GatewaySnapshot& snapshot) {
  partition_.onSnapshot(snapshot);
  for (const Backend& backend : snapshot.backends) {
    const EngineSlot slot = backend.view.slot;
    ledger_.onLoadMeasured(slot, backend.view.load.measured_at);
    std::uint64_t& known = incarnations_[slot];
    if (known == backend.view.incarnation) continue;
    known = backend.view.incarnation;
    index_.setIncarnation(slot, known);
    news_at_.erase(slot);
    learnt_.erase(slot);
  }
}

void EngineChoice::onWeights(EngineSlot slot, std::uint64_t incarnation, const std::string& model,
                             std::uint64_t version) {
  learnt_[slot] = {incarnation, model, version};
}

// Cached parts.

void EngineChoice::onCachedParts(const CachedPartsUpdate& news, TimePoint now) {
  const auto known = incarnations_.find(news.slot);
  if (known == incarnations_.end() || known->second != news.incarnation) return;
  news_at_[news.slot] = now;
  if (news.complete) index_.clear(news.slot, news.incarnation);
  for (const CachedPart& part : news.parts) {
    const std::uint64_t key = partKey(part.scope, part.model, part.part);
    index_.set(news.slot, news.incarnation, {key, part.tokens});
  }
}

// The choice.

std::optional<std::uint64_t> EngineChoice::weightsOf(const Backend& backend, const std::string& model) const {
  const std::optional<std::uint64_t> listed = listedWeights(backend.view, model);
  const auto learnt = learnt_.find(backend.view.slot);
  if (learnt == learnt_.end() || learnt->second.incarnation != backend.view.incarnation) return listed;
  if (learnt->second.model != model) return listed;
  return std::max(listed.value_or(0), learnt->second.version);
}

EngineChoice::Usable EngineChoice::findUsable(const ChoiceRequest& request, const GatewaySnapshot& snapshot,
                                              const BackendTable& table, TimePoint now,
                                              bool& at_capacity) const {
  PlacementRequest placement;
  if (request.uses_prefixes) placement.model = request.client->model;
  placement.excluded = request.excluded;
  const std::vector<std::string> pools = {request.pool->name};
  const Eligibility eligibility(placement, pools);
  Usable healthy;
  Usable doubtful;
  for (const Backend& backend : snapshot.backends) {
    if (!eligibility.isEligible(backend.view)) continue;
    UsableBackend usable{&backend, std::nullopt};
    if (request.uses_prefixes) usable.weights = weightsOf(backend, request.client->model);
    if (!hasFreshWeights(usable, request, table, now)) continue;
    if (!table.hasCapacity(backend, *request.pool, snapshot.share_divisor, now)) {
      at_capacity = true;
      continue;
    }
    const bool answers = table.isHealthy(backend.view.slot, now) && !table.isUnresponsive(backend);
    (answers ? healthy : doubtful).push_back(usable);
  }
  return healthy.empty() && !at_capacity ? doubtful : healthy;
}

/// A request begins once the engine's queue is worked off. What counts is the weights of that moment, so that
/// an engine that has answered late is judged as of later.
bool EngineChoice::hasFreshWeights(const UsableBackend& usable, const ChoiceRequest& request,
                                   const BackendTable& table, TimePoint now) const {
  if (request.weights_clock == nullptr) return true;
  const Duration queue = toDuration(table.answerTime(usable.backend->view.slot) * kQueueSafety);
  const TimePoint begins = now + std::max(Duration(0), queue - request.weights_margin);
  const std::optional<std::uint64_t> least =
      request.weights_clock->leastWeights(request.client->model, begins);
  return !least || usable.weights.value_or(0) >= *least;
}

std::size_t EngineChoice::scopedPrompt(std::vector<ScopedPrompt>& prompts,
                                       std::optional<std::uint64_t> weights, const ChoiceRequest& request,
                                       const Usable& usable) const {
  for (std::size_t index = 0; index < prompts.size(); ++index) {
    if (prompts[index].weights == weights) return index;
  }
  ScopedPrompt prompt =
      scopePrompt(index_, weights, request.isolated_tenant, request.client->model, request.client->prompt);
  prompt.superseded = isSuperseded(weights, request);
  prompt.first_reader = findFirstReader(prompt, request, usable);
  prompts.push_back(std::move(prompt));
  return prompts.size() - 1;
}

bool EngineChoice::isSuperseded(std::optional<std::uint64_t> weights, const ChoiceRequest& request) {
  if (request.weights_clock == nullptr) return false;
  const std::optional<std::uint64_t> newest = request.weights_clock->newestWeights(request.client->model);
  return newest && weights.value_or(0) < *newest;
}

bool EngineChoice::isLong(const ChoiceRequest& request) const {
  return request.client->prompt_tokens > kLongPrompt * rates_.rate(request.pool->name);
}

/// @return the engine that every gateway sends prompts to whose first unread part is the same.
EngineSlot EngineChoice::findFirstReader(const ScopedPrompt& prompt, const ChoiceRequest& request,
                                         const Usable& usable) const {
  std::uint32_t held = prompt.held_shared_tokens;
  std::uint64_t key = 0;
  for (const PromptPart& part : request.client->prompt) {
    key = part.id;
    if (held < part.tokens) break;
    held -= part.tokens;
  }
  EngineSlot first_reader = 0;
  double least = 4;
  const bool is_long = isLong(request);
  for (const UsableBackend& candidate : usable) {
    if (candidate.weights != prompt.weights) continue;
    const EngineView& engine = candidate.backend->view;
    const double other_partition = partition_.suits(engine, is_long) ? 0 : 2;
    const double value = affinity(key, engine) + other_partition;
    if (value >= least) continue;
    least = value;
    first_reader = engine.slot;
  }
  return first_reader;
}

double EngineChoice::readAgainCost(const ScopedPrompt& prompt, EngineSlot engine, std::uint32_t cached,
                                   double rate) {
  const std::uint32_t known = std::max(prompt.held_shared_tokens, std::min(cached, prompt.shared_tokens));
  std::uint32_t again = prompt.readAgainTokens(cached);
  const std::uint32_t unread = prompt.shared_tokens - known;
  if (engine != prompt.first_reader) {
    again += unread;
    return std::min(again / rate * kReadAgainFactor, kReadAgainLimit);
  }
  const double cost = std::min(again / rate * kReadAgainFactor, kReadAgainLimit);
  return prompt.superseded ? cost + unread / rate * kSupersededReadFactor : cost;
}

LoadDigest EngineChoice::ownLoadDigest() const {
  LoadDigest digest;
  for (const EngineOutstanding& own : ledger_.outstanding()) {
    const auto incarnation = incarnations_.find(own.engine);
    if (incarnation == incarnations_.end()) continue;
    EngineLoad load;
    load.engine_incarnation = incarnation->second;
    load.queued_tokens = own.waiting_tokens;
    load.running = own.in_flight;
    digest.loads.push_back(std::move(load));
  }
  return digest;
}

/// @return how many times what the others told stands for what all others have: those that do not tell are
/// taken to be like those that do. 0: nobody tells.
double EngineChoice::peerScale(const GatewaySnapshot& snapshot, TimePoint now) const {
  const auto tellers = static_cast<double>(peers_.tellers(now));
  if (tellers == 0) return 0;
  return std::max(snapshot.peer_count / tellers, 1.0);
}

/// What the other gateways have there counts as if it were own work.
EngineChoice::Queue EngineChoice::queueOf(const EngineView& engine, const GatewaySnapshot& snapshot,
                                          double rate, TimePoint now) const {
  Queue queue;
  queue.seconds = toSeconds(queues_.wait(engine, rate, ledger_, now));
  const double scale = peerScale(snapshot, now);
  if (scale == 0) {
    queue.unseen = queue.seconds * std::min<double>(snapshot.peer_count, kUnseenGateways - 1);
    return queue;
  }
  const PendingLoad work = peers_.at(engine.incarnation, now);
  queue.seconds += work.waiting_tokens * scale / rate;
  if (engine.load.batch_limit == 0) return queue;
  const double above = ledger_.inFlight(engine.slot) + work.in_flight * scale + 1 - engine.load.batch_limit;
  queue.seconds += std::max(above, 0.0) * kFullBatchWait;
  return queue;
}

EngineChoice::Candidate EngineChoice::weighEngine(const Backend& backend, const ScopedPrompt& prompt,
                                                  const ChoiceRequest& request,
                                                  const GatewaySnapshot& snapshot, const BackendTable& table,
                                                  TimePoint now) const {
  const EngineView& engine = backend.view;
  const std::uint32_t held = prompt.heldBy(engine.slot);
  const std::uint32_t total = std::max(request.client->prompt_tokens, 1U);
  const Import import = findImport(engine, *request.pool, total, prompt, snapshot, table, now);
  const double rate = rates_.rate(request.pool->name);
  Candidate candidate;
  candidate.backend = &backend;
  candidate.import_from = import.from;
  candidate.uncached_tokens = total - std::min(import.cached, total - 1);
  candidate.shared_tokens_again = prompt.readAgainTokens(import.cached);
  const double prefill = candidate.uncached_tokens / rate;
  const Queue queue = queueOf(engine, snapshot, rate, now);
  candidate.first_byte = queue.seconds + import.seconds + prefill + distanceCost(engine, snapshot);
  const double late = std::min(table.lateness(engine.slot), kLatenessLimit);
  const double new_blocks = blocksOf(total) - std::min(blocksOf(held), blocksOf(total));
  candidate.cost = candidate.first_byte + queue.unseen + late + new_blocks * kEvictionCost +
                   readAgainCost(prompt, engine.slot, import.cached, rate) +
                   (prompt.superseded ? kSupersededCost : 0) +
                   (partition_.suits(engine, isLong(request)) ? 0 : kOtherPartitionCost) +
                   kAffinityCost * affinity(affinityKey(request.client->prompt), engine);
  return candidate;
}

double EngineChoice::weighRunner(const Backend& backend, const GatewaySnapshot& snapshot,
                                 const BackendTable& table, TimePoint now) const {
  const double slots = std::max(backend.slots, 1U);
  const double others = peers_.at(backend.view.incarnation, now).in_flight * peerScale(snapshot, now);
  double load = (table.inFlight(backend.view.slot) + others + 1) / slots;
  const double time = std::max(table.answerTime(backend.view.slot), 0.001);
  load *= 1 + time;
  if (backend.view.zone != snapshot.own_zone) load += kOtherZoneLoad;
  return load + random_.unit() / slots / 4;
}

/// @return what is lost if the back end ends.
double EngineChoice::riskCost(const Backend& backend, const ChoiceRequest& request,
                              const GatewaySnapshot& snapshot, const BackendTable& table,
                              TimePoint now) const {
  const EngineView& engine = backend.view;
  const double others = peers_.at(engine.incarnation, now).in_flight * peerScale(snapshot, now);
  const auto& avoided = request.avoided;
  const bool is_avoided = std::find(avoided.begin(), avoided.end(), engine.slot) != avoided.end();
  const double requests = table.inFlight(engine.slot) + others + (is_avoided ? kAvoidedRequests : 0);
  return requests * kCostPerRequestAtRisk;
}

Choice EngineChoice::choose(const ChoiceRequest& request, const GatewaySnapshot& snapshot,
                            const BackendTable& table, TimePoint now) const {
  Choice choice;
  std::vector<ScopedPrompt> prompts;
  Candidate best;
  Candidate second;
  const Usable usable = findUsable(request, snapshot, table, now, choice.at_capacity);
  for (const auto& [backend, weights] : usable) {
    Candidate candidate;
    candidate.backend = backend;
    if (request.uses_prefixes) {
      const std::size_t prompt = scopedPrompt(prompts, weights, request, usable);
      candidate = weighEngine(*backend, prompts[prompt], request, snapshot, table, now);
      candidate.prompt = prompt;
    } else {
      candidate.cost = weighRunner(*backend, snapshot, table, now);
      candidate.first_byte = table.answerTime(backend->view.slot);
    }
    if (now < backend->cold_until) candidate.cost *= kColdFactor;
    if (request.prefer_fewest_requests) candidate.cost += riskCost(*backend, request, snapshot, table, now);
    if (best.backend == nullptr || candidate.cost < best.cost) {
      second = std::exchange(best, std::move(candidate));
    } else if (second.backend == nullptr || candidate.cost < second.cost) {
      second = std::move(candidate);
    }
  }
  choice.backend = best.backend;
  choice.candidates = usable.size();
  if (best.backend == nullptr) return choice;
  explain(choice, best, second);
  choice.expected_first_byte = toDuration(best.first_byte);
  if (!request.uses_prefixes) return choice;
  ScopedPrompt& prompt = prompts[best.prompt];
  choice.weights = prompt.weights;
  choice.cache_scope = prompt.scope;
  choice.save_to = storeFor(prompt, snapshot);
  choice.parts = std::move(prompt.parts);
  choice.import_from = best.import_from;
  choice.uncached_tokens = best.uncached_tokens;
  choice.long_prompt = isLong(request);
  return choice;
}

void EngineChoice::explain(Choice& choice, const Candidate& best, const Candidate& second) {
  choice.cost = best.cost;
  choice.runner_up = second.backend;
  choice.runner_up_cost = second.cost;
  choice.shared_tokens_again = best.shared_tokens_again;
}

std::optional<Duration> EngineChoice::cacheAge(EngineSlot slot, TimePoint now) const {
  const auto found = news_at_.find(slot);
  if (found == news_at_.end()) return std::nullopt;
  return now - found->second;
}

DispatchedPrompt EngineChoice::onDispatch(const Choice& choice, std::uint64_t dispatch, TimePoint now) {
  const EngineView& engine = choice.backend->view;
  ledger_.add(engine.slot, dispatch, choice.uncached_tokens, now);
  if (!choice.parts.empty()) {
    const double seconds = choice.uncached_tokens / rates_.rate(engine.pool);
    partition_.observe(engine.pool, choice.long_prompt, seconds, now);
  }
  return {engine.slot, engine.incarnation, choice.uncached_tokens, choice.parts};
}

/// Only now do others find the parts there: until it has read them an engine has nothing to give.
void EngineChoice::onFirstByte(const Pool& pool, const DispatchedPrompt& prompt, std::uint64_t dispatch,
                               Duration taken, TimePoint now) {
  rates_.observe(pool.name, prompt.uncached_tokens, taken);
  ledger_.prefillDone(prompt.slot, dispatch, now);
  for (const KeyedPart& part : prompt.parts) index_.set(prompt.slot, prompt.incarnation, part);
}

void EngineChoice::onEnd(EngineSlot slot, std::uint64_t dispatch) {
  ledger_.remove(slot, dispatch);
}

}  // namespace crankspur::gateway
