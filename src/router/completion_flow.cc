/// @file Completions without failures: placement, dispatch, streaming and end.

#include <algorithm>

#include "base/hash.h"
#include "prefix_index/block_hash.h"
#include "router/request_router_impl.h"

namespace crankspur {

namespace {

/// @return the number of input tokens: the prompt and the text that the engine continues.
std::uint32_t inputTokens(const RequestEntry& entry) {
  return countTokens(entry.request.prompt) + countTokens(entry.text);
}

/// @return the estimated number of input tokens that the chosen engine must compute.
std::uint32_t uncachedTokens(const RequestEntry& entry, const PlacementDecision& decision) {
  const std::uint32_t reused = std::max(decision.cached_blocks, decision.import_blocks);
  const auto cached = static_cast<std::uint32_t>(reused * kTokensPerBlock);
  const std::uint32_t input = inputTokens(entry);
  return input > cached ? input - cached : 0;
}

}  // namespace

void RequestRouterImpl::startCompletion(RequestEntry& entry, TimePoint now) {
  SubmitRequest& request = entry.request;
  entry.tokens = request.resume_offset;
  entry.text = request.resume_text;
  if (request.max_tokens == 0) request.max_tokens = bundle()->findModel(request.model)->max_answer_tokens;
  if (entry.tokens > 0) entry.answer_weights = request.resume_weights;
  const bool may_resume = !request.resume_engine.empty() && !request.resume_weights.empty();
  if (may_resume &&
      resumeAt(entry, request.resume_engine, request.resume_incarnation, request.resume_weights, now)) {
    return;
  }
  placeCompletion(entry, now);
}

std::vector<std::string> RequestRouterImpl::usableWeights(const RequestEntry& entry,
                                                          const ModelPolicy& model) {
  if (!entry.answer_weights.empty()) return {entry.answer_weights};
  const std::string_view head = std::string_view(entry.request.prompt).substr(0, kBytesPerBlock);
  return capacityOf(model).orderedWeights(model.weights_version,
                                          hashBytes(head, hashBytes(entry.request.tenant)));
}

PlacementDecision RequestRouterImpl::choosePlacement(RequestEntry& entry, const std::string& weights,
                                                     TimePoint now) {
  const SubmitRequest& request = entry.request;
  if (entry.blocks_weights != weights) {
    const CacheScope scope{request.tenant, request.model, request.adapter, weights};
    entry.blocks = hashBlocks(scope.seed(), request.prompt);
    entry.blocks_weights = weights;
  }
  PlacementRequest placement;
  placement.tenant = request.tenant;
  placement.model = request.model;
  placement.adapter = request.adapter;
  placement.weights_version = weights;
  placement.blocks = entry.blocks;
  placement.prompt_tokens = inputTokens(entry);
  placement.max_tokens = request.max_tokens;
  placement.priority = request.priority;
  placement.deadline = entry.deadline - now;
  for (const ExcludedEngine& excluded : entry.excluded) {
    const EngineView* engine = snapshot_->engine(excluded.slot);
    const bool same_incarnation = engine != nullptr && engine->incarnation == excluded.incarnation;
    if (same_incarnation) placement.excluded.push_back(excluded.slot);
  }
  return options_.placement->choose(placement, *snapshot_, *options_.index, outstanding_work_, random_, now);
}

void RequestRouterImpl::placeCompletion(RequestEntry& entry, TimePoint now) {
  const SubmitRequest& request = entry.request;
  const ModelPolicy* model = bundle()->findModel(request.model);
  if (model == nullptr) {
    return refuse(entry, ErrorCode::UnknownModel, Duration{0}, "the model left the bundle", now);
  }
  PlacementDecision decision;
  for (const std::string& weights : usableWeights(entry, *model)) {
    decision = choosePlacement(entry, weights, now);
    if (decision.found) break;
  }
  entry.record.decision = decision;
  if (!decision.found) return failCompletion(entry, now);

  // After an attempt without cost to any engine the admission is still valid, and no retry budget is needed.
  if (entry.admitted) return dispatchCompletion(entry, decision, now);
  AdmissionRequest admission;
  admission.tenant = request.tenant;
  admission.priority = request.priority;
  admission.cost_tokens = uncachedTokens(entry, decision) + request.max_tokens;
  admission.deadline = entry.deadline - now;
  admission.expected_first_token = decision.expected_first_token;
  admission.fleet_utilization = std::max(capacityOf(*model).utilization(), decision.queue_utilization);
  admission.retry = entry.dispatches > 0 || !request.resume_engine.empty();
  admission.continuation = entry.tokens > 0;
  if (admit(entry, admission, now)) dispatchCompletion(entry, decision, now);
}

void RequestRouterImpl::dispatchCompletion(RequestEntry& entry, const PlacementDecision& decision,
                                           TimePoint now) {
  const EngineView* engine = snapshot_->engine(decision.engine);
  CurrentDispatch& dispatch = openDispatch(entry, engine->name, now);
  dispatch.engine = decision.engine;
  dispatch.incarnation = decision.incarnation;
  dispatch.weights_version = entry.blocks_weights;
  dispatch.import_tokens = static_cast<std::uint32_t>(decision.import_blocks * kTokensPerBlock);
  dispatch.dispatched_at = now;
  ++entry.dispatches;
  outstanding_work_.add(decision.engine, dispatch.id, uncachedTokens(entry, decision), now);
  options_.index->recordPlacement(decision.engine, decision.incarnation, entry.blocks, now);
  if (entry.dispatches > 1) {
    log(EventId::AttemptMoved, entry,
        {{"backend", engine->name}, {"offset", entry.tokens}, {"resume", false}});
  }

  DispatchCompletion action;
  action.dispatch = dispatch.id;
  action.engine = decision.engine;
  action.engine_name = engine->name;
  action.address = engine->address;
  action.expected_incarnation = decision.incarnation;
  action.expected_weights = dispatch.weights_version;
  action.request = entry.request;
  action.request.resume_offset = entry.tokens;
  action.request.resume_text = entry.text;
  action.request.deadline = entry.deadline - now;
  action.request.priority = entry.priority;
  action.import_from = decision.import_from;
  action.import_blocks = decision.import_blocks;
  actions_.emplace_back(std::move(action));
}

void RequestRouterImpl::onCompletionEvent(RequestEntry& entry, const BackendEvent& event, TimePoint now) {
  if (const auto* accepted = std::get_if<BackendAccepted>(&event)) {
    return onCompletionAccepted(entry, *accepted, now);
  }
  if (const auto* piece = std::get_if<BackendPiece>(&event)) return onCompletionPiece(entry, *piece, now);
  if (const auto* end = std::get_if<BackendEnd>(&event)) return onCompletionEnd(entry, *end, now);
  if (const auto* refused = std::get_if<BackendRefused>(&event))
    return onCompletionRefused(entry, *refused, now);
  onCompletionLost(entry, now);
}

void RequestRouterImpl::onCompletionAccepted(RequestEntry& entry, const BackendAccepted& accepted,
                                             TimePoint now) {
  CurrentDispatch& dispatch = *entry.dispatch;
  if (!dispatch.attempt->apply(AttemptEvent::BackendAccepted)) return;
  if (accepted.incarnation != dispatch.incarnation || accepted.weights_version != dispatch.weights_version) {
    return abandonDispatch(entry, EventId::BackendProtocolBroken,
                           "accepted with a different incarnation or weights version", now);
  }
  entry.prompt_tokens = accepted.prompt_tokens;
  entry.cached_tokens = accepted.cached_tokens;
  entry.record.prompt_tokens = accepted.prompt_tokens;
  entry.record.cached_tokens = accepted.cached_tokens;
  if (!dispatch.resume) {
    dispatch.computed_prompt_tokens =
        accepted.prompt_tokens - std::min(accepted.prompt_tokens, accepted.cached_tokens);
    const std::uint32_t reused = std::max(accepted.cached_tokens, dispatch.import_tokens);
    outstanding_work_.correct(dispatch.engine, dispatch.id,
                              accepted.prompt_tokens - std::min(accepted.prompt_tokens, reused));
    // The remaining blocks are recorded as held once the first token shows that the prompt is computed.
    const std::size_t held =
        std::min<std::size_t>(accepted.cached_tokens / kTokensPerBlock, entry.blocks.size());
    options_.index->correct(dispatch.engine, dispatch.incarnation, std::span(entry.blocks).first(held),
                            static_cast<std::uint32_t>(held), now);
  }
  send(entry, acceptedMessage(entry));
  schedule(entry);
}

void RequestRouterImpl::recordPrefillDone(RequestEntry& entry, TimePoint now) {
  CurrentDispatch& dispatch = *entry.dispatch;
  if (dispatch.prefill_done) return;
  dispatch.prefill_done = true;
  if (dispatch.resume) return;
  outstanding_work_.prefillDone(dispatch.engine, dispatch.id, now);
  options_.index->correct(dispatch.engine, dispatch.incarnation, entry.blocks,
                          static_cast<std::uint32_t>(entry.cached_tokens / kTokensPerBlock), now);
  const PlacementFeedback feedback{dispatch.engine, entry.prompt_tokens, entry.cached_tokens,
                                   entry.record.decision.expected_first_token, now - dispatch.dispatched_at};
  options_.placement->observe(feedback, now);
}

void RequestRouterImpl::onCompletionPiece(RequestEntry& entry, const BackendPiece& piece, TimePoint now) {
  CurrentDispatch& dispatch = *entry.dispatch;
  if (piece.offset + piece.token_count <= entry.tokens && piece.token_count > 0) return schedule(entry);
  if (piece.offset != entry.tokens || piece.token_count == 0) {
    return abandonDispatch(entry, EventId::BackendProtocolBroken,
                           "a piece is not contiguous with the previous one", now);
  }
  dispatch.attempt->apply(AttemptEvent::PieceReceived);
  recordPrefillDone(entry, now);
  if (!entry.first_token_seen) {
    entry.first_token_seen = true;
    entry.record.time_to_first_token = now - entry.submitted_at;
  }
  entry.answer_weights = dispatch.weights_version;
  entry.tokens += piece.token_count;
  entry.text += piece.text;
  send(entry, StreamPiece{entry.request.request_id, entry.request.attempt, piece.offset, piece.token_count,
                          piece.text});
  schedule(entry);
}

void RequestRouterImpl::onCompletionEnd(RequestEntry& entry, const BackendEnd& end, TimePoint now) {
  if (end.token_count != entry.tokens || end.checksum != hashBytes(entry.text)) {
    log(EventId::BackendProtocolBroken, entry,
        {{"backend", entry.dispatch->backend},
         {"reason", "token count or checksum of the response does not match"}});
    cancelDispatch(entry, now);
    return refuse(entry, ErrorCode::EngineLost, Duration{0}, "the answer's checksum does not agree", now);
  }
  entry.dispatch->attempt->apply(AttemptEvent::ResponseComplete);
  StreamEnd message;
  message.request_id = entry.request.request_id;
  message.attempt = entry.request.attempt;
  message.token_count = end.token_count;
  message.checksum = end.checksum;
  message.finish_reason = end.finish_reason;
  message.engine = entry.dispatch->backend;
  message.prompt_tokens = entry.prompt_tokens;
  message.cached_tokens = entry.cached_tokens;
  send(entry, std::move(message));
  finish(entry, "done", now);
}

}  // namespace crankspur
