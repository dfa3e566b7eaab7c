#include "gateway/gateway.h"

#include <algorithm>

namespace crankspur::gateway {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// A request that was not dispatched yet is queued for at most its first-byte target divided by this.
constexpr int kQueueTimeDivisor = 4;
/// The same while the back ends are brittle: it waits here instead of in their queues.
constexpr int kBrittleQueueTimeDivisor = 2;
/// Maximum time that a request is queued for another back end after a dispatch.
constexpr Duration kMaxRetryQueueTime = std::chrono::milliseconds(400);
/// Interval at which a queued request retries placement, in addition to retries when capacity becomes free.
constexpr Duration kQueueRetryInterval = std::chrono::milliseconds(30);
/// A request is not dispatched with less time left until its deadline.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);
constexpr std::uint32_t kLowestPriority = 9;
/// Timeout of a route that configures none.
constexpr Duration kDefaultRouteTimeout = std::chrono::seconds(60);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

/// @return the fingerprints of all parts but the last, which other requests do not have.
std::vector<RequestFingerprint> partFingerprints(const ClientRequest& client, const std::string& tenant) {
  std::vector<RequestFingerprint> parts;
  for (std::size_t index = 0; index + 1 < client.prompt.size(); ++index) {
    parts.push_back(partFingerprintOf(client.model, tenant, client.prompt[index].id));
  }
  return parts;
}

}  // namespace

Gateway::Gateway(const GatewaySettings& settings, std::uint64_t random_seed, RequestObserver& observer)
    : settings_(settings),
      random_(random_seed),
      observer_(observer),
      choice_(settings.index_entries, random_),
      shares_(random_),
      weights_(settings.older_weights_grace),
      quotas_(settings.quota_tolerance, random_),
      suspects_(settings.crash_policy),
      slack_share_(settings.retry_budget.slack, settings.retry_budget.window) {}

void Gateway::onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot, TimePoint now) {
  recent_gateways_.onSnapshot(*snapshot, now);
  slack_share_.onDivisor(recent_gateways_.shareDivisor(), now);
  updateListedLimits(*snapshot, now);
  notices_.onSnapshot(*snapshot, now);
  brittle_.onSnapshot(*snapshot, now);
  snapshot_ = withStatedDepartures(std::move(snapshot));
  table_.onSnapshot(*snapshot_, now);
  choice_.onSnapshot(*snapshot_);
  peers_.onSnapshot(*snapshot_);
  weights_.onSnapshot(*snapshot_, now);
  suspects_.removeExpired(now);
  origins_.onSnapshot(*snapshot_, now);
  stream_routes_.onSnapshot(*snapshot_, now);
  if (snapshot_->configuration) {
    shares_.configure(*snapshot_->configuration);
    setQuotas(*snapshot_->configuration, now);
  }
  recheckUnresponsiveBackends(now);
  recallFromLeavingBackends();
  limitStarts(now);
  decideAwaitedOrigins(now);
  serveQueue(now);
}

void Gateway::setQuotas(const Configuration& configuration, TimePoint now) {
  for (const GatewayTenant& tenant : configuration.tenants) quotas_.setLimit(tenant.name, tenant.quota, now);
  quotas_.removeUnlisted();
  quotas_.setGateways(snapshot_->peer_count + 1);
}

LoadDigest Gateway::ownLoadDigest(TimePoint now) {
  LoadDigest digest = choice_.ownLoadDigest();
  digest.tenants = quotas_.report(now);
  limits_.report(digest, now);
  return digest;
}

/// Moves the silence check of requests at unresponsive back ends to an earlier time, so that they are retried
/// elsewhere soon.
void Gateway::recheckUnresponsiveBackends(TimePoint now) {
  const auto is_unresponsive = [this](const Backend& backend) {
    return table_.reach().isUnresponsive(backend);
  };
  if (std::none_of(snapshot_->backends.begin(), snapshot_->backends.end(), is_unresponsive)) return;
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry == nullptr || entry->active.exchange != exchange) continue;
    const Backend* backend = snapshot_->backend(entry->active.slot);
    if (backend == nullptr || !table_.reach().isUnresponsive(*backend)) continue;
    scheduleTimer(*entry, std::min(entry->timer_at,
                                   std::max(now, entry->active.sent_at + silenceLimit(entry->active, now))));
  }
}

Gateway::Entry* Gateway::findClient(ClientId client) {
  const auto found = entries_.find(client);
  return found == entries_.end() ? nullptr : found->second.get();
}

RetryBudget& Gateway::budgetOf(const std::string& pool) {
  return budgets_.try_emplace(pool, settings_.retry_budget).first->second;
}

// New requests.

void Gateway::onRequest(ClientId client, IncomingRequest request, TimePoint now) {
  ++counters_.requests;
  const CheckedRequest checked = checkRequest(request, snapshot_.get(), now);
  if (checked.refusal != 0) return refuseInadmissible(client, request, checked, now);
  auto owned = std::make_unique<Entry>();
  Entry& entry = *owned;
  entry.id = client;
  entry.client = std::move(*request.client);
  entry.from_peer = request.from_peer;
  const std::string_view tenant = checked.tenant == nullptr ? std::string_view() : checked.tenant->name;
  entry.fingerprint = fingerprintOf(request.host, request.path, tenant, request.body);
  entries_.emplace(client, std::move(owned));
  admit(entry, checked, now);
  if (entry.client.resume_after) entry.origin_pools = stream_routes_.poolsOf(request.host, request.path);
  if (entry.route->uses_prefixes) entry.parts = partFingerprints(entry.client, entry.isolated_tenant);
  if (entry.pool == nullptr) return giveUpFor(entry, RequestCause::route_without_pool, now);
  reportAdmitted(entry, now);
  if (checked.tenant != nullptr && !checkQuota(entry, *checked.tenant, now)) return;
  if (entry.deadline - now < kMinTimeLeft) return giveUpFor(entry, RequestCause::no_time_left, now);
  if (!entry.from_peer) budgetOf(entry.pool->name).onRequest(now);  // Else the other gateway counts it.
  if (resolveOrigin(entry, now)) place(entry, now);
}

void Gateway::admit(Entry& entry, const CheckedRequest& checked, TimePoint now) {
  const Route& route = *checked.route;
  entry.configuration = snapshot_->configuration;
  entry.route = &route;
  entry.pool = entry.configuration->findPool(route.pools[shares_.next(route)].pool);
  entry.priority = route.priority;
  if (checked.tenant != nullptr) {
    entry.tenant = checked.tenant->name;
    entry.priority = checked.tenant->priority.value_or(route.priority);
    if (checked.tenant->isolated) entry.isolated_tenant = checked.tenant->name;
  }
  entry.arrived_at = now;
  entry.deadline = deadlineOf(route, entry.client, now);
  if (route.repeatability == Repeatability::ResumableStream) entry.cursor.emplace(entry.client.resume_after);
}

/// @return the earlier of the client's and the route's deadline.
TimePoint Gateway::deadlineOf(const Route& route, const ClientRequest& client, TimePoint now) {
  const TimePoint deadline = now + (route.timeout > Duration(0) ? route.timeout : kDefaultRouteTimeout);
  return client.deadline ? std::min(deadline, now + *client.deadline) : deadline;
}

/// @return false: the tenant's quota is used up, and the request was rejected.
bool Gateway::checkQuota(Entry& entry, const GatewayTenant& tenant, TimePoint now) {
  const double tokens = double(entry.client.prompt_tokens) + double(entry.client.max_completion_tokens);
  entry.quota_units = !tenant.quota_in_tokens ? 1 : tokens > 0 ? tokens : tenant.default_tokens;
  const QuotaDecision decision = quotas_.admit(tenant.name, entry.quota_units, now);
  if (decision.admitted) return true;
  ++counters_.refused;
  entry.cause = RequestCause::over_quota;
  observer_.onOverQuota({entry.client.request_id, tenant.name, entry.quota_units, decision.state});
  actions_.emplace_back(Refuse{entry.id, kTooManyRequests, decision.retry_after, entry.cause});
  reportEnded(entry, RequestOutcome::rejected, kTooManyRequests, decision.retry_after, now);
  finish(entry);
  return false;
}

/// To be called when the request ends without having been sent to a back end that may run it.
void Gateway::refundQuota(const Entry& entry, TimePoint now) {
  if (entry.quota_units > 0) quotas_.refund(entry.tenant, entry.quota_units, now);
}

ChoiceRequest Gateway::choiceRequest(const Entry& entry, const Pool& pool, TimePoint now) {
  ChoiceRequest request;
  request.pool = &pool;
  request.client = &entry.client;
  request.uses_prefixes = entry.route->uses_prefixes;
  request.isolated_tenant = entry.isolated_tenant;
  request.excluded = entry.failed;
  request.build = entry.origin ? entry.origin : entry.sole_build;
  request.prefer_in_reach = isPartitioned(pool, now);
  if (!entry.suspected.empty()) {
    request.prefer_fewest_requests = true;
    request.avoided = slotsOfIsolatedRequests();
  }
  if (request.uses_prefixes) {
    request.weights_clock = &weights_;
    request.weights_margin = settings_.older_weights_margin;
  }
  return request;
}

/// Chooses from the pool selected by the route's shares. If no back end of it is eligible, tries the other
/// pools of the route.
Choice Gateway::choose(Entry& entry, TimePoint now) {
  entry.passed_over = {};
  Choice choice = chooseAccepting(entry, *entry.pool, now);
  if (choice.backend != nullptr || choice.at_capacity) return choice;
  for (const PoolShare& share : entry.route->pools) {
    const Pool* other = entry.configuration->findPool(share.pool);
    if (other == nullptr || other == entry.pool || share.weight == 0) continue;
    Choice second = chooseAccepting(entry, *other, now);
    if (second.backend == nullptr) continue;
    if (!moveReservedRetry(entry, other->name, now)) {
      limits_.refund(second.backend->view.incarnation, now);
      continue;
    }
    entry.pool = other;
    return second;
  }
  return choice;
}

void Gateway::place(Entry& entry, TimePoint now) {
  if (isTooLate(*entry.route, entry.deadline, now)) return giveUpFor(entry, RequestCause::stopping, now);
  if (!checkQuarantine(entry, now)) return;
  if (!isOriginServed(entry)) return giveUpFor(entry, causeOfUnserved(entry), now);
  if (isPartitioned(*entry.pool, now)) probeReach(*entry.pool, now);
  const Choice choice = choose(entry, now);
  if (choice.backend == nullptr) {
    return placeLater(entry, choice.at_capacity, now);
  }
  std::optional<RequestCause> cause = reasonNotToDispatch(entry, choice, now);
  if (!cause && seemsOutOfReach(*choice.backend, *entry.pool, now)) {
    entry.cause = RequestCause::back_end_unreachable;
    if (relay(entry, now)) return limits_.refund(choice.backend->view.incarnation, now);
    // The gateway that relayed it can try another one, unless a back end here may have run it.
    const bool returnable = entry.from_peer && !entry.mayHaveArrived();
    if (returnable && isPartitioned(*entry.pool, now)) cause = entry.cause;
  }
  if (cause) {
    limits_.refund(choice.backend->view.incarnation, now);
    entry.cause = *cause;
    if (!relay(entry, now)) giveUp(entry, now);
    return;
  }
  dispatch(entry, choice, now);
}

/// No back end takes the request now. It is queued while one may within a short time, which back ends that
/// are paused or limited do not.
void Gateway::placeLater(Entry& entry, bool at_capacity, TimePoint now) {
  const PassedOver& passed_over = entry.passed_over;
  const bool waits = at_capacity || passed_over.backends == 0;
  if (waits) {
    entry.cause = at_capacity ? RequestCause::back_ends_full : RequestCause::no_back_end;
  } else {
    const bool only_paused = passed_over.paused == passed_over.backends;
    entry.cause = only_paused ? RequestCause::back_ends_paused : RequestCause::back_ends_limited;
  }
  if (relay(entry, now)) return;
  if (waits) return wait(entry, now);
  giveUp(entry, now);
}

/// @return why the request cannot be served in time; empty: it can.
std::optional<RequestCause> Gateway::reasonNotToDispatch(Entry& entry, const Choice& choice,
                                                         TimePoint now) const {
  if (entry.deadline - now < kMinTimeLeft) return RequestCause::no_time_left;
  if (now + choice.expected_first_byte >= entry.deadline) return RequestCause::expected_too_late;
  if (!wouldStartTooLate(entry, choice, now)) return std::nullopt;
  entry.expected_wait = choice.expected_wait;
  return RequestCause::queues_too_long;
}

/// Under overload, queues would otherwise grow until every response is late. A request whose first byte is
/// due before the best engine would start it is refused at once, so that the others stay in time. The time
/// that its own prompt takes does not count, since a long prompt must not be refused for its length. A stream
/// that goes on has had its first byte, and may go on only at some back ends.
bool Gateway::wouldStartTooLate(const Entry& entry, const Choice& choice, TimePoint now) const {
  const Duration target = entry.route->first_byte_target;
  if (!entry.route->uses_prefixes || target <= Duration(0)) return false;
  if (entry.dispatches > 0 || entry.origin) return false;
  return now - entry.arrived_at + choice.expected_wait > target;
}

// The queue.

void Gateway::wait(Entry& entry, TimePoint now) {
  if (!entry.waiting) {
    entry.waiting = true;
    queue_.insert({entry.priority, entry.id});
    const bool is_brittle = brittle_.isBrittle(entry.pool->name, now);
    const int divisor = is_brittle ? kBrittleQueueTimeDivisor : kQueueTimeDivisor;
    const TimePoint first = entry.arrived_at + entry.route->first_byte_target / divisor;
    const TimePoint until = entry.dispatches > 0 ? now + kMaxRetryQueueTime : std::max(now, first);
    entry.queued_until = std::min(until, entry.deadline);
    if (now < entry.queued_until) reportWaiting(entry, now);
  }
  if (now >= entry.queued_until) return giveUp(entry, now);
  scheduleTimer(entry, std::min(entry.queued_until, now + kQueueRetryInterval));
}

void Gateway::serveQueue(TimePoint now) {
  if (queue_.empty()) return;
  const std::vector<std::pair<std::uint32_t, ClientId>> waiting(queue_.begin(), queue_.end());
  std::vector<const Pool*> full;
  for (const auto& [priority, client] : waiting) {
    Entry* entry = findClient(client);
    if (entry == nullptr || std::find(full.begin(), full.end(), entry->pool) != full.end()) continue;
    const Pool* pool = entry->pool;
    place(*entry, now);
    entry = findClient(client);
    const bool lacks_capacity = entry != nullptr && entry->cause != RequestCause::runs_already;
    if (lacks_capacity && entry->waiting) full.push_back(pool);
  }
}

// Dispatch.

ForwardTerms Gateway::forwardTerms(const Entry& entry, const Choice& choice, TimePoint now) const {
  ForwardTerms terms;
  terms.expected_backend = choice.backend->view.name;
  terms.tenant = entry.tenant;
  terms.expected_weights = choice.weights;
  terms.deadline = entry.deadline - now - settings_.deadline_margin;
  terms.priority = std::min(entry.priority, kLowestPriority);
  terms.cache_scope = choice.cache_scope;
  terms.import_from = choice.import_from;
  terms.save_to = choice.save_to;
  terms.resume_after = entry.cursor ? entry.cursor->lastEvent() : entry.client.resume_after;
  return terms;
}

void Gateway::dispatch(Entry& entry, const Choice& choice, TimePoint now) {
  if (entry.waiting) queue_.erase({entry.priority, entry.id});
  entry.waiting = false;
  const EngineView& backend = choice.backend->view;
  ActiveExchange active;
  active.exchange = next_exchange_++;
  active.slot = backend.slot;
  active.incarnation = backend.incarnation;
  active.build = buildId(choice.backend->build);
  active.sent_at = now;
  active.last_received_at = now;
  active.expected = choice.expected_first_byte;
  active.weights = choice.weights;
  active.limited = limits_.limitOf(backend.incarnation) > 0;
  active.prompt = choice_.onDispatch(choice, active.exchange, now);
  ++entry.backends_reached;
  ++entry.dispatches;
  ++counters_.dispatches;
  if (entry.mayHaveArrived()) ++counters_.repeats;
  countSentRetry(entry, now);
  exchanges_[active.exchange] = entry.id;
  entry.last_backend = backend.name;
  reportPlaced(entry, choice, now);
  table_.onDispatch(backend.slot);
  scheduleTimer(entry, std::min(entry.deadline, now + settings_.silence_limit));
  actions_.emplace_back(
      Dispatch{active.exchange, entry.id, backend.address, forwardTerms(entry, choice, now)});
  entry.active = std::move(active);
  limitStart(entry, now);
}

// End of requests.

/// Responds that the request was not run, with the time after which the client may retry.
void Gateway::refuse(Entry& entry, TimePoint now) {
  ++counters_.refused;
  refundQuota(entry, now);
  const Duration retry_after = retryAfter(entry, now);
  const bool is_partitioned = entry.pool != nullptr && isPartitioned(*entry.pool, now);
  const bool out_of_reach = entry.from_peer && (is_partitioned || entry.cause == RequestCause::stopping);
  actions_.emplace_back(Refuse{entry.id, kUnavailable, retry_after, entry.cause, out_of_reach});
  reportEnded(entry, RequestOutcome::refused, kUnavailable, retry_after, now);
}

/// Refuses a request that failed the checks on arrival.
void Gateway::refuseInadmissible(ClientId client, const IncomingRequest& request,
                                 const CheckedRequest& checked, TimePoint now) {
  ++counters_.refused;
  const bool retryable = checked.refusal == kUnavailable;
  const Duration retry_after = retryable ? kMaxRetryAfter : Duration(0);
  actions_.emplace_back(Refuse{client, checked.refusal, retry_after, checked.cause});
  Entry entry;
  entry.id = client;
  if (request.client) entry.client.request_id = request.client->request_id;
  entry.route = checked.route;
  entry.configuration = snapshot_ == nullptr ? nullptr : snapshot_->configuration;
  entry.cause = checked.cause;
  entry.arrived_at = now;
  const RequestOutcome outcome = retryable ? RequestOutcome::refused : RequestOutcome::rejected;
  reportEnded(entry, outcome, checked.refusal, retry_after, now);
}

void Gateway::giveUpFor(Entry& entry, RequestCause cause, TimePoint now) {
  entry.cause = cause;
  giveUp(entry, now);
}

/// Random around half of the first-byte target, so that clients refused at the same time do not retry at the
/// same time. If queues are too long, also the time until they are expected to be short enough. For a
/// quarantined request, the time left of the quarantine. None for a stream that can never go on. If limits of
/// back ends are used up, around the time until one has room. While all back ends are paused, also the time
/// until the first pause ends.
Duration Gateway::retryAfter(const Entry& entry, TimePoint now) {
  if (entry.cause == RequestCause::quarantined) return entry.quarantined_until - now;
  if (entry.cause == RequestCause::build_gone) return Duration(0);
  if (entry.cause == RequestCause::stopping) return retryAfterStop(now);
  const auto spread = [this](Duration mean) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + random_.unit())));
  };
  if (entry.cause == RequestCause::back_ends_limited)
    return spread(std::max(entry.passed_over.time_left, kMinRetryAfter));
  const Duration target = entry.route->first_byte_target;
  const Duration excess = std::max(Duration(0), entry.expected_wait - target);
  const Duration usual = spread(std::clamp(target / 2, kMinRetryAfter, kMaxRetryAfter) + excess);
  return pauseOfRoute(entry, now) + usual;
}

void Gateway::finish(Entry& entry) {
  if (entry.waiting) queue_.erase({entry.priority, entry.id});
  timers_.erase({entry.timer_at, entry.id});
  awaiting_origin_.erase(entry.id);
  if (entry.reserved_retry) budgetOf(*entry.reserved_retry).release();
  const ClientId id = entry.id;  // erase() destroys the entry.
  entries_.erase(id);
}

void Gateway::onClientDisconnected(ClientId client, TimePoint now) {
  Entry* entry = findClient(client);
  if (entry == nullptr) return;
  ++counters_.abandoned;
  entry->cause = RequestCause::client_left;
  if (entry->dispatches == 0) refundQuota(*entry, now);
  reportEnded(*entry, RequestOutcome::abandoned, entry->head_forwarded ? entry->active.status : 0,
              Duration(0), now);
  cancelExchange(*entry, DispatchOutcome::Ended, now);
  finish(*entry);
  serveQueue(now);
}

/// The deadline of the request has passed.
void Gateway::expire(Entry& entry, TimePoint now) {
  if (entry.active.exchange != 0) {
    entry.recordDelivery(Delivery::may_have_run);
    entry.cause = RequestCause::time_ran_out;
    run_times_.onEnded(entry.route->name, now - entry.active.sent_at, now);
  }
  cancelExchange(entry, DispatchOutcome::Ended, now);
  if (!entry.head_forwarded && entry.mayHaveRun()) {
    ++counters_.failed;
    actions_.emplace_back(Refuse{entry.id, kGatewayTimeout, Duration(0), entry.cause});
    reportEnded(entry, RequestOutcome::failed, kGatewayTimeout, Duration(0), now);
    return finish(entry);
  }
  giveUp(entry, now);
}

// Timers.

void Gateway::scheduleTimer(Entry& entry, TimePoint when) {
  timers_.erase({entry.timer_at, entry.id});
  entry.timer_at = when;
  timers_.insert({when, entry.id});
}

std::optional<TimePoint> Gateway::nextTimer() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first;
}

void Gateway::onTimer(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const ClientId client = timers_.begin()->second;
    Entry* entry = findClient(client);
    timers_.erase(timers_.begin());
    if (entry == nullptr) continue;
    entry->timer_at = TimePoint::max();
    onRequestTimer(*entry, now);
  }
}

void Gateway::onRequestTimer(Entry& entry, TimePoint now) {
  if (now >= entry.deadline) return expire(entry, now);
  if (awaiting_origin_.contains(entry.id)) return checkAwaitedOrigin(entry, now);
  if (entry.waiting) return place(entry, now);
  if (entry.active.exchange != 0 && now >= entry.active.start_by && !entry.active.first_byte) {
    return withdraw(entry, now);
  }
  if (entry.active.exchange != 0) return checkSilence(entry, now);
  scheduleTimer(entry, entry.deadline);
}

}  // namespace crankspur::gateway
