/// @file Claim group of a simulated router: drives ClaimGroupService over the simulated network.

#include <algorithm>

#include "router/zone_sharing.h"
#include "sim/world/router_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

/// Number of routers that maintain the group row; the others do not access it.
constexpr std::uint32_t kGroupKeepers = 2;
constexpr Duration kClaimGroupTickInterval = std::chrono::milliseconds(100);
constexpr const char* kGroupName = "claim_group";

}  // namespace

void RouterNode::configureClaimGroup() {
  const Knobs& knobs = process_->bundles->current()->bundle->knobs;
  process_->claim_group->configure({knobs.claim_group_size, knobs.claim_lifetime}, now());
}

void RouterNode::tickClaimGroup() {
  std::vector<ClaimGroupCandidate> routers;
  std::vector<std::string> names;
  for (const MemberRecord& member : process_->membership->liveMembers()) {
    if (member.state != MemberState::Alive) continue;
    routers.push_back({member.address, member.zone});
    names.push_back(member.name);
  }
  std::optional<std::uint32_t> rank;
  for (std::uint32_t position = 0; position < kGroupKeepers && !names.empty(); ++position) {
    const std::string first = ownerOf(kGroupName, names);
    if (first == host_.name()) rank = position;
    std::erase(names, first);
  }
  process_->claim_group->setRouters(std::move(routers), rank);
  process_->claim_group->tick(now());
  executeClaimGroupActions();
  host_.post(kClaimGroupTickInterval, [this] { tickClaimGroup(); });
}

void RouterNode::executeClaimGroupActions() {
  for (const ClaimGroupAction& action : process_->claim_group->takeActions()) executeClaimGroupAction(action);
  if (process_->claim_group->inForce() != process_->claims_by_group) publish();
}

void RouterNode::executeClaimGroupAction(const ClaimGroupAction& action) {
  PlatformNode& platform = context_.directory.platform();
  if (const auto* message = std::get_if<SendClaimMessage>(&action)) {
    sendClaimMessage(*message);
  } else if (std::holds_alternative<ReadGroupRow>(action)) {
    platform.readRow(host_, kClaimGroupRowKey, [this](const std::optional<TableRow>& row) {
      process_->claim_group->onRowRead(row ? std::optional(decodeClaimGroupRow(*row)) : std::nullopt, now());
      executeClaimGroupActions();
    });
  } else if (const auto* swap = std::get_if<SwapGroupRow>(&action)) {
    context_.trace.note(host_.name(), "swaps to claim epoch {}", swap->row.epoch);
    platform.writeRow(host_, kClaimGroupRowKey, swap->expected_version, encodeClaimGroupRow(swap->row),
                      [this](const std::optional<WriteResponse>& response) {
                        process_->claim_group->onRowSwapped(
                            response ? std::optional(response->committed) : std::nullopt, now());
                        executeClaimGroupActions();
                      });
  } else if (const auto* put = std::get_if<PutClaimRow>(&action)) {
    putClaimRow(*put);
  } else if (const auto* decided = std::get_if<GroupClaimDecided>(&action)) {
    context_.trace.note(host_.name(), "claim {}: the group decides {}", decided->claim,
                        static_cast<int>(decided->decision.kind));
    process_->requests->onGroupClaim(decided->claim, decided->decision, now());
    executeActions();
  }
}

void RouterNode::sendClaimMessage(const SendClaimMessage& action) {
  RouterNode* peer = context_.directory.router(action.address);
  if (peer == nullptr) return;
  context_.network.datagram(host_, peer->host(), [peer, from = host_.name(), message = action.message] {
    peer->onClaimMessage(message, from);
  });
}

void RouterNode::putClaimRow(const PutClaimRow& action) {
  context_.directory.platform().writeRow(
      host_, "crankspur/claim/" + action.key, action.expected_version, encodeClaimRow(action.row),
      [this, key = action.key](const std::optional<WriteResponse>& response) {
        std::optional<ClaimRow> present;
        if (response) present = decodeClaimRow(response->row);
        process_->claim_group->onClaimPut(key, present, now());
        executeClaimGroupActions();
      });
}

void RouterNode::applyClaimNotice(const GroupClaimNotice& action) {
  if (const auto* release = std::get_if<ClaimRelease>(&action.notice)) {
    process_->claim_group->release(release->key, release->token, now());
  } else {
    process_->claim_group->record(std::get<ClaimRecord>(action.notice), now());
  }
  executeClaimGroupActions();
}

void RouterNode::onClaimMessage(const Message& message, const std::string& from) {
  Message received = message;
  if (auto* reply = std::get_if<ClaimReply>(&received)) {
    if (context_.without(Mechanism::ClaimMajority)) reply->granted = true;
  }
  process_->claim_group->onMessage(received, from, now());
  executeClaimGroupActions();
}

}  // namespace crankspur::sim
