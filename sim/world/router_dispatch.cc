/// @file Exchanges of a simulated router with engines and application runners.

#include "sim/world/engine_node.h"
#include "sim/world/router_node.h"
#include "sim/world/runner_node.h"

namespace crankspur::sim {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
/// An exchange fails after this time without an event from the back end.
constexpr Duration kIdleTimeout = std::chrono::seconds(6);

standin::CompletionRequest toEngineRequest(const DispatchCompletion& action) {
  const SubmitRequest& submit = action.request;
  standin::CompletionRequest request;
  request.request_id = submit.request_id;
  request.attempt = submit.attempt;
  request.tenant = submit.tenant;
  request.model = submit.model;
  request.adapter = submit.adapter;
  request.prompt = submit.prompt;
  request.max_tokens = submit.max_tokens;
  request.priority = submit.priority;
  request.expect_incarnation = action.expected_incarnation;
  request.expect_weights = action.expected_weights;
  request.resume_offset = submit.resume_offset;
  request.resume_text = submit.resume_text;
  request.import_from = action.import_from;
  request.import_blocks = action.import_blocks;
  return request;
}

}  // namespace

void RouterNode::openBackend(DispatchId dispatch, Host& backend,
                             const std::function<void(const ChannelPointer&)>& send) {
  Dispatch& entry = process_->dispatches[dispatch];
  entry.backend = backend.name();
  context_.network.connect(
      host_, backend, kConnectTimeout, [](const ChannelPointer&) {},
      [this, dispatch, send](const ChannelPointer& channel) {
        const auto found = process_->dispatches.find(dispatch);
        if (found == process_->dispatches.end()) {
          channel->close(Side::Client);
          return;
        }
        found->second.channel = channel;
        channel->onClosed(Side::Client, [this, dispatch] { backendEvent(dispatch, BackendLost{true}); });
        process_->requests->onDispatchSent(dispatch, now());
        send(channel);
        armIdleTimeout(dispatch, found->second.activity);
        executeActions();
      },
      [this, dispatch] { backendEvent(dispatch, BackendLost{false}); });
}

void RouterNode::dispatchCompletion(const DispatchCompletion& action) {
  EngineNode* engine = context_.directory.engine(action.engine_name);
  if (engine == nullptr) return;
  recordDecision(action.request);
  context_.trace.note(host_.name(), "dispatch {} attempt {} to {} incarnation {} weights {} from {}{}",
                      action.request.request_id, action.request.attempt, action.engine_name,
                      action.expected_incarnation, action.expected_weights, action.request.resume_offset,
                      action.resume ? " (resume)" : "");
  Dispatch& entry = process_->dispatches[action.dispatch];
  entry.request_id = action.request.request_id;
  entry.attempt = action.request.attempt;
  entry.engine = action.engine;
  entry.incarnation = action.expected_incarnation;
  const DispatchExpectation view{host_.name(), action.expected_incarnation, action.expected_weights};
  const DispatchId dispatch = action.dispatch;
  openBackend(
      dispatch, engine->host(), [this, engine, action, view, dispatch](const ChannelPointer& channel) {
        const auto handler = [this, dispatch](const standin::StreamEvent& event) {
          onStreamEvent(dispatch, event);
        };
        channel->send(Side::Client, [engine, channel, action, view, handler] {
          if (action.resume) {
            const standin::ResumeRequest resume{action.request.request_id, action.request.attempt,
                                                action.expected_incarnation, action.request.resume_offset};
            engine->resume(channel, resume, handler);
          } else {
            engine->submit(channel, toEngineRequest(action), view, handler);
          }
        });
      });
}

void RouterNode::recordDecision(const SubmitRequest& request) {
  const auto record = process_->requests->explain(request.request_id);
  if (!record) return;
  context_.records.decisions.push_back({host_.name(), request.request_id, request.bundle_version,
                                        record->bundle_version, context_.queue.now()});
}

void RouterNode::dispatchOperation(const DispatchOperation& action) {
  RunnerNode* runner = context_.directory.runner(action.runner_name);
  if (runner == nullptr) return;
  context_.trace.note(host_.name(), "dispatch {} attempt {} to {}", action.request.request_id,
                      action.request.attempt, action.runner_name);
  const DispatchId dispatch = action.dispatch;
  const SubmitRequest request = action.request;
  process_->dispatches[dispatch].request_id = request.request_id;
  openBackend(dispatch, runner->host(), [this, runner, request, dispatch](const ChannelPointer& channel) {
    channel->send(Side::Client, [this, runner, request, dispatch, channel] {
      runner->execute(request, [this, dispatch, channel](const std::string& result) {
        channel->send(Side::Server, [this, dispatch, result] {
          const std::uint32_t tokens = countTokens(result);
          backendEvent(dispatch, BackendAccepted{});
          backendEvent(dispatch, BackendPiece{0, tokens, result});
          backendEvent(dispatch, BackendEnd{tokens, hashBytes(result), "done"});
        });
      });
    });
  });
}

void RouterNode::onStreamEvent(DispatchId dispatch, const standin::StreamEvent& event) {
  if (const auto* accepted = std::get_if<standin::StreamAccepted>(&event)) {
    backendEvent(dispatch, BackendAccepted{accepted->incarnation, accepted->weights_version,
                                           accepted->prompt_tokens, accepted->cached_tokens});
  } else if (const auto* tokens = std::get_if<standin::StreamTokens>(&event)) {
    backendEvent(dispatch, BackendPiece{tokens->offset, tokens->count, tokens->text});
  } else if (const auto* end = std::get_if<standin::StreamFinished>(&event)) {
    backendEvent(dispatch, BackendEnd{end->token_count, end->checksum, end->finish_reason});
  } else if (const auto* refused = std::get_if<standin::StreamRefused>(&event)) {
    if (refused->ran == standin::RanState::NotRun) {
      backendEvent(dispatch, BackendRefused{refused->code, refused->retry_after});
    } else {
      backendEvent(dispatch, BackendLost{true});
    }
  }
}

void RouterNode::backendEvent(DispatchId dispatch, const BackendEvent& event) {
  const auto found = process_->dispatches.find(dispatch);
  if (found == process_->dispatches.end()) return;
  ++found->second.activity;
  reportOutcome(found->second, event);
  const bool last = std::holds_alternative<BackendEnd>(event) ||
                    std::holds_alternative<BackendRefused>(event) ||
                    std::holds_alternative<BackendLost>(event);
  if (last) {
    if (found->second.channel) found->second.channel->close(Side::Client);
    process_->dispatches.erase(found);
  }
  process_->requests->onBackend(dispatch, event, now());
  executeActions();
}

void RouterNode::reportOutcome(const Dispatch& entry, const BackendEvent& event) {
  if (!entry.engine) return;
  EngineOutcome outcome{*entry.engine, entry.incarnation, OutcomeKind::Answered, Duration(0)};
  if (const auto* lost = std::get_if<BackendLost>(&event)) {
    outcome.kind = lost->bytes_sent ? OutcomeKind::Lost : OutcomeKind::ConnectFailed;
  } else if (!std::holds_alternative<BackendAccepted>(event)) {
    return;
  }
  process_->engines->onOutcome(outcome, now());
}

void RouterNode::armIdleTimeout(DispatchId dispatch, std::uint64_t activity) {
  host_.post(kIdleTimeout, [this, dispatch, activity] {
    const auto found = process_->dispatches.find(dispatch);
    if (found == process_->dispatches.end()) return;
    if (found->second.activity != activity) {
      armIdleTimeout(dispatch, found->second.activity);
      return;
    }
    backendEvent(dispatch, BackendLost{true});
  });
}

void RouterNode::cancelDispatch(DispatchId dispatch) {
  const auto found = process_->dispatches.find(dispatch);
  if (found == process_->dispatches.end()) return;
  const Dispatch entry = found->second;
  process_->dispatches.erase(found);
  if (!entry.channel) return;
  EngineNode* engine = context_.directory.engine(entry.backend);
  if (engine != nullptr) {
    entry.channel->send(Side::Client, [engine, entry] { engine->cancel(entry.request_id, entry.attempt); });
  }
  entry.channel->close(Side::Client);
}

}  // namespace crankspur::sim
