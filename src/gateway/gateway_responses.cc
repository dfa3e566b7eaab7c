/// @file Member functions of Gateway that handle the responses and failures of back ends.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

constexpr int kBadGateway = 502;
/// A request is withdrawn this long before its weights become too old, so that the back end reads the close
/// of the connection in time.
constexpr Duration kWithdrawTime = std::chrono::milliseconds(300);

/// Maximum time from the head of an error response to its end.
constexpr Duration kMaxErrorResponseTime = std::chrono::seconds(2);

bool isServerError(int status) {
  return status / 100 == 5;
}

}  // namespace

const Gateway::Entry* Gateway::findExchange(ExchangeId exchange) const {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return nullptr;
  const auto entry = entries_.find(found->second);
  return entry == entries_.end() ? nullptr : entry->second.get();
}

Gateway::Entry* Gateway::findExchange(ExchangeId exchange) {
  return const_cast<Entry*>(std::as_const(*this).findExchange(exchange));
}

bool Gateway::streamsBody(ExchangeId exchange) const {
  const Entry* entry = findExchange(exchange);
  return entry != nullptr && entry->active.streams_body;
}

// Responses.

void Gateway::onHead(ExchangeId exchange, int status, const BackendResponse& response, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  ActiveExchange& active = entry->active;
  active.last_received_at = now;
  active.status = status;
  active.framing = response.framing;
  if (response.event_stream) active.events.emplace();
  if (active.relayed) return onRelayedHead(*entry, status, response, now);
  table_.reach().onReceived(active.slot, now);
  // A refusal as misdirected may come from a later incarnation of the back end. It does not show that the
  // incarnation to which the request was sent is live.
  const bool is_other_incarnation = response.wrong_backend && !response.weights_version;
  if (!is_other_incarnation) recordSignOfLife(*entry, now);
  recordStatements(*entry, response, now);
  if (response.not_run || response.wrong_backend) return onNotRun(*entry, status, response, now);
  if (response.weights_version) {
    choice_.onWeights(active.slot, active.incarnation, entry->client.model, *response.weights_version);
  }
  entry->recordDelivery(Delivery::may_have_run);
  if (!response.genuine) return onInvalidResponse(*entry, status, now);
  if (!isSuccess(status)) return onErrorResponse(*entry, status, now);
  if (!entry->route->streaming) return recordFirstByte(*entry, now);
  active.streams_body = true;
  if (!entry->head_forwarded) forwardHead(*entry);
}

void Gateway::forwardHead(Entry& entry) {
  entry.head_forwarded = true;
  entry.head_framing = entry.active.framing;
  actions_.emplace_back(ForwardHead{entry.id, entry.active.exchange});
}

void Gateway::onBodyBufferFull(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr || entry->active.streams_body) return;
  entry->active.last_received_at = now;
  if (entry->active.complete_by != TimePoint::max()) return giveUp(*entry, now);
  entry->active.streams_body = true;
  entry->cursor.reset();
  forwardHead(*entry);
}

void Gateway::onReadingPaused(ExchangeId exchange, bool paused, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  entry->active.reading_paused = paused;
  entry->active.last_received_at = now;
}

void Gateway::onBytes(ExchangeId exchange, std::string_view bytes, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  entry->active.last_received_at = now;
  if (!entry->active.relayed) {
    table_.reach().onReceived(entry->active.slot, now);
    recordSignOfLife(*entry, now);
  }
  if (!entry->active.streams_body) return;
  recordBodyBegin(*entry, now);
  if (entry->active.events) entry->active.events->feed(bytes);
  if (entry->active.events && entry->active.events->isTooLarge()) return onEndlessEvent(*entry, now);
  recordFirstByte(*entry, now);
  std::string forwarded = entry->cursor ? entry->cursor->feed(bytes) : std::string(bytes);
  if (forwarded.empty()) return;
  if (entry->cursor && !entry->active.relayed) recordOrigin(*entry, now);
  actions_.emplace_back(ForwardBytes{entry->id, exchange, std::move(forwarded)});
}

std::size_t Gateway::incompleteEventBytes(ExchangeId exchange) const {
  const Entry* entry = findExchange(exchange);
  return entry != nullptr && entry->cursor ? entry->cursor->partialEventBytes() : 0;
}

/// The back end may be sound: others may have used up the memory.
void Gateway::onNoMemory(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  const ActiveExchange active = entry->active;
  entry->cause = RequestCause::memory_exhausted;
  entry->recordDelivery(Delivery::may_have_run);
  if (active.relayed) return giveUp(*entry, now);
  entry->failed.push_back(active.slot);
  cancelExchange(*entry, DispatchOutcome::Ended, now);
  retryOrGiveUp(*entry, active, active.status, now);
  serveQueue(now);
}

/// A back end that does not end an event has failed. Another one can continue the stream after the event
/// before.
void Gateway::onEndlessEvent(Entry& entry, TimePoint now) {
  const ActiveExchange active = entry.active;
  entry.cause = RequestCause::event_too_large;
  if (active.relayed) return giveUp(entry, now);
  entry.failed.push_back(active.slot);
  cancelExchange(entry, DispatchOutcome::Failed, now);
  retryOrGiveUp(entry, active, active.status, now);
}

void Gateway::onEnd(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  if (stopsWithinEvent(*entry)) return onLost(exchange, true, now);
  if (!canForwardEnd(*entry)) return onUnprovenEnd(*entry, now);
  const bool relayed = entry->active.relayed;
  const bool end_proven = entry->active.framing != http::BodyFraming::Close;
  // A back end that fails a request, or rejects it before it runs, shows nothing about one that crashes those
  // that run it.
  if (!relayed && end_proven && isSuccess(entry->active.status)) recordCompleteResponse(*entry, now);
  if (!end_proven) recordUnobservedEnd(*entry, entry->active, RequestCause::end_unproven, now);
  if (!relayed && entry->active.streams_body && entry->dispatches == 1 && entry->first_byte_at) {
    choice_.onComplete(*entry->pool, entry->client, now - *entry->first_byte_at);
  }
  if (end_proven) forgetOrigin(*entry);
  if (isSuccess(entry->active.status))
    run_times_.onEnded(entry->route->name, now - entry->active.sent_at, now);
  const bool error = entry->active.server_error;
  const bool started = entry->head_forwarded;
  const int status = entry->active.status;
  const RequestOutcome outcome = outcomeOf(entry->active);
  if (outcome == RequestOutcome::refused) ++counters_.refused;
  reportEnded(*entry, outcome, status, Duration(0), now);
  endExchange(*entry, error ? DispatchOutcome::ErrorResponse : DispatchOutcome::Completed, now);
  if (started) {
    actions_.emplace_back(EndResponse{entry->id});
  } else {
    actions_.emplace_back(ForwardResponse{entry->id, exchange});
  }
  finish(*entry);
  serveQueue(now);
}

/// A stream that stops within an event was truncated, whatever its framing states.
bool Gateway::stopsWithinEvent(const Entry& entry) const {
  if (entry.cursor) return entry.cursor->hasPartialEvent();
  return entry.active.isInsideEvent();
}

/// A client with the head of a framed response takes its end as proof that the response is complete. The end
/// of a connection proves nothing, so it can only be forwarded as the end of a connection.
bool Gateway::canForwardEnd(const Entry& entry) const {
  const bool proven = entry.active.framing != http::BodyFraming::Close;
  return proven || !entry.head_forwarded || entry.head_framing == http::BodyFraming::Close;
}

/// The client can resume the stream after the last event that it received.
void Gateway::onUnprovenEnd(Entry& entry, TimePoint now) {
  entry.cause = RequestCause::end_unproven;
  recordUnobservedEnd(entry, entry.active, entry.cause, now);
  endExchange(entry, DispatchOutcome::Completed, now);
  giveUp(entry, now);
  serveQueue(now);
}

RequestOutcome Gateway::outcomeOf(const ActiveExchange& active) {
  if (active.refused_by_peer) return RequestOutcome::refused;
  return isSuccess(active.status) ? RequestOutcome::answered : RequestOutcome::error_passed;
}

void Gateway::recordFirstByte(Entry& entry, TimePoint now) {
  ActiveExchange& active = entry.active;
  if (active.first_byte) return;
  active.first_byte = true;
  if (!entry.first_byte_at) entry.first_byte_at = now;
  if (active.relayed) return;
  const Duration taken = now - active.sent_at;
  choice_.onFirstByte(*entry.pool, active.prompt, active.exchange, taken, now);
  table_.onFirstByte(active.slot, active.incarnation, taken, active.expected, now);
  brittle_.onAccepted(active.slot, active.incarnation);
}

// Failures.

void Gateway::onNotRun(Entry& entry, int status, const BackendResponse& response, TimePoint now) {
  entry.recordDelivery(Delivery::arrived);
  if (response.wrong_backend) return onWrongBackend(entry, status, response, now);
  const ActiveExchange active = entry.active;
  entry.cause = RequestCause::back_end_full;
  entry.failed.push_back(active.slot);
  brittle_.onRejected(active.slot, active.incarnation, table_.inFlight(active.slot), now);
  const bool paused = notices_.pausedFor(active.incarnation, now) > Duration(0);
  discardResponse(entry, paused ? DispatchOutcome::Ended : DispatchOutcome::Full, now);
  retryOrGiveUp(entry, active, status, now);
}

/// The back end has another incarnation or other weights than the snapshot states, and refused the request.
/// The dispatch does not count towards the route's maximum of back ends, so that an attempt with the actual
/// state remains possible.
void Gateway::onWrongBackend(Entry& entry, int status, const BackendResponse& response, TimePoint now) {
  const ActiveExchange active = entry.active;
  const Backend* backend = snapshot_->backend(active.slot);
  const bool other_weights = response.weights_version.has_value();
  entry.cause = other_weights ? RequestCause::other_weights : RequestCause::back_end_replaced;
  actions_.emplace_back(ReportWrongBackend{active.slot, active.incarnation, response.weights_version});
  if (entry.backends_reached > 0) --entry.backends_reached;
  if (other_weights) {
    choice_.onWeights(active.slot, active.incarnation, entry.client.model, *response.weights_version);
  }
  const bool still_listed = backend != nullptr && backend->view.incarnation == active.incarnation;
  if (!other_weights && still_listed) entry.failed.push_back(active.slot);
  discardResponse(entry, other_weights ? DispatchOutcome::Ended : DispatchOutcome::ConnectFailed, now);
  retryOrGiveUp(entry, active, status, now);
}

/// The back end responded with an error status.
void Gateway::onErrorResponse(Entry& entry, int status, TimePoint now) {
  const ActiveExchange active = entry.active;
  entry.active.server_error = isServerError(status);
  entry.cause = RequestCause::error_answer;
  entry.failed.push_back(entry.active.slot);
  const RepeatDecision repeat =
      isServerError(status) ? decideRepeat(entry, now) : RepeatDecision::not_allowed;
  if (isRepeated(repeat)) {
    discardResponse(entry, DispatchOutcome::ErrorResponse, now);
    return retryElsewhere(entry, active, status, repeat, now);
  }
  const bool at_most_once = entry.route->repeatability == Repeatability::AtMostOnce;
  const bool forwards = !entry.head_forwarded && !(at_most_once && impliesNotRun(status));
  if (forwards) return limitErrorResponse(entry, now);  // onEnd() forwards the complete response.
  discardResponse(entry, DispatchOutcome::ErrorResponse, now);
  reportMoved(entry, active, status, repeat, now);
  giveUp(entry, now);
}

/// The body of an error may have no end.
void Gateway::limitErrorResponse(Entry& entry, TimePoint now) {
  entry.active.complete_by = now + kMaxErrorResponseTime;
  scheduleTimer(entry, std::min(entry.timer_at, entry.active.complete_by));
}

/// The response lacks the marks that the back end itself sets.
void Gateway::onInvalidResponse(Entry& entry, int status, TimePoint now) {
  const ActiveExchange active = entry.active;
  entry.cause = RequestCause::answer_not_genuine;
  if (active.relayed) return giveUp(entry, now);
  entry.failed.push_back(active.slot);
  cancelExchange(entry, DispatchOutcome::Failed, now);
  retryOrGiveUp(entry, active, status, now);
}

void Gateway::onLost(ExchangeId exchange, bool sent, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  if (entry->active.relayed) return onRelayLost(*entry, sent, now);
  const ActiveExchange active = entry->active;
  if (!sent && active.recalled) return onRecalled(*entry, now);
  entry->cause = sent ? RequestCause::answer_broke_off : RequestCause::back_end_unreachable;
  entry->failed.push_back(active.slot);
  recordUnreached(*entry->pool, active, now);
  if (sent) {
    entry->recordDelivery(Delivery::may_have_run);
    recordCrash(*entry, active, now);
  } else {
    --entry->backends_reached;
    if (active.limited) limits_.refund(active.incarnation, now);
    actions_.emplace_back(ReportUnreachable{active.slot, active.incarnation});
    probeUnobservedEnds(*entry, active, now);
  }
  endExchange(*entry, sent ? DispatchOutcome::Failed : DispatchOutcome::ConnectFailed, now);
  retryOrGiveUp(*entry, active, active.status, now);
  serveQueue(now);
}

/// The back end is live and in reach, so that the end of the exchange is no sign of a crash.
void Gateway::onUnreadableResponse(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  if (entry->active.relayed) return onRelayLost(*entry, true, now);
  const ActiveExchange active = entry->active;
  entry->cause = RequestCause::answer_unreadable;
  entry->failed.push_back(active.slot);
  entry->recordDelivery(Delivery::may_have_run);
  table_.reach().onReceived(active.slot, now);
  recordUnobservedEnd(*entry, active, entry->cause, now);
  endExchange(*entry, DispatchOutcome::Failed, now);
  retryOrGiveUp(*entry, active, active.status, now);
  serveQueue(now);
}

/// The gateway itself ended the exchange, which says nothing about the reach of the back end.
void Gateway::onRecalled(Entry& entry, TimePoint now) {
  const ActiveExchange active = entry.active;
  entry.cause = RequestCause::recalled;
  entry.failed.push_back(active.slot);
  --entry.backends_reached;
  if (active.limited) limits_.refund(active.incarnation, now);
  endExchange(entry, DispatchOutcome::Ended, now);
  retryOrGiveUp(entry, active, active.status, now);
  serveQueue(now);
}

void Gateway::onConnectionsSilent(TimePoint now) {
  connections_silent_at_ = now;
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry == nullptr || entry->active.exchange != exchange) continue;
    scheduleTimer(*entry, std::min(entry->timer_at, silenceDeadline(entry->active, now)));
  }
}

/// @return whether the request was sent before the last onConnectionsSilent() and nothing was received for it
/// since. Bytes from the back end on other connections say nothing about this one.
bool Gateway::mayBeOnSilentConnection(const ActiveExchange& active) const {
  return active.sent_at < connections_silent_at_ && active.last_received_at <= connections_silent_at_;
}

/// @return when the back end counts as unresponsive to the request, if nothing more is received. If the
/// connection may have gone silent, the limit is a fifth of the usual one, counted from the time at which the
/// first byte was expected if none was received: some connections may still work, with back ends that are
/// prefilling a prompt.
TimePoint Gateway::silenceDeadline(const ActiveExchange& active, TimePoint now) const {
  if (active.reading_paused) return now + settings_.silence_limit;
  const TimePoint last_received = std::max(active.last_received_at, active.sent_at);
  if (!mayBeOnSilentConnection(active))
    return std::max(last_received, table_.reach().lastReceivedAt(active.slot)) + silenceLimit(active, now);
  const TimePoint expected = active.first_byte ? last_received : active.sent_at + active.expected;
  return std::max(connections_silent_at_, expected) + settings_.unresponsive_silence_limit;
}

/// @return how long the back end may send nothing for the request before it counts as unresponsive.
Duration Gateway::silenceLimit(const ActiveExchange& active, TimePoint now) const {
  const Backend* backend = snapshot_->backend(active.slot);
  const bool same_incarnation = backend != nullptr && backend->view.incarnation == active.incarnation;
  if (same_incarnation && table_.reach().isUnresponsive(*backend))
    return settings_.unresponsive_silence_limit;
  const bool awaits_first_byte = !active.first_byte && table_.isHealthy(active.slot, now);
  if (!awaits_first_byte) return settings_.silence_limit;
  const double expected = toSeconds(active.expected) * settings_.silence_per_expected;
  return std::max(settings_.silence_limit, Duration(static_cast<std::int64_t>(expected * 1e6)));
}

/// Retries a request elsewhere if nothing was received from the back end up to the silence deadline and the
/// request may be repeated.
void Gateway::checkSilence(Entry& entry, TimePoint now) {
  if (entry.active.relayed) return scheduleTimer(entry, entry.deadline);
  const ActiveExchange active = entry.active;
  const TimePoint due = silenceDeadline(active, now);
  const bool has_alternative = snapshot_->backends.size() > 1;
  const TimePoint start_by = active.first_byte ? TimePoint::max() : active.start_by;
  if (now >= active.complete_by) return giveUp(entry, now);
  const TimePoint ends_by = std::min(entry.deadline, active.complete_by);
  if (now < due) return scheduleTimer(entry, std::min({ends_by, due, start_by}));
  entry.recordDelivery(Delivery::may_have_run);
  recordUnreached(*entry.pool, active, now);
  const RepeatDecision repeat = has_alternative ? decideRepeat(entry, now) : RepeatDecision::not_allowed;
  if (!isRepeated(repeat)) return scheduleTimer(entry, std::min(ends_by, start_by));
  entry.cause = RequestCause::silence;
  entry.original = RetryBudget::Original::may_be_late;
  // A silent connection says nothing about the back end, which may have the prompt in its cache: it stays
  // eligible.
  const bool silent_connection = mayBeOnSilentConnection(active);
  if (!silent_connection) entry.failed.push_back(active.slot);
  cancelExchange(entry, silent_connection ? DispatchOutcome::Ended : DispatchOutcome::Failed, now, true);
  retryElsewhere(entry, active, active.status, repeat, now);
}

// Requests that wait at back ends with superseded weights.

/// A request that has not started when its weights become too old must not start any more: it is withdrawn.
void Gateway::limitStart(Entry& entry, TimePoint now) {
  ActiveExchange& active = entry.active;
  if (active.exchange == 0 || active.first_byte || !active.weights) return;
  const TimePoint superseded = weights_.supersededFrom(entry.client.model, *active.weights);
  if (superseded == TimePoint::max()) return;
  active.start_by = std::min(active.start_by, superseded + settings_.older_weights_margin - kWithdrawTime);
  scheduleTimer(entry, std::min(entry.timer_at, std::max(now, active.start_by)));
}

void Gateway::limitStarts(TimePoint now) {
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry != nullptr && entry->active.exchange == exchange) limitStart(*entry, now);
  }
}

void Gateway::withdraw(Entry& entry, TimePoint now) {
  const ActiveExchange active = entry.active;
  entry.cause = RequestCause::other_weights;
  entry.recordDelivery(Delivery::may_have_run);
  entry.failed.push_back(active.slot);
  cancelExchange(entry, DispatchOutcome::Ended, now);
  retryOrGiveUp(entry, active, active.status, now);
}

/// A connection may take half a second to open. A request that waits for it is not sent to a back end that
/// leaves meanwhile.
void Gateway::recallFromLeavingBackends() {
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry == nullptr || entry->active.exchange != exchange) continue;
    ActiveExchange& active = entry->active;
    const Backend* backend = snapshot_->backend(active.slot);
    const bool same_incarnation = backend != nullptr && backend->view.incarnation == active.incarnation;
    if (!same_incarnation || isGone(backend->view.state)) recall(active);
  }
}

/// Cancels the exchange if nothing was sent yet; onLost() then retries the request elsewhere.
void Gateway::recall(ActiveExchange& active) {
  if (active.relayed || active.status != 0 || std::exchange(active.recalled, true)) return;
  actions_.emplace_back(RecallUnsent{active.exchange});
}

// Final responses.

void Gateway::endExchange(Entry& entry, DispatchOutcome outcome, TimePoint now) {
  const ActiveExchange active = std::exchange(entry.active, ActiveExchange());
  if (active.exchange == 0) return;
  exchanges_.erase(active.exchange);
  if (active.relayed) return;
  choice_.onEnd(active.slot, active.exchange);
  const bool trusted = table_.isHealthy(active.slot, now);
  table_.onOutcome(active.slot, active.incarnation, outcome, now);
  if (!trusted || table_.isHealthy(active.slot, now)) return;
  observer_.onDistrusted({entry.last_backend, entry.cause, table_.ejectedFor(active.slot, now)});
}

void Gateway::cancelExchange(Entry& entry, DispatchOutcome outcome, TimePoint now, bool timed_out) {
  if (entry.active.exchange == 0) return;
  recordUnobservedEnd(entry, entry.active, entry.cause, now);
  actions_.emplace_back(CancelExchange{entry.active.exchange, timed_out});
  endExchange(entry, outcome, now);
}

void Gateway::discardResponse(Entry& entry, DispatchOutcome outcome, TimePoint now) {
  actions_.emplace_back(DiscardResponse{entry.active.exchange});
  endExchange(entry, outcome, now);
}

/// Ends the request without a back end's response. Only a request that cannot have run is refused as not run.
void Gateway::giveUp(Entry& entry, TimePoint now) {
  cancelExchange(entry, DispatchOutcome::Ended, now);
  if (entry.head_forwarded) {
    ++counters_.failed;
    actions_.emplace_back(AbortResponse{entry.id});
    reportEnded(entry, RequestOutcome::cut, 0, Duration(0), now);
  } else if (entry.mayHaveRun()) {
    ++counters_.failed;
    actions_.emplace_back(Refuse{entry.id, kBadGateway, Duration(0), entry.cause});
    reportEnded(entry, RequestOutcome::failed, kBadGateway, Duration(0), now);
  } else {
    refuse(entry, now);
  }
  finish(entry);
}

}  // namespace crankspur::gateway
