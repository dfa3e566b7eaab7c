/// @file Requests at a simulated router: feeds events to RequestRouter and executes its actions.

#include "sim/world/router_node.h"
#include "sim/world/sidecar_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

void RouterNode::submit(SidecarId sidecar, SubmitRequest request) {
  if (request.bundle_version > bundleVersion()) sendToSidecar(sidecar, BundleRequest{bundleVersion()});
  if (context_.without(Mechanism::CallerVersion)) request.bundle_version = 0;
  if (context_.without(Mechanism::RelativeDeadlines)) {
    request.deadline += process_->sidecars[sidecar].node->host().now() - now();
  }
  context_.trace.note(host_.name(), "submit {} attempt {}", request.request_id, request.attempt);
  process_->requests->onSubmit(sidecar, request, now());
  executeActions();
}

void RouterNode::executeActions() {
  while (true) {
    const std::vector<RouterAction> actions = process_->requests->takeActions();
    if (actions.empty()) break;
    for (const RouterAction& action : actions) executeAction(action);
  }
  armRequestTimer();
}

void RouterNode::armRequestTimer() {
  const std::optional<TimePoint> next = process_->requests->nextTimer();
  if (!next || *next == process_->request_timer) return;
  process_->request_timer = *next;
  const std::uint64_t generation = ++process_->request_timer_generation;
  host_.postAt(std::max(*next, now() + Duration(1)), [this, generation] {
    if (generation != process_->request_timer_generation) return;
    process_->request_timer = TimePoint::max();
    process_->requests->onTimer(now());
    executeActions();
  });
}

void RouterNode::executeAction(const RouterAction& action) {
  if (const auto* send = std::get_if<SendToSidecar>(&action)) executeSend(*send);
  if (const auto* completion = std::get_if<DispatchCompletion>(&action)) dispatchCompletion(*completion);
  if (const auto* operation = std::get_if<DispatchOperation>(&action)) dispatchOperation(*operation);
  if (const auto* cancel = std::get_if<CancelDispatch>(&action)) cancelDispatch(cancel->dispatch);
  if (const auto* claim = std::get_if<ClaimTableCall>(&action)) executeClaimCall(*claim);
  if (const auto* call = std::get_if<GroupClaimCall>(&action)) {
    process_->claim_group->begin(call->request, now());
    executeClaimGroupActions();
  }
  if (const auto* notice = std::get_if<GroupClaimNotice>(&action)) applyClaimNotice(*notice);
}

void RouterNode::executeSend(const SendToSidecar& action) {
  Message message = action.message;
  if (auto* refusal = std::get_if<Refusal>(&message)) {
    context_.trace.note(host_.name(), "refuses {} attempt {}: {} run_state {} {}", refusal->request_id,
                        refusal->attempt, errorName(refusal->code), static_cast<int>(refusal->run_state),
                        refusal->message);
    context_.records.refusals.push_back(
        {host_.name(), host_.epoch(), process_->started_at, refusal->code, context_.queue.now()});
    if (context_.without(Mechanism::RunStateTruth)) refusal->run_state = RunState::NotRun;
  }
  sendToSidecar(action.sidecar, std::move(message));
}

void RouterNode::executeClaimCall(const ClaimTableCall& action) {
  const std::uint64_t claim = action.claim;
  const ClaimAction claim_action = action.action;
  if (context_.without(Mechanism::Claim)) {
    host_.post(Duration(1), [this, claim, claim_action] {
      if (claim_action.kind == ClaimAction::Kind::Read) {
        process_->requests->onClaimRead(claim, ClaimRow{}, now());
      } else {
        process_->requests->onClaimWritten(claim, true, now(), 1);
      }
      executeActions();
    });
    return;
  }
  PlatformNode& platform = context_.directory.platform();
  const std::string key = "crankspur/claim/" + claim_action.key;
  if (claim_action.kind == ClaimAction::Kind::Read) {
    platform.readRow(host_, key, [this, claim, claim_action](const std::optional<TableRow>& row) {
      onClaimResponse(claim, claim_action, row, std::nullopt);
    });
    return;
  }
  platform.writeRow(
      host_, key, claim_action.expected_version, encodeClaimRow(claim_action.write),
      [this, claim, claim_action](const std::optional<WriteResponse>& response) {
        onClaimResponse(claim, claim_action, std::nullopt, response);
      },
      action.only_without_group ? kClaimGroupRowKey : "");
}

void RouterNode::onClaimResponse(std::uint64_t claim, const ClaimAction& action,
                                 const std::optional<TableRow>& read,
                                 const std::optional<WriteResponse>& written) {
  if (read) {
    process_->requests->onClaimRead(claim, decodeClaimRow(*read), now());
  } else if (written && written->fenced) {
    process_->claim_group->onGroupFound();
    process_->requests->onClaimFenced(claim, now());
  } else if (written) {
    process_->requests->onClaimWritten(claim, written->committed, now(),
                                       written->committed ? written->row.version : 0);
  } else if (context_.without(Mechanism::ClaimReadBack) && action.kind == ClaimAction::Kind::CompareAndSet) {
    process_->requests->onClaimWritten(claim, true, now(), 0);
  } else if (context_.without(Mechanism::ClaimReadBack)) {
    process_->requests->onClaimRead(claim, ClaimRow{}, now());
  } else {
    process_->requests->onClaimFailed(claim, now());
  }
  executeActions();
}

}  // namespace crankspur::sim
