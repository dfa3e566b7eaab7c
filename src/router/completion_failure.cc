/// @file What happens to a completion when its engine refuses, fails or falls silent. A dispatch that is over
/// is forgotten by its id, so that nothing it still sends is mixed into a later one.

#include <algorithm>

#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// Advice to callers when no engine can take the request now.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Silence of an engine that the fleet counts as dead, after which its streams move on.
constexpr Duration kDeadSilence = std::chrono::seconds(1);

/// Refusals that the engine gave for want of room; asking another engine adds load.
bool isLoadRefusal(ErrorCode code) {
  return code == ErrorCode::Overloaded || code == ErrorCode::RateLimited;
}

/// @return whether the engine is surely not able to go on with the dispatch.
bool isGone(const EngineView* engine, const CurrentDispatch& dispatch, TimePoint now) {
  const bool silent = now - dispatch.last_heard_at >= kDeadSilence;
  if (engine == nullptr || engine->state == EngineState::Dead) return silent;
  return engine->incarnation != dispatch.incarnation;
}

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
  actions_.emplace_back(std::move(action));
  return true;
}

void RequestRouterImpl::completionRefused(RequestEntry& entry, const BackendRefused& refused, TimePoint now) {
  if (!entry.dispatch->attempt->apply(AttemptEvent::BackendRefusedNotRun)) {
    return abandonDispatch(entry, EventId::BackendProtocolBroken, "refused after it had accepted", now);
  }
  const bool resume = entry.dispatch->resume;
  entry.dispatch->costless = !isLoadRefusal(refused.code);
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
  CurrentDispatch& dispatch = *entry.dispatch;
  dispatch.attempt->apply(AttemptEvent::ConnectionFailed);
  const AttemptState state = dispatch.attempt->state();
  const bool never_sent = state == AttemptState::NeverSent;
  dispatch.costless = never_sent;
  const std::string engine = dispatch.backend;
  const EngineSlot slot = dispatch.engine;
  const std::uint64_t incarnation = dispatch.incarnation;
  // A resume call that itself was lost is repeated only if it had brought something.
  const bool may_resume = !never_sent && (!dispatch.resume || state == AttemptState::LostStreaming);
  log(EventId::AttemptLost, entry,
      {{"backend", engine}, {"reason", never_sent ? "the connect failed" : "the connection ended"}});
  entry.last_error = never_sent ? ErrorCode::EngineUnavailable : ErrorCode::EngineLost;
  const std::string weights = dispatch.weights_version;
  closeDispatch(entry, now);
  if (may_resume && resumeAt(entry, engine, incarnation, weights, now)) return;
  entry.excluded.push_back({slot, incarnation});
  moveCompletion(entry, now);
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

void RequestRouterImpl::dropGoneEngines(TimePoint now) {
  std::vector<Serial> gone;
  for (const auto& [serial, entry] : entries_) {
    if (!entry->dispatch || entry->request.kind != RequestKind::Completion) continue;
    const EngineView* engine = snapshot_->engine(entry->dispatch->engine);
    if (isGone(engine, *entry->dispatch, now)) gone.push_back(serial);
  }
  for (const Serial serial : gone) {
    // The driver reports bytes late; an engine that restarted meanwhile may have run what had left.
    findEntry(serial)->dispatch->attempt->apply(AttemptEvent::BytesSent);
    abandonDispatch(*findEntry(serial), EventId::AttemptLost, "the engine is gone or restarted", now);
  }
}

}  // namespace crankspur
