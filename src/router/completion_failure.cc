/// @file What happens to a completion when its engine refuses, fails or falls silent. A dispatch that is over
/// is forgotten by its id, so that nothing it still sends is mixed into a later one.

#include <algorithm>

#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Advice to callers when no engine can take the request now.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Refusals that another engine would give as well.
bool isFinalRefusal(ErrorCode code) {
  return code == ErrorCode::InvalidRequest || code == ErrorCode::TooLarge ||
         code == ErrorCode::UnknownModel || code == ErrorCode::Unauthorized ||
         code == ErrorCode::DeadlineExceeded;
}

}  // namespace

bool RequestRouterImpl::resumeAt(RequestEntry& entry, const std::string& engine_name,
                                 std::uint64_t incarnation, const std::string& weights, TimePoint now) {
  if (entry.resumes >= maxAttempts()) return false;
  const auto& engines = snapshot_->engines;
  const auto found = std::find_if(engines.begin(), engines.end(), [&](const EngineView& engine) {
    return engine.name == engine_name && engine.incarnation == incarnation;
  });
  if (found == engines.end() || found->state == EngineState::Dead) return false;
  CurrentDispatch& dispatch = openDispatch(entry, found->name, now);
  dispatch.engine = found->slot;
  dispatch.incarnation = incarnation;
  dispatch.weights_version = weights;
  dispatch.resume = true;
  ++entry.resumes;
  schedule(entry);
  log(EventId::AttemptMoved, entry, {{"backend", found->name}, {"offset", entry.tokens}, {"resume", true}});

  DispatchCompletion action;
  action.dispatch = dispatch.id;
  action.engine = found->slot;
  action.engine_name = found->name;
  action.address = found->address;
  action.expected_incarnation = incarnation;
  action.expected_weights = weights;
  action.request = entry.request;
  action.request.resume_offset = entry.tokens;
  action.request.resume_text = entry.text;
  action.request.deadline = entry.deadline - now;
  action.resume = true;
  actions_.push_back(std::move(action));
  return true;
}

void RequestRouterImpl::completionRefused(RequestEntry& entry, const BackendRefused& refused, TimePoint now) {
  if (!entry.dispatch->attempt->apply(AttemptEvent::BackendRefusedNotRun)) {
    return abandonDispatch(entry, "refused after it had accepted", now);
  }
  const bool resume = entry.dispatch->resume;
  entry.excluded.push_back({entry.dispatch->engine, entry.dispatch->incarnation});
  closeDispatch(entry, now);
  if (resume) return moveCompletion(entry, now);
  entry.last_error = refused.code;
  entry.last_retry_after = refused.retry_after;
  if (isFinalRefusal(refused.code)) {
    return refuse(entry, refused.code, refused.retry_after, "the engine refused the request", now);
  }
  moveCompletion(entry, now);
}

void RequestRouterImpl::completionLost(RequestEntry& entry, TimePoint now) {
  const CurrentDispatch& dispatch = *entry.dispatch;
  dispatch.attempt->apply(AttemptEvent::ConnectionFailed);
  const AttemptState state = dispatch.attempt->state();
  const bool never_sent = state == AttemptState::NeverSent;
  const std::string engine = dispatch.backend;
  const EngineSlot slot = dispatch.engine;
  const std::uint64_t incarnation = dispatch.incarnation;
  // A resume call that itself was lost is repeated only if it had brought something.
  const bool may_resume = !never_sent && (!dispatch.resume || state == AttemptState::LostStreaming);
  log(EventId::AttemptLost, entry, {{"backend", engine}, {"state", static_cast<int>(state)}});
  entry.last_error = never_sent ? ErrorCode::EngineUnavailable : ErrorCode::EngineLost;
  const std::string weights = dispatch.weights_version;
  closeDispatch(entry, now);
  if (may_resume && resumeAt(entry, engine, incarnation, weights, now)) return;
  entry.excluded.push_back({slot, incarnation});
  moveCompletion(entry, now);
}

void RequestRouterImpl::abandonDispatch(RequestEntry& entry, const char* reason, TimePoint now) {
  log(EventId::BackendProtocolBroken, entry, {{"backend", entry.dispatch->backend}, {"reason", reason}});
  entry.dispatch->attempt->apply(AttemptEvent::ConnectionFailed);
  entry.last_error = ErrorCode::EngineLost;
  entry.excluded.push_back({entry.dispatch->engine, entry.dispatch->incarnation});
  cancelDispatch(entry, now);
  moveCompletion(entry, now);
}

void RequestRouterImpl::moveCompletion(RequestEntry& entry, TimePoint now) {
  if (now >= entry.deadline) return deadlinePassed(entry, now);
  if (entry.dispatches >= maxAttempts()) return giveUpCompletion(entry, now);
  placeCompletion(entry, now);
}

void RequestRouterImpl::giveUpCompletion(RequestEntry& entry, TimePoint now) {
  const Duration retry_after = std::max(entry.last_retry_after, kRetryAfter);
  if (entry.tokens > 0 && entry.dispatches < maxAttempts()) {
    return refuse(entry, ErrorCode::WeightsMismatch, retry_after,
                  "no engine can continue the answer with weights version " + entry.answer_weights, now);
  }
  refuse(entry, entry.last_error, retry_after, "no engine can take the request now", now);
}

void RequestRouterImpl::dropRestartedEngines(TimePoint now) {
  std::vector<Serial> restarted;
  for (const auto& [serial, entry] : entries_) {
    if (!entry->dispatch || entry->request.kind != RequestKind::Completion) continue;
    const EngineView* engine = snapshot_->engine(entry->dispatch->engine);
    if (engine == nullptr || engine->incarnation != entry->dispatch->incarnation) restarted.push_back(serial);
  }
  for (const Serial serial : restarted) {
    RequestEntry& entry = *findEntry(serial);
    log(EventId::AttemptLost, entry, {{"backend", entry.dispatch->backend}, {"state", "restarted"}});
    entry.last_error = ErrorCode::EngineLost;
    entry.excluded.push_back({entry.dispatch->engine, entry.dispatch->incarnation});
    if (entry.dispatch->attempt->state() != AttemptState::NotSent) {
      entry.dispatch->attempt->apply(AttemptEvent::ConnectionFailed);
    }
    cancelDispatch(entry, now);
    moveCompletion(entry, now);
  }
}

}  // namespace crankspur
