/// @file Operations at application runners. An operation that must not be repeated is dispatched only under a
/// granted claim, and never again once bytes may have been sent.

#include <algorithm>

#include "base/hash.h"
#include "prefix_index/block_hash.h"
#include "router/request_checks.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Retry delay returned to callers when no runner can accept the operation.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

AdmissionRequest admissionOf(const RequestEntry& entry, TimePoint now) {
  AdmissionRequest admission;
  admission.tenant = entry.request.tenant;
  admission.priority = entry.request.priority;
  admission.cost_tokens = countTokens(entry.request.prompt);
  admission.deadline = entry.deadline - now;
  return admission;
}

}  // namespace

void RequestRouterImpl::startOperation(RequestEntry& entry, TimePoint now) {
  if (!admit(entry, admissionOf(entry, now), now)) return;
  if (needsClaim(entry.request, *bundle())) return startClaim(entry, now);
  dispatchOperation(entry, now);
}

const EngineView* RequestRouterImpl::chooseRunner(const RequestEntry& entry) {
  const OperationPolicy* operation = bundle()->findOperation(entry.request.operation);
  if (operation == nullptr) return nullptr;
  std::vector<const EngineView*> least_loaded;
  std::uint32_t least_load = 0;
  for (const EngineView& runner : snapshot_->runners) {
    if (runner.state != EngineState::Live || !contains(operation->pools, runner.pool)) continue;
    if (contains(entry.excluded_runners, runner.name)) continue;
    const auto found = runner_load_.find(runner.name);
    const std::uint32_t load = found == runner_load_.end() ? 0 : found->second;
    if (!least_loaded.empty() && load > least_load) continue;
    if (load < least_load) least_loaded.clear();
    least_load = load;
    least_loaded.push_back(&runner);
  }
  return least_loaded.empty() ? nullptr : least_loaded[random_.uniform(0, least_loaded.size() - 1)];
}

void RequestRouterImpl::dispatchOperation(RequestEntry& entry, TimePoint now) {
  const EngineView* runner = chooseRunner(entry);
  if (runner == nullptr || entry.dispatches >= maxAttempts()) {
    return refuse(entry, entry.last_error, std::max(entry.last_retry_after, kRetryAfter),
                  "no application runner can take the operation now", now);
  }
  entry.phase = RequestEntry::Phase::Running;
  const CurrentDispatch& dispatch = openDispatch(entry, runner->name, now);
  ++runner_load_[runner->name];
  ++entry.dispatches;
  DispatchOperation action;
  action.dispatch = dispatch.id;
  action.runner_name = runner->name;
  action.address = runner->address;
  action.request = entry.request;
  action.request.deadline = entry.deadline - now;
  actions_.emplace_back(std::move(action));
}

void RequestRouterImpl::onOperationEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now) {
  Attempt& attempt = *entry.dispatch->attempt;
  if (std::holds_alternative<BackendAccepted>(event)) {
    attempt.apply(AttemptEvent::BackendAccepted);
    return;
  }
  if (const auto* piece = std::get_if<BackendPiece>(&event)) {
    attempt.apply(AttemptEvent::PieceReceived);
    entry.text += piece->text;
    return;
  }
  if (std::holds_alternative<BackendEnd>(event)) return onOperationEnd(entry, now);
  if (const auto* refused = std::get_if<BackendRefused>(&event)) {
    entry.last_error = refused->code;
    entry.last_retry_after = refused->retry_after;
    // A refusal after an acceptance violates the protocol; whether the operation ran is unknown.
    if (!attempt.apply(AttemptEvent::BackendRefusedNotRun)) attempt.apply(AttemptEvent::ConnectionFailed);
    return onOperationFailed(entry, now);
  }
  attempt.apply(AttemptEvent::ConnectionFailed);
  const bool never_sent = attempt.state() == AttemptState::NeverSent;
  entry.last_error = never_sent ? ErrorCode::EngineUnavailable : ErrorCode::EngineLost;
  onOperationFailed(entry, now);
}

void RequestRouterImpl::onOperationEnd(RequestEntry& entry, TimePoint now) {
  entry.dispatch->attempt->apply(AttemptEvent::ResponseComplete);
  const std::string runner = entry.dispatch->backend;
  const std::string result = std::move(entry.text);
  closeDispatch(entry, now);
  if (entry.claim) completeClaim(entry, result, now);
  sendOperationResult(entry, result, runner, now);
}

void RequestRouterImpl::onOperationFailed(RequestEntry& entry, TimePoint now) {
  log(EventId::AttemptLost, entry,
      {{"backend", entry.dispatch->backend}, {"reason", errorName(entry.last_error)}});
  entry.excluded_runners.push_back(entry.dispatch->backend);
  entry.text.clear();
  const bool load_refusal =
      entry.last_error == ErrorCode::Overloaded || entry.last_error == ErrorCode::RateLimited;
  entry.dispatch->costless = entry.dispatch->attempt->runState() == RunState::NotRun && !load_refusal;
  closeDispatch(entry, now);
  const bool may_have_run = entry.run_state != RunState::NotRun;
  if (entry.claim && may_have_run) {
    log(EventId::OperationUnknown, entry,
        {{"operation", entry.request.operation}, {"idempotency_key", entry.request.idempotency_key}});
    return refuse(entry, ErrorCode::EngineLost, Duration{0},
                  "the runner was lost; the operation may have run", now);
  }
  const bool final_refusal =
      entry.last_error == ErrorCode::InvalidRequest || entry.last_error == ErrorCode::TooLarge;
  if (final_refusal) {
    return refuse(entry, entry.last_error, entry.last_retry_after, "the runner refused the operation", now);
  }
  if (entry.record_only || now >= entry.deadline) return onDeadline(entry, now);
  if (entry.admitted) return dispatchOperation(entry, now);
  AdmissionRequest admission = admissionOf(entry, now);
  admission.retry = true;
  if (admit(entry, admission, now)) dispatchOperation(entry, now);
}

void RequestRouterImpl::sendOperationResult(RequestEntry& entry, const std::string& result,
                                            const std::string& runner, TimePoint now) {
  const std::uint32_t tokens = countTokens(result);
  if (!result.empty()) {
    send(entry, StreamPiece{entry.request.request_id, entry.request.attempt, 0, tokens, result});
  }
  StreamEnd end;
  end.request_id = entry.request.request_id;
  end.attempt = entry.request.attempt;
  end.token_count = tokens;
  end.checksum = hashBytes(result);
  end.finish_reason = "done";
  end.engine = runner;
  send(entry, std::move(end));
  finish(entry, "done", now);
}

}  // namespace crankspur
