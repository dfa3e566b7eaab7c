#include "gateway/engine_choice.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gateway/import_source.h"
#include "gateway/stream_origins.h"

namespace crankspur::gateway {
namespace {

/// Cost of a request that leaves the zone or the region, seconds: the round-trip time.
constexpr double kOtherZoneCost = 0.004;
constexpr double kOtherRegionCost = 0.050;
/// Load that is added to the score of a runner in another zone.
constexpr double kOtherZoneLoad = 0.15;
/// Breaks ties between otherwise equal engines by up to this many seconds. All gateways break a tie in the
/// same way for a prefix, so that requests with a common prefix go to one engine.
constexpr double kAffinityCost = 0.015;
/// Cost of the prefill of shared parts that another engine holds or is about to prefill: this multiple of the
/// prefill time, up to a limit in seconds. A redundant prefill takes time and memory from all other requests.
constexpr double kRecomputeFactor = 6;
constexpr double kRecomputeCostLimit = 1.5;
/// Cost of a response from superseded weights, seconds: about a quarter of the time allowed for a first byte,
/// so that engines with the named weights fill up first, but requests do not wait for them.
constexpr double kSupersededCost = 0.15;
/// The same, for each second that the response is expected to take: an engine loads new weights only when its
/// last response is complete, and until then it accepts no other request.
constexpr double kSupersededStreamFactor = 0.1;
/// Cost of the first prefill of shared parts under superseded weights, as a multiple of the prefill time: the
/// cached parts become useless once these weights are unloaded. With kRecomputeFactor instead, the engines
/// that have the named weights early in a roll-out receive more than they can prefill.
constexpr double kSupersededPrefillFactor = 2;
/// A prompt whose prefill takes longer than this many seconds delays the other streams of its engine.
constexpr double kLongPrompt = 0.06;
/// Cost of a long prompt at an engine for short ones, or the reverse, seconds.
constexpr double kOtherPartitionCost = 0.25;
/// While no gateway reports its load, each gateway is assumed to have as much queued at an engine as this
/// one, up to this many gateways, this one included.
constexpr double kMaxUnreportedGateways = 3;
/// Estimated wait for a slot in an engine's full batch, seconds per request above the batch limit: about the
/// time of a stream divided by the slots.
constexpr double kFullBatchDelay = 0.2;
/// Cost of filling a cache block, seconds: the eviction that it causes slows down later requests.
constexpr double kEvictionCost = 0.0003;
/// An engine's queue is assumed to last this many times its smoothed time to the first byte.
constexpr double kQueueSafety = 2.5;
/// Upper limit of the cost of lateness, seconds.
constexpr double kLatenessLimit = 0.5;
/// Factor of the cost of a back end that is slow after its start.
constexpr double kColdFactor = 2.0;
/// Cost of each other request at a back end for a request that may crash it, seconds (for runners: load). It
/// outweighs all other costs, since a crash cuts off all of them and loses the engine's cache. An avoided
/// back end costs as much as kAvoidedRequests requests.
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

/// @return the weights version that the engine is listed with for the model; empty: none or not a number.
std::optional<std::uint64_t> listedWeights(const EngineView& engine, const std::string& model) {
  for (const LoadedModel& loaded : engine.models) {
    if (loaded.model == model) return parseVersion(loaded.weights_version);
  }
  return std::nullopt;
}

/// @return the id of the last shared part, which is the part before the last: prompts with an equal key have
/// affinity to the same engine.
std::uint64_t affinityKey(const std::vector<PromptPart>& prompt) {
  if (prompt.empty()) return 0;
  return prompt.size() == 1 ? prompt.front().id : prompt[prompt.size() - 2].id;
}

/// @return tokens that the response is expected to have.
std::uint32_t expectedTokens(const ClientRequest& client) {
  return client.estimated_completion_tokens > 0 ? client.estimated_completion_tokens
                                                : client.max_completion_tokens;
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
    cache_updated_at_.erase(slot);
    observed_weights_.erase(slot);
  }
}

void EngineChoice::onWeights(EngineSlot slot, std::uint64_t incarnation, const std::string& model,
                             std::uint64_t version) {
  observed_weights_[slot] = {incarnation, model, version};
}

void EngineChoice::onCachedParts(const CachedPartsUpdate& update, TimePoint now) {
  const auto known = incarnations_.find(update.slot);
  if (known == incarnations_.end() || known->second != update.incarnation) return;
  cache_updated_at_[update.slot] = now;
  if (update.complete) index_.clear(update.slot, update.incarnation);
  for (const CachedPart& part : update.parts) {
    const std::uint64_t key = partKey(part.scope, part.model, part.part);
    index_.set(update.slot, update.incarnation, {key, part.tokens});
  }
}

std::optional<std::uint64_t> EngineChoice::weightsOf(const Backend& backend, const std::string& model) const {
  const std::optional<std::uint64_t> listed = listedWeights(backend.view, model);
  const auto observed = observed_weights_.find(backend.view.slot);
  if (observed == observed_weights_.end() || observed->second.incarnation != backend.view.incarnation)
    return listed;
  if (observed->second.model != model) return listed;
  return std::max(listed.value_or(0), observed->second.version);
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
  Usable unhealthy;
  for (const Backend& backend : snapshot.backends) {
    if (!eligibility.isEligible(backend.view)) continue;
    if (request.build && buildId(backend.build) != *request.build) continue;
    UsableBackend usable{&backend, std::nullopt};
    if (request.uses_prefixes) usable.weights = weightsOf(backend, request.client->model);
    if (!hasAllowedWeights(usable, request, table, now)) continue;
    if (!table.hasCapacity(backend, *request.pool, snapshot.share_divisor, now)) {
      at_capacity = true;
      continue;
    }
    const EngineSlot slot = backend.view.slot;
    const bool is_responsive = isTrusted(slot, request, table, now) && !table.reach().isUnresponsive(backend);
    (is_responsive ? healthy : unhealthy).push_back(usable);
  }
  return healthy.empty() && !at_capacity ? unhealthy : healthy;
}

/// In a partition, failures of the network eject back ends, so that reach decides instead of health.
bool EngineChoice::isTrusted(EngineSlot slot, const ChoiceRequest& request, const BackendTable& table,
                             TimePoint now) {
  if (!request.prefer_in_reach) return table.isHealthy(slot, now);
  const Reach reach = table.reach().of(slot, now);
  return reach == Reach::in_reach || (reach == Reach::unknown && table.isHealthy(slot, now));
}

/// A request starts when the engine's queue is processed, and the weights have to be allowed at that time.
/// The check therefore uses a later time for an engine with a long response time. Under overload, the
/// response time lags behind the queue, and the requests that still wait there are the better evidence.
bool EngineChoice::hasAllowedWeights(const UsableBackend& usable, const ChoiceRequest& request,
                                     const BackendTable& table, TimePoint now) const {
  if (request.weights_clock == nullptr) return true;
  const EngineSlot slot = usable.backend->view.slot;
  const double wait = std::max(table.responseTime(slot), toSeconds(ledger_.longestWait(slot, now)));
  const Duration queue = toDuration(wait * kQueueSafety);
  const TimePoint starts_at = now + std::max(Duration(0), queue - request.weights_margin);
  const std::optional<std::uint64_t> min_version =
      request.weights_clock->minWeightsVersion(request.client->model, starts_at);
  return !min_version || usable.weights.value_or(0) >= *min_version;
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
  prompt.prefill_engine = findPrefillEngine(prompt, request, usable);
  prompts.push_back(std::move(prompt));
  return prompts.size() - 1;
}

bool EngineChoice::isSuperseded(std::optional<std::uint64_t> weights, const ChoiceRequest& request) {
  if (request.weights_clock == nullptr) return false;
  const std::optional<std::uint64_t> newest =
      request.weights_clock->newestWeightsVersion(request.client->model);
  return newest && weights.value_or(0) < *newest;
}

bool EngineChoice::isLong(const ChoiceRequest& request) const {
  return request.client->prompt_tokens > kLongPrompt * rates_.rate(request.pool->name);
}

/// @return the engine to which all gateways send prompts that have the same first part without a holder.
EngineSlot EngineChoice::findPrefillEngine(const ScopedPrompt& prompt, const ChoiceRequest& request,
                                           const Usable& usable) const {
  std::uint32_t held = prompt.held_shared_tokens;
  std::uint64_t key = 0;
  for (const PromptPart& part : request.client->prompt) {
    key = part.id;
    if (held < part.tokens) break;
    held -= part.tokens;
  }
  EngineSlot prefill_engine = 0;
  double min_value = 4;
  const bool is_long = isLong(request);
  for (const UsableBackend& candidate : usable) {
    if (candidate.weights != prompt.weights) continue;
    const EngineView& engine = candidate.backend->view;
    const double other_partition = partition_.suits(engine, is_long) ? 0 : 2;
    const double value = affinity(key, engine) + other_partition;
    if (value >= min_value) continue;
    min_value = value;
    prefill_engine = engine.slot;
  }
  return prefill_engine;
}

double EngineChoice::recomputeCost(const ScopedPrompt& prompt, EngineSlot engine, std::uint32_t cached,
                                   double rate) {
  const std::uint32_t known = std::max(prompt.held_shared_tokens, std::min(cached, prompt.shared_tokens));
  std::uint32_t recomputed = prompt.recomputedTokens(cached);
  const std::uint32_t missing = prompt.shared_tokens - known;
  if (engine != prompt.prefill_engine) {
    recomputed += missing;
    return std::min(recomputed / rate * kRecomputeFactor, kRecomputeCostLimit);
  }
  const double cost = std::min(recomputed / rate * kRecomputeFactor, kRecomputeCostLimit);
  return prompt.superseded ? cost + missing / rate * kSupersededPrefillFactor : cost;
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

/// @return the factor from the reported load to the estimated load of all other gateways: those without
/// reports are assumed to have the same load as those with reports. 0: no gateway reports its load.
double EngineChoice::peerLoadScale(const GatewaySnapshot& snapshot, TimePoint now) const {
  const auto active_peers = static_cast<double>(peers_.activePeers(now));
  if (active_peers == 0) return 0;
  return std::max(snapshot.peer_count / active_peers, 1.0);
}

/// The load of the other gateways counts like that of this one.
EngineChoice::Queue EngineChoice::queueOf(const EngineView& engine, const GatewaySnapshot& snapshot,
                                          double rate, TimePoint now) const {
  Queue queue;
  queue.seconds = toSeconds(queues_.wait(engine, rate, ledger_, now));
  const double scale = peerLoadScale(snapshot, now);
  if (scale == 0) {
    queue.unreported = queue.seconds * std::min<double>(snapshot.peer_count, kMaxUnreportedGateways - 1);
    return queue;
  }
  const PendingLoad pending = peers_.at(engine.incarnation, now);
  queue.seconds += pending.waiting_tokens * scale / rate;
  if (engine.load.batch_limit == 0) return queue;
  const double above =
      ledger_.inFlight(engine.slot) + pending.in_flight * scale + 1 - engine.load.batch_limit;
  queue.seconds += std::max(above, 0.0) * kFullBatchDelay;
  return queue;
}

EngineChoice::Candidate EngineChoice::scoreEngine(const Backend& backend, const ScopedPrompt& prompt,
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
  candidate.shared_tokens_again = prompt.recomputedTokens(import.cached);
  const double prefill = candidate.uncached_tokens / rate;
  const Queue queue = queueOf(engine, snapshot, rate, now);
  candidate.first_byte = queue.seconds + import.seconds + prefill + distanceCost(engine, snapshot);
  const double late = std::min(table.lateness(engine.slot), kLatenessLimit);
  const double new_blocks = blocksOf(total) - std::min(blocksOf(held), blocksOf(total));
  candidate.wait = queue.seconds;
  candidate.cost = candidate.first_byte + queue.unreported + late + new_blocks * kEvictionCost +
                   recomputeCost(prompt, engine.slot, import.cached, rate) + supersededCost(prompt, request) +
                   (partition_.suits(engine, isLong(request)) ? 0 : kOtherPartitionCost) +
                   kAffinityCost * affinity(affinityKey(request.client->prompt), engine);
  return candidate;
}

double EngineChoice::supersededCost(const ScopedPrompt& prompt, const ChoiceRequest& request) const {
  if (!prompt.superseded) return 0;
  const double stream = stream_times_.seconds(request.pool->name, expectedTokens(*request.client));
  return kSupersededCost + stream * kSupersededStreamFactor;
}

double EngineChoice::scoreRunner(const Backend& backend, const GatewaySnapshot& snapshot,
                                 const BackendTable& table, TimePoint now) const {
  const double slots = std::max(backend.slots, 1U);
  const double others = peers_.at(backend.view.incarnation, now).in_flight * peerLoadScale(snapshot, now);
  double load = (table.inFlight(backend.view.slot) + others + 1) / slots;
  const double time = std::max(table.responseTime(backend.view.slot), 0.001);
  load *= 1 + time;
  if (backend.view.zone != snapshot.own_zone) load += kOtherZoneLoad;
  return load + random_.unit() / slots / 4;
}

/// @return the cost of a crash of the back end.
double EngineChoice::riskCost(const Backend& backend, const ChoiceRequest& request,
                              const GatewaySnapshot& snapshot, const BackendTable& table,
                              TimePoint now) const {
  const EngineView& engine = backend.view;
  const double others = peers_.at(engine.incarnation, now).in_flight * peerLoadScale(snapshot, now);
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
      candidate = scoreEngine(*backend, prompts[prompt], request, snapshot, table, now);
      candidate.prompt = prompt;
    } else {
      candidate.cost = scoreRunner(*backend, snapshot, table, now);
      candidate.first_byte = table.responseTime(backend->view.slot);
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
  choice.expected_wait = toDuration(best.wait);
  if (!request.uses_prefixes) return choice;
  ScopedPrompt& prompt = prompts[best.prompt];
  choice.weights = prompt.weights;
  choice.cache_scope = prompt.scope;
  choice.save_to = selectStore(prompt, snapshot);
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
  const auto found = cache_updated_at_.find(slot);
  if (found == cache_updated_at_.end()) return std::nullopt;
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

/// The parts enter the index here rather than at the dispatch: an engine has nothing to export before the
/// prefill is done.
void EngineChoice::onFirstByte(const Pool& pool, const DispatchedPrompt& prompt, std::uint64_t dispatch,
                               Duration taken, TimePoint now) {
  rates_.observe(pool.name, prompt.uncached_tokens, taken);
  ledger_.prefillDone(prompt.slot, dispatch, now);
  for (const KeyedPart& part : prompt.parts) index_.set(prompt.slot, prompt.incarnation, part);
}

void EngineChoice::onComplete(const Pool& pool, const ClientRequest& client, Duration taken) {
  stream_times_.observe(pool.name, expectedTokens(client), taken);
}

void EngineChoice::onEnd(EngineSlot slot, std::uint64_t dispatch) {
  ledger_.remove(slot, dispatch);
}

}  // namespace crankspur::gateway
