/// @file What a gateway does with the answers of back ends, and when they fail.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
/// Dispatches of one request, those that reached nobody included.
constexpr std::uint32_t kMaximumDispatches = 6;

bool isSuccess(int status) {
  return status / 100 == 2;
}

bool isServerError(int status) {
  return status / 100 == 5;
}

/// @return whether clients take the status as a promise that nothing ran.
bool promisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
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
  return entry != nullptr && entry->running.passes_bytes;
}

// Answers.

void Gateway::onHead(ExchangeId exchange, int status, const BackendAnswer& answer, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  Running& running = entry->running;
  running.heard_at = now;
  running.status = status;
  table_.onHeard(running.slot, now);
  // A start of the back end that refuses what is meant for another says nothing of the one before it.
  const bool is_other_start = answer.wrong_backend && !answer.weights_version;
  if (!is_other_start) noteSignOfLife(*entry, now);
  if (answer.not_run || answer.wrong_backend) return onNotRun(*entry, status, answer, now);
  if (answer.weights_version) {
    choice_.onWeights(running.slot, running.incarnation, entry->client.model, *answer.weights_version);
  }
  entry->may_have_run = true;
  if (!answer.genuine) return onBrokenAnswer(*entry, status, now);
  if (!isSuccess(status)) return onErrorAnswer(*entry, status, now);
  if (!entry->route->streaming) return noteFirstByte(*entry, now);
  running.passes_bytes = true;
  if (entry->head_passed) return;
  entry->head_passed = true;
  actions_.emplace_back(ForwardHead{entry->id, exchange});
}

void Gateway::onBodyBufferFull(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr || entry->running.passes_bytes) return;
  entry->running.heard_at = now;
  entry->running.passes_bytes = true;
  entry->head_passed = true;
  entry->cursor.reset();
  actions_.emplace_back(ForwardHead{entry->id, exchange});
}

void Gateway::onBytes(ExchangeId exchange, std::string_view bytes, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  entry->running.heard_at = now;
  table_.onHeard(entry->running.slot, now);
  noteSignOfLife(*entry, now);
  if (!entry->running.passes_bytes) return;
  noteFirstByte(*entry, now);
  std::string passed = entry->cursor ? entry->cursor->feed(bytes) : std::string(bytes);
  if (!passed.empty()) actions_.emplace_back(ForwardBytes{entry->id, std::move(passed)});
}

void Gateway::onEnd(ExchangeId exchange, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  if (entry->cursor && entry->cursor->insideEvent()) return onLost(exchange, true, now);
  noteWholeAnswer(*entry, now);
  const bool error = entry->running.error_answer;
  const bool begun = entry->head_passed;
  const int status = entry->running.status;
  const RequestOutcome outcome = isSuccess(status) ? RequestOutcome::answered : RequestOutcome::error_passed;
  tellEnded(*entry, outcome, status, Duration(0), now);
  endExchange(*entry, error ? DispatchOutcome::ErrorAnswer : DispatchOutcome::Answered, now);
  if (begun) {
    actions_.emplace_back(EndResponse{entry->id});
  } else {
    actions_.emplace_back(ForwardResponse{entry->id, exchange});
  }
  finish(*entry);
  serveQueue(now);
}

void Gateway::noteFirstByte(Entry& entry, TimePoint now) {
  Running& running = entry.running;
  if (running.first_byte) return;
  running.first_byte = true;
  if (!entry.first_byte_at) entry.first_byte_at = now;
  const Duration taken = now - running.sent_at;
  choice_.onFirstByte(*entry.pool, running.prompt, running.exchange, taken, now);
  table_.onFirstByte(running.slot, running.incarnation, taken, running.expected, now);
}

// Failures.

void Gateway::onNotRun(Entry& entry, int status, const BackendAnswer& answer, TimePoint now) {
  entry.arrived_before = true;
  if (answer.wrong_backend) return onWrongBackend(entry, status, answer, now);
  const Running running = entry.running;
  entry.cause = RequestCause::back_end_full;
  entry.failed.push_back(running.slot);
  discardAnswer(entry, DispatchOutcome::Full, now);
  goOn(entry, running, status, now);
}

/// The back end is not what the snapshot says. A new attempt that counts with what it really is does not
/// count as one at a further back end.
void Gateway::onWrongBackend(Entry& entry, int status, const BackendAnswer& answer, TimePoint now) {
  const Running running = entry.running;
  const Backend* backend = snapshot_->backend(running.slot);
  const bool other_weights = answer.weights_version.has_value();
  entry.cause = other_weights ? RequestCause::other_weights : RequestCause::back_end_replaced;
  actions_.emplace_back(ReportWrongBackend{running.slot, running.incarnation, answer.weights_version});
  if (entry.sends > 0) --entry.sends;
  if (other_weights) {
    choice_.onWeights(running.slot, running.incarnation, entry.client.model, *answer.weights_version);
  }
  const bool same = backend != nullptr && backend->view.incarnation == running.incarnation;
  if (!other_weights && same) entry.failed.push_back(running.slot);
  discardAnswer(entry, other_weights ? DispatchOutcome::Ended : DispatchOutcome::ConnectFailed, now);
  goOn(entry, running, status, now);
}

/// The back end answered that it failed.
void Gateway::onErrorAnswer(Entry& entry, int status, TimePoint now) {
  const Running running = entry.running;
  entry.running.error_answer = isServerError(status);
  entry.arrived_before = true;
  entry.cause = RequestCause::error_answer;
  entry.failed.push_back(entry.running.slot);
  const bool repeats = isServerError(status) && mayRepeat(entry) && takeRepeat(entry, now);
  if (repeats) {
    discardAnswer(entry, DispatchOutcome::ErrorAnswer, now);
    return moveOn(entry, running, status, now);
  }
  const bool once = entry.route->repeatability == Repeatability::AtMostOnce;
  const bool passes = !entry.head_passed && !(once && promisesNotRun(status));
  if (passes) return;  // Whole, once it is here.
  discardAnswer(entry, DispatchOutcome::ErrorAnswer, now);
  tellMoved(entry, running, status, false, now);
  giveUp(entry, now);
}

/// Bytes that are no answer of the back end's own.
void Gateway::onBrokenAnswer(Entry& entry, int status, TimePoint now) {
  const Running running = entry.running;
  entry.arrived_before = true;
  entry.cause = RequestCause::answer_not_genuine;
  entry.failed.push_back(running.slot);
  cancelExchange(entry, DispatchOutcome::Failed, now);
  goOn(entry, running, status, now);
}

void Gateway::onLost(ExchangeId exchange, bool sent, TimePoint now) {
  Entry* entry = findExchange(exchange);
  if (entry == nullptr) return;
  const Running running = entry->running;
  entry->cause = sent ? RequestCause::answer_broke_off : RequestCause::back_end_unreachable;
  entry->failed.push_back(running.slot);
  if (sent) {
    entry->arrived_before = true;
    entry->may_have_run = true;
    noteCrash(*entry, running, now);
  } else {
    --entry->sends;
    actions_.emplace_back(ReportUnreachable{running.slot, running.incarnation});
  }
  endExchange(*entry, sent ? DispatchOutcome::Failed : DispatchOutcome::ConnectFailed, now);
  goOn(*entry, running, running.status, now);
  serveQueue(now);
}

void Gateway::onConnectionsSilent(TimePoint now) {
  connections_silent_at_ = now;
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry == nullptr || entry->running.exchange != exchange) continue;
    wakeAt(*entry, std::min(entry->wakes_at, silentFrom(entry->running, now)));
  }
}

/// @return whether the request runs on a connection of before the last silence and has heard nothing since.
/// What the back end tells others says nothing of that connection.
bool Gateway::mayBeCut(const Running& running) const {
  return running.sent_at < connections_silent_at_ && running.heard_at <= connections_silent_at_;
}

/// @return when the request counts as left alone by its back end, if nothing more is heard. Where its
/// connection may have gone silent it takes a fifth of the usual time: beyond the time in which the first
/// byte was expected, since some connections may be sound and their back ends still read a prompt.
TimePoint Gateway::silentFrom(const Running& running, TimePoint now) const {
  const TimePoint heard = std::max(running.heard_at, running.sent_at);
  if (!mayBeCut(running)) return std::max(heard, table_.heardAt(running.slot)) + silenceLimit(running, now);
  const TimePoint expected = running.first_byte ? heard : running.sent_at + running.expected;
  return std::max(connections_silent_at_, expected) + settings_.silence_limit_of_silent;
}

/// @return how long the back end may be silent towards the request.
Duration Gateway::silenceLimit(const Running& running, TimePoint now) const {
  const Backend* backend = snapshot_->backend(running.slot);
  const bool present = backend != nullptr && backend->view.incarnation == running.incarnation;
  if (present && table_.isSilent(*backend)) return settings_.silence_limit_of_silent;
  const bool reads_yet = !running.first_byte && table_.isHealthy(running.slot, now);
  if (!reads_yet) return settings_.silence_limit;
  const double expected = toSeconds(running.expected) * settings_.silence_per_expected;
  return std::max(settings_.silence_limit, Duration(static_cast<std::int64_t>(expected * 1e6)));
}

/// Nothing at all has come from the back end for a while: those that may be repeated go elsewhere.
void Gateway::checkSilence(Entry& entry, TimePoint now) {
  const Running running = entry.running;
  const TimePoint due = silentFrom(running, now);
  const bool elsewhere = snapshot_->backends.size() > 1;
  if (now < due) return wakeAt(entry, std::min(entry.ends_at, due));
  entry.arrived_before = true;
  entry.may_have_run = true;
  if (!elsewhere || !mayRepeat(entry) || !takeRepeat(entry, now)) return wakeAt(entry, entry.ends_at);
  entry.cause = RequestCause::silence;
  // A connection that went silent says nothing of its back end, which may hold the prompt by now.
  const bool cut = mayBeCut(running);
  if (!cut) entry.failed.push_back(running.slot);
  cancelExchange(entry, cut ? DispatchOutcome::Ended : DispatchOutcome::Failed, now, true);
  moveOn(entry, running, running.status, now);
}

// Going on.

void Gateway::endExchange(Entry& entry, DispatchOutcome outcome, TimePoint now) {
  const Running running = std::exchange(entry.running, Running());
  if (running.exchange == 0) return;
  exchanges_.erase(running.exchange);
  choice_.onEnd(running.slot, running.exchange);
  const bool trusted = table_.isHealthy(running.slot, now);
  table_.onOutcome(running.slot, running.incarnation, outcome, now);
  if (!trusted || table_.isHealthy(running.slot, now)) return;
  observer_.onDistrusted({entry.last_backend, entry.cause, table_.distrustedFor(running.slot, now)});
}

void Gateway::cancelExchange(Entry& entry, DispatchOutcome outcome, TimePoint now, bool unanswered) {
  if (entry.running.exchange == 0) return;
  actions_.emplace_back(CancelExchange{entry.running.exchange, unanswered});
  endExchange(entry, outcome, now);
}

void Gateway::discardAnswer(Entry& entry, DispatchOutcome outcome, TimePoint now) {
  actions_.emplace_back(DiscardResponse{entry.running.exchange});
  endExchange(entry, outcome, now);
}

bool Gateway::mayRepeat(const Entry& entry) const {
  if (entry.may_have_run && entry.route->repeatability == Repeatability::AtMostOnce) return false;
  if (entry.head_passed && !entry.cursor) return false;
  return entry.sends < entry.route->maximum_attempts && entry.dispatches < kMaximumDispatches;
}

/// A repeat is paid for out of the budget, unless no back end got the request.
bool Gateway::takeRepeat(Entry& entry, TimePoint now) {
  if (!entry.arrived_before) return true;
  return budgetOf(entry.pool->name).tryRepeat(snapshot_->share_divisor, now);
}

void Gateway::goOn(Entry& entry, const Running& failed, int status, TimePoint now) {
  if (mayRepeat(entry) && takeRepeat(entry, now)) return moveOn(entry, failed, status, now);
  tellMoved(entry, failed, status, false, now);
  giveUp(entry, now);
}

void Gateway::moveOn(Entry& entry, const Running& failed, int status, TimePoint now) {
  tellMoved(entry, failed, status, true, now);
  if (entry.cursor) entry.cursor->restart();
  place(entry, now);
}

/// The final answer, at once. Only a request that has not run is refused as such.
void Gateway::giveUp(Entry& entry, TimePoint now) {
  cancelExchange(entry, DispatchOutcome::Ended, now);
  if (entry.head_passed) {
    ++counters_.failed;
    actions_.emplace_back(AbortResponse{entry.id});
    tellEnded(entry, RequestOutcome::cut, 0, Duration(0), now);
  } else if (entry.may_have_run) {
    ++counters_.failed;
    actions_.emplace_back(Refuse{entry.id, kBadGateway, Duration(0), entry.cause});
    tellEnded(entry, RequestOutcome::failed, kBadGateway, Duration(0), now);
  } else {
    refuse(entry, now);
  }
  finish(entry);
}

}  // namespace crankspur::gateway
