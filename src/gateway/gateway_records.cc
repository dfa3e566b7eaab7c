/// @file Member functions of Gateway that report its decisions to the observer.

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

std::uint64_t versionOf(const std::shared_ptr<const Configuration>& configuration) {
  return configuration == nullptr ? 0 : configuration->version;
}

std::string_view nameOrEmpty(const Route* route) {
  return route == nullptr ? std::string_view() : std::string_view(route->name);
}

/// @return why the driver responds with the status to a request that it could not read.
RequestCause causeOfUnreadable(int status, http::RejectionReason reason) {
  if (reason == http::RejectionReason::no_memory) return RequestCause::memory_exhausted;
  if (reason == http::RejectionReason::stopping) return RequestCause::stopping;
  switch (status) {
    case 408:
      return RequestCause::arrived_too_slowly;
    case 413:
      return RequestCause::body_too_large;
    case 431:
      return RequestCause::head_too_large;
    case 503:
      return RequestCause::too_many_connections;
    default:
      return RequestCause::malformed_head;
  }
}

}  // namespace

void Gateway::onUnreadableRequest(const std::string& request_id, int status, http::RejectionReason reason,
                                  TimePoint now) {
  ++counters_.requests;
  ++counters_.refused;
  Entry entry;
  entry.client.request_id = request_id;
  entry.cause = causeOfUnreadable(status, reason);
  entry.arrived_at = now;
  const bool retryable = status == 408 || status == 503;
  const RequestOutcome outcome = retryable ? RequestOutcome::refused : RequestOutcome::rejected;
  reportEnded(entry, outcome, status, Duration(0), now);
}

void Gateway::reportOrigin(const Entry& entry, const StreamOrigin& origin, TimePoint now) {
  OriginDecided record;
  record.request_id = entry.client.request_id;
  record.resumed_attempt = entry.client.resumed_attempt;
  record.pool = entry.pool->name;
  record.state = nameOf(origin.state);
  record.source = nameOf(origin.source);
  record.build = origin.build;
  record.builds_seen = origin.builds_seen;
  record.unanswered = origin.unanswered;
  record.waited = now - entry.arrived_at;
  record.list_age = snapshot_->listAge(now);
  record.gateway_age = origins_.age(now);
  observer_.onOriginDecided(record);
}

void Gateway::reportAdmitted(const Entry& entry, TimePoint now) {
  RequestAdmitted record;
  record.request_id = entry.client.request_id;
  record.route = entry.route->name;
  record.pool = entry.pool->name;
  record.tenant = entry.tenant;
  record.model = entry.client.model;
  record.fingerprint = entry.fingerprint;
  record.configuration_version = versionOf(entry.configuration);
  if (entry.route->needs_tenant) record.keys_age = snapshot_->keysAge(now);
  record.priority = entry.priority;
  record.prompt_tokens = entry.client.prompt_tokens;
  record.resumed_attempt = entry.client.resumed_attempt;
  record.resume_after = entry.client.resume_after;
  record.time_left = entry.deadline - now;
  observer_.onAdmitted(record);
}

void Gateway::reportPlaced(const Entry& entry, const Choice& choice, TimePoint now) {
  const EngineView& backend = choice.backend->view;
  RequestPlaced record;
  record.request_id = entry.client.request_id;
  record.dispatch = entry.dispatches;
  record.pool = backend.pool;
  record.backend = backend.name;
  record.build = choice.backend->build;
  record.zone = backend.zone;
  record.weights = choice.weights;
  record.candidates = choice.candidates;
  record.cost = choice.cost;
  if (choice.runner_up != nullptr) record.runner_up = choice.runner_up->view.name;
  record.runner_up_cost = choice.runner_up_cost;
  record.in_flight = table_.inFlight(backend.slot);
  record.passed_over = entry.passed_over.backends;
  record.paused = entry.passed_over.paused;
  record.backend_limit = limits_.limitOf(backend.incarnation);
  record.backend_paused = notices_.pausedFor(backend.incarnation, now);
  record.backend_leaving = notices_.isLeaving(backend.incarnation);
  record.prompt_tokens = entry.client.prompt_tokens;
  record.uncached_tokens = choice.uncached_tokens;
  record.shared_tokens_again = choice.shared_tokens_again;
  const std::vector<PromptPart>& parts = entry.client.prompt;
  for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
    record.shared_part = parts[index].id;
    record.shared_tokens += parts[index].tokens;
  }
  record.import_from = choice.import_from;
  if (entry.route->uses_prefixes) record.cache_age = choice_.cacheAge(backend.slot, now);
  record.list_age = snapshot_->listAge(now);
  record.configuration_version = versionOf(entry.configuration);
  record.expected_first_byte = choice.expected_first_byte;
  record.time_left = entry.deadline - now;
  observer_.onPlaced(record);
}

void Gateway::reportWaiting(const Entry& entry, TimePoint now) {
  RequestWaiting record;
  record.request_id = entry.client.request_id;
  record.route = entry.route->name;
  record.pool = entry.pool->name;
  record.cause = entry.cause;
  record.max_wait = entry.queued_until - now;
  record.reach = reachOf(*entry.pool, now);
  observer_.onWaiting(record);
}

void Gateway::reportMoved(const Entry& entry, const ActiveExchange& active, int status, RepeatDecision repeat,
                          TimePoint now) {
  RequestMoved record;
  record.request_id = entry.client.request_id;
  record.fingerprint = entry.fingerprint;
  record.backend = entry.last_backend;
  record.cause = entry.cause;
  record.status = status;
  record.after = now - active.sent_at;
  record.repeat = repeat;
  record.resumes = isRepeated(repeat) && entry.head_forwarded;
  record.share_divisor = recent_gateways_.shareDivisor();
  record.backends_reached = entry.backends_reached;
  record.body = active.bodyState();
  const auto budget = budgets_.find(entry.pool->name);
  if (budget != budgets_.end()) record.budget_left = budget->second.left(slack_share_.at(now), now);
  observer_.onMoved(record);
}

void Gateway::reportEnded(const Entry& entry, RequestOutcome outcome, int status, Duration retry_after,
                          TimePoint now) {
  RequestEnded record;
  record.request_id = entry.client.request_id;
  record.route = nameOrEmpty(entry.route);
  record.tenant = entry.tenant;
  record.backend = entry.last_backend;
  record.outcome = outcome;
  const bool answered = outcome == RequestOutcome::answered;
  record.cause = answered ? RequestCause::none : entry.cause;
  record.status = status;
  record.may_have_run = entry.mayHaveRun();
  record.dispatches = entry.dispatches;
  record.configuration_version = versionOf(entry.configuration);
  if (snapshot_ != nullptr) {
    if (entry.route != nullptr && entry.route->needs_tenant) record.keys_age = snapshot_->keysAge(now);
    record.list_age = snapshot_->listAge(now);
  }
  record.retry_after = retry_after;
  if (entry.first_byte_at) record.first_byte = *entry.first_byte_at - entry.arrived_at;
  record.body = entry.active.bodyState();
  if (entry.cursor) record.continuity = entry.cursor->continuity();
  if (outcome == RequestOutcome::refused && entry.pool != nullptr) record.reach = reachOf(*entry.pool, now);
  record.total = now - entry.arrived_at;
  observer_.onEnded(record);
}

}  // namespace crankspur::gateway
