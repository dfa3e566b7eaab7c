/// @file How gateways tell each other which requests crash engines: carries out what CrashCoordinator
/// decides.

#include <algorithm>

#include "base/timer.h"
#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {

void GatewayControl::onOwnCrashUpdate(const CrashUpdate& update) {
  crashes_.onOwnUpdate(update, otherMembers(), now());
  pumpCrashes();
}

void GatewayControl::onCrashNotes(const CrashNotes& notes) {
  crashes_.onNotes(notes, now());
  pumpCrashes();
}

void GatewayControl::onCrashDigest(const std::string& teller, const CrashDigest& digest) {
  crashes_.onDigest(teller, digest, now());
  pumpCrashes();
}

void GatewayControl::pumpCrashes() {
  for (const CrashAction& action : crashes_.takeActions()) {
    std::visit([this](const auto& chosen) { carryOut(chosen); }, action);
  }
  expireAt(crash_timer_, crashes_.nextTimer(), now());
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crashes_.onTimer(otherMembers(), now());
    pumpCrashes();
  });
}

void GatewayControl::carryOut(const SendCrashMessage& action) {
  gossip_.tell(action.member, action.message);
}

void GatewayControl::carryOut(const TellTraffic& action) {
  if (outputs_.on_crash_update) outputs_.on_crash_update(action.update);
}

void GatewayControl::carryOut(const CallStore& action) {
  const CrashRecordCall& call = action.call;
  if (call.kind == CrashRecordCall::Kind::write) {
    return platform_.writeRecord(CrashRecord::kName, call.text, call.expected_version, [this](bool written) {
      crashes_.onRecordWritten(written, now());
      pumpCrashes();
    });
  }
  platform_.readRecord(CrashRecord::kName, [this](const std::optional<StoredRecord>& record) {
    crashes_.onRecordRead(record, now());
    pumpCrashes();
    schedulePublish();  // Nothing was served before the record was known.
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
