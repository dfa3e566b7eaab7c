/// @file Handling of completions whose engine refuses, fails or becomes unresponsive. The id of an ended
/// dispatch is removed, so that its late events are not attributed to a later dispatch.

#include <algorithm>

#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Retry delay returned to callers when no engine can accept the request.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Time without events after which dispatches to an engine considered dead are moved to another engine.
constexpr Duration kDeadEngineTimeout = std::chrono::seconds(1);

/// @return whether the engine refused because it is at capacity. A retry elsewhere adds load to the fleet.
bool isLoadRefusal(ErrorCode code) {
  return code == ErrorCode::Overloaded || code == ErrorCode::RateLimited;
}

/// @return whether the engine certainly cannot continue the dispatch.
bool cannotContinue(const EngineView* engine, const CurrentDispatch& dispatch, TimePoint now) {
  const bool timed_out = now - dispatch.last_activity_at >= kDeadEngineTimeout;
  if (engine == nullptr || engine->state == EngineState::Dead) return timed_out;
  return engine->incarnation != dispatch.incarnation;
}

/// @return whether every other engine would refuse the request as well.
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
  actions_.emplace_back(std::move(action));
  return true;
}

void RequestRouterImpl::onCompletionRefused(RequestEntry& entry, const BackendRefused& refused,
                                            TimePoint now) {
  if (!entry.dispatch->attempt->apply(AttemptEvent::BackendRefusedNotRun)) {
    return abandonDispatch(entry, EventId::BackendProtocolBroken,
                           "the engine refused the request after accepting it", now);
  }
  const bool was_resume = entry.dispatch->resume;
  entry.dispatch->costless = !isLoadRefusal(refused.code);
  entry.excluded.push_back({entry.dispatch->engine, entry.dispatch->incarnation});
  closeDispatch(entry, now);
  if (was_resume) return redispatchCompletion(entry, now);
  entry.last_error = refused.code;
  entry.last_retry_after = refused.retry_after;
  if (isFinalRefusal(refused.code)) {
    return refuse(entry, refused.code, refused.retry_after, "the engine refused the request", now);
  }
  redispatchCompletion(entry, now);
}

void RequestRouterImpl::onCompletionLost(RequestEntry& entry, TimePoint now) {
  CurrentDispatch& dispatch = *entry.dispatch;
  dispatch.attempt->apply(AttemptEvent::ConnectionFailed);
  const AttemptState state = dispatch.attempt->state();
  const bool never_sent = state == AttemptState::NeverSent;
  dispatch.costless = never_sent;
  const std::string engine = dispatch.backend;
  const EngineSlot slot = dispatch.engine;
  const std::uint64_t incarnation = dispatch.incarnation;
  // A lost resume call is repeated only if it had delivered output.
  const bool may_resume = !never_sent && (!dispatch.resume || state == AttemptState::LostStreaming);
  log(EventId::AttemptLost, entry,
      {{"backend", engine},
       {"reason", never_sent ? "the connection could not be established" : "the connection closed early"}});
  entry.last_error = never_sent ? ErrorCode::EngineUnavailable : ErrorCode::EngineLost;
  const std::string weights = dispatch.weights_version;
  closeDispatch(entry, now);
  if (may_resume && resumeAt(entry, engine, incarnation, weights, now)) return;
  entry.excluded.push_back({slot, incarnation});
  redispatchCompletion(entry, now);
}

void RequestRouterImpl::abandonDispatch(RequestEntry& entry, EventId event, const char* reason,
                                        TimePoint now) {
  CurrentDispatch& dispatch = *entry.dispatch;
  log(event, entry, {{"backend", dispatch.backend}, {"reason", reason}});
  dispatch.attempt->apply(AttemptEvent::ConnectionFailed);
  dispatch.costless = dispatch.attempt->state() == AttemptState::NeverSent;
  entry.last_error = dispatch.costless ? ErrorCode::EngineUnavailable : ErrorCode::EngineLost;
  entry.excluded.push_back({dispatch.engine, dispatch.incarnation});
  cancelDispatch(entry, now);
  redispatchCompletion(entry, now);
}

void RequestRouterImpl::redispatchCompletion(RequestEntry& entry, TimePoint now) {
  if (now >= entry.deadline) return onDeadline(entry, now);
  if (entry.dispatches >= maxAttempts()) return failCompletion(entry, now);
  placeCompletion(entry, now);
}

void RequestRouterImpl::failCompletion(RequestEntry& entry, TimePoint now) {
  const Duration retry_after = std::max(entry.last_retry_after, kRetryAfter);
  if (entry.tokens > 0 && entry.dispatches < maxAttempts()) {
    return refuse(entry, ErrorCode::WeightsMismatch, retry_after,
                  "no engine can continue the answer with weights version " + entry.answer_weights, now);
  }
  refuse(entry, entry.last_error, retry_after, "no engine can take the request now", now);
}

void RequestRouterImpl::abandonFailedEngines(TimePoint now) {
  std::vector<Serial> affected;
  for (const auto& [serial, entry] : entries_) {
    if (!entry->dispatch || entry->request.kind != RequestKind::Completion) continue;
    const EngineView* engine = snapshot_->engine(entry->dispatch->engine);
    if (cannotContinue(engine, *entry->dispatch, now)) affected.push_back(serial);
  }
  for (const Serial serial : affected) {
    // The driver may report sent bytes late, and the engine may have run the request before its restart.
    findEntry(serial)->dispatch->attempt->apply(AttemptEvent::BytesSent);
    abandonDispatch(*findEntry(serial), EventId::AttemptLost, "the engine failed or restarted", now);
  }
}

}  // namespace crankspur
