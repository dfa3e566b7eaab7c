#include "router/request_router.h"

#include <algorithm>

#include "router/request_checks.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Time that a request waits for a bundle at least as new as its sidecar's.
constexpr Duration kBundleWaitTimeout = std::chrono::seconds(1);
/// Retry delay returned to callers when the bundle was not received in time.
constexpr Duration kBundleRetryAfter = std::chrono::seconds(1);
/// Time limit of an engine's acceptance, including the connect. Acceptance requires no computation, so an
/// engine that exceeds it is considered lost.
constexpr Duration kAcceptTimeout = std::chrono::seconds(2);
/// Time without events in a stream after which its engine is considered lost.
constexpr Duration kStreamIdleTimeout = std::chrono::seconds(4);
/// Time without events after which a resume call is considered failed.
constexpr Duration kResumeTimeout = std::chrono::seconds(1);
constexpr Duration kUnboundedTimeout = std::chrono::hours(24);
/// Time after the deadline during which the result of an operation is still awaited to be recorded, although
/// the caller was refused.
constexpr Duration kRecordTimeout = std::chrono::minutes(10);
/// Number of requests whose ended attempts are stored.
constexpr std::size_t kMaxEndedRequests = 8192;

/// @return the time without events after which the dispatch is considered failed, given its state.
Duration idleTimeout(const CurrentDispatch& dispatch) {
  switch (dispatch.attempt->state()) {
    case AttemptState::NotSent:
    case AttemptState::Sent:
      return dispatch.resume ? kResumeTimeout : kAcceptTimeout;
    case AttemptState::Streaming:
      return kStreamIdleTimeout;
    default:
      // Time in the engine's queue is bounded by the deadline.
      return kUnboundedTimeout;
  }
}

}  // namespace

RequestRouterImpl::RequestRouterImpl(RequestRouterOptions options)
    : options_(std::move(options)),
      random_(options_.random_seed),
      ended_attempts_(kMaxEndedRequests),
      records_(options_.explain_records) {}

RequestEntry* RequestRouterImpl::findEntry(Serial serial) {
  const auto found = entries_.find(serial);
  return found == entries_.end() ? nullptr : found->second.get();
}

RequestEntry* RequestRouterImpl::findRequest(const std::string& request_id) {
  const auto found = by_request_.find(request_id);
  return found == by_request_.end() ? nullptr : findEntry(found->second);
}

RequestEntry* RequestRouterImpl::findDispatch(DispatchId dispatch) {
  const auto found = by_dispatch_.find(dispatch);
  return found == by_dispatch_.end() ? nullptr : findEntry(found->second);
}

std::uint32_t RequestRouterImpl::maxAttempts() const {
  return std::max<std::uint32_t>(1, bundle()->knobs.max_attempts);
}

void RequestRouterImpl::onSubmit(SidecarId sidecar, const SubmitRequest& request, TimePoint now) {
  if (RequestEntry* entry = findRequest(request.request_id)) return resubmit(*entry, sidecar, request, now);
  // A delayed duplicate of an attempt that ended or was cancelled; its final response was sent.
  if (request.attempt != 0 && request.attempt <= ended_attempts_.highest(request.request_id)) return;
  addRequest(sidecar, request, RunState::NotRun, now);
}

void RequestRouterImpl::addRequest(SidecarId sidecar, const SubmitRequest& request, RunState previous_state,
                                   TimePoint now) {
  const Serial serial = next_serial_++;
  auto owned = std::make_unique<RequestEntry>();
  RequestEntry& entry = *owned;
  entry.serial = serial;
  entry.request = request;
  entry.sidecar = sidecar;
  entry.submitted_at = now;
  entry.deadline = now + request.deadline;
  entry.run_state = request.resume_offset > 0 ? RunState::Ran : previous_state;
  entry.record.request_id = request.request_id;
  entry.record.attempt = request.attempt;
  entry.record.tenant = request.tenant;
  entry.record.model = request.kind == RequestKind::Application ? request.operation : request.model;
  entry.record.outcome = "running";
  entries_.emplace(serial, std::move(owned));
  by_request_[request.request_id] = serial;
  if (draining_) {
    return refuse(entry, ErrorCode::Stopping, Duration{0}, "the router takes no new work", now);
  }
  if (request.deadline <= Duration{0}) {
    return refuse(entry, ErrorCode::DeadlineExceeded, Duration{0}, "no time is left", now);
  }
  startRequest(entry, now);
}

void RequestRouterImpl::startRequest(RequestEntry& entry, TimePoint now) {
  if (waitForBundle(entry, now)) return;
  entry.record.bundle_version = bundle()->version;
  if (const auto error = checkRequest(entry.request, *bundle())) {
    return refuse(entry, error->code, Duration{0}, error->message, now);
  }
  entry.phase = RequestEntry::Phase::Running;
  if (entry.request.kind == RequestKind::Application) return startOperation(entry, now);
  startCompletion(entry, now);
}

bool RequestRouterImpl::waitForBundle(RequestEntry& entry, TimePoint now) {
  const Bundle* current = bundle();
  if (current != nullptr && current->version >= entry.request.bundle_version) return false;
  if (entry.phase != RequestEntry::Phase::WaitingForBundle) {
    entry.phase = RequestEntry::Phase::WaitingForBundle;
    entry.bundle_wait_end = now + kBundleWaitTimeout;
  }
  schedule(entry);
  return true;
}

void RequestRouterImpl::resubmit(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request,
                                 TimePoint now) {
  if (request.attempt <= entry.request.attempt) return;
  if (adopt(entry, sidecar, request, now)) return;
  // The sidecar abandoned the older attempt, whose dispatch must not run concurrently with the new one.
  cancelDispatch(entry, now);
  const RunState previous_state = entry.run_state;
  finish(entry, "superseded", now);
  addRequest(sidecar, request, previous_state, now);
}

bool RequestRouterImpl::adopt(RequestEntry& entry, SidecarId sidecar, const SubmitRequest& request,
                              TimePoint now) {
  const SubmitRequest& current = entry.request;
  const bool same_work = request.kind == current.kind && request.tenant == current.tenant &&
                         request.model == current.model && request.adapter == current.adapter &&
                         request.operation == current.operation && request.prompt == current.prompt &&
                         request.idempotency_key == current.idempotency_key &&
                         request.max_tokens == current.max_tokens;
  const bool text_matches = request.resume_offset <= entry.tokens &&
                            entry.text.compare(0, request.resume_text.size(), request.resume_text) == 0;
  const bool in_progress = entry.claim.has_value() || entry.dispatch.has_value();
  if (!same_work || !text_matches || !in_progress) return false;
  entry.request.attempt = request.attempt;
  entry.record.attempt = request.attempt;
  entry.sidecar = sidecar;
  entry.record_only = false;
  entry.deadline = now + request.deadline;
  schedule(entry);
  if (current.kind != RequestKind::Completion) return true;
  if (entry.dispatch->attempt->state() != AttemptState::Sent &&
      entry.dispatch->attempt->state() != AttemptState::NotSent) {
    send(entry, acceptedMessage(entry));
  }
  if (entry.tokens > request.resume_offset) {
    send(entry, StreamPiece{current.request_id, current.attempt, request.resume_offset,
                            static_cast<std::uint32_t>(entry.tokens - request.resume_offset),
                            entry.text.substr(request.resume_text.size())});
  }
  return true;
}

void RequestRouterImpl::onCancel(SidecarId, const Cancel& cancel, TimePoint now) {
  RequestEntry* entry = findRequest(cancel.request_id);
  if (entry == nullptr) return ended_attempts_.record(cancel.request_id, cancel.attempt);
  if (cancel.attempt < entry->request.attempt || entry->record_only) return;
  if (mustRunToCompletion(*entry)) {
    return refuseAndKeep(*entry, ErrorCode::Cancelled, "the caller gave up; the operation may have run");
  }
  cancelDispatch(*entry, now);
  refuse(*entry, ErrorCode::Cancelled, Duration{0}, "the caller gave up", now);
}

void RequestRouterImpl::onSidecarLost(SidecarId sidecar, TimePoint now) {
  std::vector<Serial> affected;
  for (const auto& [serial, entry] : entries_) {
    if (entry->sidecar == sidecar) affected.push_back(serial);
  }
  for (const Serial serial : affected) {
    RequestEntry& entry = *findEntry(serial);
    if (mustRunToCompletion(entry)) {
      entry.record_only = true;
      schedule(entry);
      continue;
    }
    cancelDispatch(entry, now);
    finish(entry, "sidecar_lost", now);
  }
}

void RequestRouterImpl::onDispatchSent(DispatchId dispatch, TimePoint now) {
  RequestEntry* entry = findDispatch(dispatch);
  if (entry == nullptr) return;
  if (entry->dispatch->attempt->state() != AttemptState::NotSent) return;
  entry->dispatch->attempt->apply(AttemptEvent::BytesSent);
  entry->dispatch->last_activity_at = now;
  schedule(*entry);
}

void RequestRouterImpl::onBackend(DispatchId dispatch, const BackendEvent& event, TimePoint now) {
  RequestEntry* entry = findDispatch(dispatch);
  if (entry == nullptr) return;  // The dispatch has ended.
  Attempt& attempt = *entry->dispatch->attempt;
  const auto* lost = std::get_if<BackendLost>(&event);
  const bool never_sent = lost != nullptr && !lost->bytes_sent;
  // Any event from the back end proves that bytes were sent.
  if (!never_sent && attempt.state() == AttemptState::NotSent) attempt.apply(AttemptEvent::BytesSent);
  entry->dispatch->last_activity_at = now;
  if (entry->request.kind == RequestKind::Application) return onOperationEvent(*entry, event, now);
  onCompletionEvent(*entry, event, now);
}

CurrentDispatch& RequestRouterImpl::openDispatch(RequestEntry& entry, const std::string& backend,
                                                 TimePoint now) {
  CurrentDispatch& dispatch = entry.dispatch.emplace();
  dispatch.id = next_dispatch_++;
  dispatch.attempt = makeAttempt();
  dispatch.backend = backend;
  dispatch.last_activity_at = now;
  dispatch.first_token_offset = entry.tokens;
  by_dispatch_[dispatch.id] = entry.serial;
  entry.record.engine_name = backend;
  schedule(entry);
  return dispatch;
}

void RequestRouterImpl::closeDispatch(RequestEntry& entry, TimePoint now) {
  if (!entry.dispatch) return;
  const CurrentDispatch& dispatch = *entry.dispatch;
  entry.run_state = std::max(entry.run_state, dispatch.attempt->runState());
  const std::uint64_t generated_tokens = entry.tokens - dispatch.first_token_offset;
  if (!dispatch.costless) {
    finishAdmission(entry, dispatch.computed_prompt_tokens + static_cast<std::uint32_t>(generated_tokens),
                    now);
  }
  if (entry.request.kind == RequestKind::Completion) {
    outstanding_work_.remove(dispatch.engine, dispatch.id);
  } else if (--runner_load_[dispatch.backend] == 0) {
    runner_load_.erase(dispatch.backend);
  }
  by_dispatch_.erase(dispatch.id);
  entry.dispatch.reset();
}

void RequestRouterImpl::cancelDispatch(RequestEntry& entry, TimePoint now) {
  if (!entry.dispatch) return;
  actions_.emplace_back(CancelDispatch{entry.dispatch->id});
  closeDispatch(entry, now);
}

RunState RequestRouterImpl::runState(const RequestEntry& entry) const {
  if (!entry.dispatch) return entry.run_state;
  return std::max(entry.run_state, entry.dispatch->attempt->runState());
}

void RequestRouterImpl::refuse(RequestEntry& entry, ErrorCode code, Duration retry_after,
                               const std::string& message, TimePoint now) {
  sendRefusal(entry, code, retry_after, message);
  finish(entry, errorName(code), now);
}

void RequestRouterImpl::refuseAndKeep(RequestEntry& entry, ErrorCode code, const std::string& message) {
  sendRefusal(entry, code, Duration{0}, message);
  entry.record_only = true;
  schedule(entry);
}

void RequestRouterImpl::sendRefusal(RequestEntry& entry, ErrorCode code, Duration retry_after,
                                    const std::string& message) {
  const RunState run_state = runState(entry);
  log(EventId::RequestRefused, entry,
      {{"code", errorName(code)}, {"run_state", static_cast<int>(run_state)}, {"reason", message}});
  send(entry,
       Refusal{entry.request.request_id, entry.request.attempt, code, run_state, retry_after, message});
}

bool RequestRouterImpl::mustRunToCompletion(const RequestEntry& entry) {
  return entry.claim_granted && entry.dispatch && entry.dispatch->attempt->state() != AttemptState::NotSent;
}

void RequestRouterImpl::finish(RequestEntry& entry, const std::string& outcome, TimePoint now) {
  closeDispatch(entry, now);
  finishAdmission(entry, 0, now);
  if (entry.claim) {
    if (entry.run_state == RunState::NotRun) releaseClaim(entry, now);
    detachClaim(entry, now);
  }
  entry.record.outcome = outcome;
  records_.put(entry.record);
  ended_attempts_.record(entry.request.request_id, entry.request.attempt);
  timers_.erase({entry.timer, entry.serial});
  by_request_.erase(entry.request.request_id);
  entries_.erase(entry.serial);
}

TimePoint RequestRouterImpl::dueTime(const RequestEntry& entry) const {
  if (entry.record_only) return entry.deadline + kRecordTimeout;
  TimePoint due = entry.deadline;
  if (entry.phase == RequestEntry::Phase::WaitingForBundle) due = std::min(due, entry.bundle_wait_end);
  if (!entry.dispatch || entry.request.kind != RequestKind::Completion) return due;
  return std::min(due, entry.dispatch->last_activity_at + idleTimeout(*entry.dispatch));
}

void RequestRouterImpl::schedule(RequestEntry& entry) {
  const TimePoint due = dueTime(entry);
  if (due == entry.timer) return;
  timers_.erase({entry.timer, entry.serial});
  entry.timer = due;
  timers_.emplace(due, entry.serial);
}

void RequestRouterImpl::onRequestTimer(RequestEntry& entry, TimePoint now) {
  if (entry.record_only) {
    cancelDispatch(entry, now);
    return finish(entry, "record_abandoned", now);
  }
  if (now >= entry.deadline) return onDeadline(entry, now);
  if (entry.phase == RequestEntry::Phase::WaitingForBundle) {
    const ErrorCode code = bundle() == nullptr ? ErrorCode::NotReady : ErrorCode::StaleBundle;
    return refuse(entry, code, kBundleRetryAfter, "the router's bundle is older than the caller's", now);
  }
  abandonDispatch(entry, EventId::AttemptLost, "the engine did not respond in time", now);
}

void RequestRouterImpl::onDeadline(RequestEntry& entry, TimePoint now) {
  if (mustRunToCompletion(entry)) {
    return refuseAndKeep(entry, ErrorCode::DeadlineExceeded,
                         "the deadline passed; the operation may have run");
  }
  cancelDispatch(entry, now);
  refuse(entry, ErrorCode::DeadlineExceeded, Duration{0}, "the deadline passed", now);
}

void RequestRouterImpl::onTimer(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    RequestEntry& entry = *findEntry(timers_.begin()->second);
    if (dueTime(entry) > now) {
      schedule(entry);
      continue;
    }
    onRequestTimer(entry, now);
  }
  while (!claim_timers_.empty() && claim_timers_.begin()->first <= now) {
    advanceClaim(claim_timers_.begin()->second, now);
  }
}

std::optional<TimePoint> RequestRouterImpl::nextTimer() const {
  TimePoint next = TimePoint::max();
  if (!timers_.empty()) next = timers_.begin()->first;
  if (!claim_timers_.empty()) next = std::min(next, claim_timers_.begin()->first);
  if (next == TimePoint::max()) return std::nullopt;
  return next;
}

void RequestRouterImpl::drain(TimePoint) {
  if (draining_) return;
  draining_ = true;
  actions_.emplace_back(LogEvent{EventId::RouterDraining, {{"in_flight", inFlight()}}});
}

std::vector<RouterAction> RequestRouterImpl::takeActions() {
  return std::exchange(actions_, {});
}

std::size_t RequestRouterImpl::inFlight() const {
  // While the table is unavailable, a claim that only awaits its record in the table is held by the claim
  // group.
  const auto unwritten = [this](const auto& item) {
    const bool with_group = item.second.group == GroupClaimState::Granted && item.second.recorded;
    return item.second.entry == 0 && !(with_group && table_health_.isDown());
  };
  return entries_.size() + static_cast<std::size_t>(std::count_if(claims_.begin(), claims_.end(), unwritten));
}

std::optional<DecisionRecord> RequestRouterImpl::explain(const std::string& request_id) const {
  const auto found = by_request_.find(request_id);
  if (found != by_request_.end()) return entries_.at(found->second)->record;
  return records_.find(request_id);
}

void RequestRouterImpl::send(const RequestEntry& entry, Message message) {
  if (entry.record_only) return;
  actions_.emplace_back(SendToSidecar{entry.sidecar, std::move(message)});
}

void RequestRouterImpl::log(EventId event, const RequestEntry& entry, std::vector<LogField> fields) {
  fields.insert(fields.begin(), {{"request_id", entry.request.request_id},
                                 {"attempt", entry.request.attempt},
                                 {"tenant", entry.request.tenant}});
  actions_.emplace_back(LogEvent{event, std::move(fields)});
}

Accepted RequestRouterImpl::acceptedMessage(const RequestEntry& entry) {
  Accepted message;
  message.request_id = entry.request.request_id;
  message.attempt = entry.request.attempt;
  message.engine = entry.dispatch->backend;
  message.engine_incarnation = entry.dispatch->incarnation;
  message.weights_version = entry.dispatch->weights_version;
  message.prompt_tokens = entry.prompt_tokens;
  message.cached_tokens = entry.cached_tokens;
  return message;
}

std::unique_ptr<RequestRouter> makeRequestRouterFromParts(RequestRouterOptions options) {
  return std::make_unique<RequestRouterImpl>(std::move(options));
}

}  // namespace crankspur
