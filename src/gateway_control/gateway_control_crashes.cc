/// @file Part of GatewayControl: gateways exchange evidence on which requests crash engines. Executes the
/// actions of CrashCoordinator.

#include <algorithm>

#include "base/timer.h"
#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {

void GatewayControl::onOwnCrashUpdate(const CrashUpdate& update) {
  crashes_.onOwnUpdate(update, otherMembers(), now());
  executeCrashActions();
}

void GatewayControl::onCrashNotes(const CrashNotes& notes) {
  crashes_.onNotes(notes, now());
  executeCrashActions();
}

void GatewayControl::onCrashDigest(const std::string& sender, const CrashDigest& digest) {
  crashes_.onDigest(sender, digest, now());
  executeCrashActions();
}

void GatewayControl::executeCrashActions() {
  for (const CrashAction& action : crashes_.takeActions()) {
    std::visit([this](const auto& chosen) { execute(chosen); }, action);
  }
  expireAt(crash_timer_, crashes_.nextTimer(), now());
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crashes_.onTimer(otherMembers(), now());
    executeCrashActions();
  });
}

void GatewayControl::execute(const SendCrashMessage& action) {
  gossip_.sendTo(action.member, action.message);
}

void GatewayControl::execute(const NotifyTraffic& action) {
  if (outputs_.on_crash_update) outputs_.on_crash_update(action.update);
}

void GatewayControl::execute(const CallStore& action) {
  const RecordCall& call = action.call;
  if (call.kind == RecordCall::Kind::write) {
    return platform_.writeRecord(CrashRecord::kName, call.text, call.expected_version,
                                 [this](std::optional<std::uint64_t> version) {
                                   crashes_.onRecordWritten(version.has_value(), now());
                                   executeCrashActions();
                                 });
  }
  platform_.readRecord(CrashRecord::kName, [this](const std::optional<StoredRecord>& record) {
    crashes_.onRecordRead(record, now());
    executeCrashActions();
    schedulePublish();  // Nothing is served before the record is known.
  });
}

/// @return the other gateways that may have clients.
std::vector<std::string> GatewayControl::otherMembers() const {
  std::vector<std::string> names;
  for (const MemberRecord& member : gossip_.members()) {
    const bool known = member.incarnation != 0 && member.state != MemberState::Dead;
    if (known && member.name != gossip_.ownName()) names.push_back(member.name);
  }
  return names;
}

}  // namespace crankspur::gateway
