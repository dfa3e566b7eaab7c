/// @file Requests at a simulated sidecar: feeds messages to CallerRequest and records responses to callers.

#include "sim/world/sidecar_node.h"

namespace crankspur::sim {

namespace {
constexpr std::uint32_t kMaxAttempts = 4;
/// Maximum delay of a duplicated response.
constexpr double kMaxRepeatDelayMicros = 1'500'000;
}  // namespace

void SidecarNode::submit(CallerRecord& record) {
  record.sidecar = host_.name();
  record.submitted_at = context_.queue.now();
  record.request.bundle_version = bundleVersion();
  const std::string id = record.request.request_id;
  context_.trace.note(host_.name(), "caller sends {} {} key {}", id, record.request.operation,
                      record.request.idempotency_key);
  OpenRequest& open = process_->open_requests[id];
  open.record = &record;
  open.request =
      makeCallerRequest(record.request, *process_->selector, kMaxAttempts, context_.random.bits(), now());
  process_->latest_request = id;
  executeActions(id);
}

void SidecarNode::onResponse(const std::string& request_id, Message message) {
  const bool piece = std::holds_alternative<StreamPiece>(message);
  if (piece && piece_loss_rate_ > 0 && context_.random.chance(piece_loss_rate_)) {
    context_.trace.note(host_.name(), "a piece of {} is lost", request_id);
    return;
  }
  if (duplicate_response_rate_ > 0 && context_.random.chance(duplicate_response_rate_)) {
    const auto delay = Duration(static_cast<std::int64_t>(context_.random.unit() * kMaxRepeatDelayMicros));
    host_.post(delay, [this, request_id, message] { handleResponse(request_id, message); });
  }
  handleResponse(request_id, std::move(message));
}

void SidecarNode::handleResponse(const std::string& request_id, Message message) {
  auto found = process_->open_requests.find(request_id);
  if (context_.without(Mechanism::RequestCheck)) {
    found = process_->open_requests.find(process_->latest_request);
  }
  if (found == process_->open_requests.end()) return;
  OpenRequest& open = found->second;
  const std::string id = found->first;
  bypassRemovedChecks(open, message);
  if (const auto* accepted = std::get_if<Accepted>(&message)) open.request->onAccepted(*accepted, now());
  if (const auto* piece = std::get_if<StreamPiece>(&message)) {
    if (context_.without(Mechanism::ContiguousDelivery)) {
      deliverText(*open.record, piece->offset, piece->token_count, piece->text);
    }
    open.request->onPiece(*piece, now());
  }
  if (const auto* end = std::get_if<StreamEnd>(&message)) {
    if (context_.without(Mechanism::EndCheck)) {
      open.record->end = *end;
      deliverFinal(*open.record);
      process_->open_requests.erase(id);
      return;
    }
    open.request->onEnd(*end, now());
  }
  if (const auto* refusal = std::get_if<Refusal>(&message)) open.request->onRefusal(*refusal, now());
  executeActions(id);
}

/// Disables checks of CallerRequest by altering messages so that they pass.
void SidecarNode::bypassRemovedChecks(OpenRequest& open, Message& message) {
  const auto adapt = [this, &open](auto& typed) {
    if (context_.without(Mechanism::RequestCheck)) typed.request_id = open.record->request.request_id;
    const bool any_attempt =
        context_.without(Mechanism::AttemptCheck) || context_.without(Mechanism::RequestCheck);
    if (any_attempt) typed.attempt = open.attempt;
  };
  if (auto* accepted = std::get_if<Accepted>(&message)) adapt(*accepted);
  if (auto* piece = std::get_if<StreamPiece>(&message)) adapt(*piece);
  if (auto* end = std::get_if<StreamEnd>(&message)) adapt(*end);
  if (auto* refusal = std::get_if<Refusal>(&message)) adapt(*refusal);
}

void SidecarNode::executeActions(const std::string& request_id) {
  auto found = process_->open_requests.find(request_id);
  // A failed submit adds events from within an action; the outer call processes the resulting actions.
  if (found == process_->open_requests.end() || found->second.executing_actions) return;
  OpenRequest& open = found->second;
  open.executing_actions = true;
  for (auto actions = open.request->takeActions(); !actions.empty(); actions = open.request->takeActions()) {
    for (const CallerAction& action : actions) executeAction(open, action);
  }
  open.executing_actions = false;
  if (!open.request->finished()) {
    armTimer(request_id, open);
    return;
  }
  if (!open.router.empty()) process_->selector->recordFinished(open.router);
  process_->open_requests.erase(found);
}

void SidecarNode::executeAction(OpenRequest& open, const CallerAction& action) {
  CallerRecord& record = *open.record;
  if (const auto* submit = std::get_if<SubmitToRouter>(&action)) {
    if (!open.router.empty()) process_->selector->recordFinished(open.router);
    open.router = submit->router;
    open.attempt = submit->request.attempt;
    process_->selector->recordStarted(open.router);
    context_.trace.note(host_.name(), "submits {} attempt {} to {} from {}", submit->request.request_id,
                        open.attempt, submit->router, submit->request.resume_offset);
    if (!send(submit->router, submit->request)) open.request->onRouterLost(submit->router, false, now());
  } else if (const auto* cancel = std::get_if<CancelAtRouter>(&action)) {
    send(cancel->router, cancel->cancel);
  } else if (const auto* text = std::get_if<DeliverText>(&action)) {
    if (!context_.without(Mechanism::ContiguousDelivery)) {
      deliverText(record, text->offset, text->token_count, text->text);
    }
  } else if (const auto* end = std::get_if<DeliverEnd>(&action)) {
    record.end = end->end;
    deliverFinal(record);
  } else if (const auto* error = std::get_if<DeliverError>(&action)) {
    record.error = error->refusal;
    deliverFinal(record);
  }
}

void SidecarNode::deliverText(CallerRecord& record, std::uint64_t offset, std::uint32_t count,
                              const std::string& text) {
  if (offset != record.tokens) record.out_of_order = true;
  if (record.finals > 0) record.text_after_final = true;
  record.text += text;
  record.tokens += count;
}

void SidecarNode::deliverFinal(CallerRecord& record) {
  ++record.finals;
  record.finished_at = context_.queue.now();
  if (record.error) {
    context_.trace.note(host_.name(), "caller gets error {} run_state {} for {}: {}",
                        errorName(record.error->code), static_cast<int>(record.error->run_state),
                        record.request.request_id, record.error->message);
  } else {
    context_.trace.note(host_.name(), "caller has the whole answer to {}, {} tokens",
                        record.request.request_id, record.tokens);
  }
}

void SidecarNode::armTimer(const std::string& request_id, OpenRequest& open) {
  const std::optional<TimePoint> next = open.request->nextTimer();
  if (!next || *next == open.timer) return;
  open.timer = *next;
  const std::uint64_t generation = ++open.timer_generation;
  host_.postAt(std::max(*next, now() + Duration(1)), [this, request_id, generation] {
    const auto found = process_->open_requests.find(request_id);
    if (found == process_->open_requests.end() || found->second.timer_generation != generation) return;
    found->second.timer = TimePoint::max();
    found->second.request->onTimer(now());
    executeActions(request_id);
  });
}

}  // namespace crankspur::sim
