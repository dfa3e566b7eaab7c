/// @file Part of GatewayControl: keeps the records of the builds of back ends and of the origins of streams.
/// Executes the calls of BuildRecord and OriginRecord.

#include <utility>

#include "base/timer.h"
#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {

void GatewayControl::callBuildRecord() {
  const RecordCall call = build_record_.nextCall(now());
  if (call.kind == RecordCall::Kind::write) {
    platform_.writeRecord(BuildRecord::kName, call.text, call.expected_version,
                          [this](std::optional<std::uint64_t> version) {
                            build_record_.onWritten(version.has_value(), now());
                            callBuildRecord();
                          });
  } else if (call.kind == RecordCall::Kind::read) {
    platform_.readRecord(BuildRecord::kName, [this](const std::optional<StoredRecord>& record) {
      const bool was_known = build_record_.isKnown();
      build_record_.onRead(record, now());
      if (!was_known) schedulePublish();  // Nothing is served before the record is known.
      callBuildRecord();
    });
  }
  expireAt(build_record_timer_, build_record_.nextTimer(), now());
  build_record_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) callBuildRecord();
  });
}

void GatewayControl::confirmBuilds(std::uint64_t number) {
  confirmation_ = {number, now(), std::nullopt};
  platform_.refreshList();
  platform_.readRecord(BuildRecord::kName, [this, number](const std::optional<StoredRecord>& record) {
    onBuildsRead(number, record);
  });
}

void GatewayControl::onBuildsRead(std::uint64_t number, const std::optional<StoredRecord>& record) {
  if (!confirmation_ || confirmation_->number != number) return;
  confirmation_->record = record;
  if (record) return finishConfirmation();
  confirmation_.reset();
  outputs_.on_builds_confirmed({number, false, {}});
}

void GatewayControl::onListContact(TimePoint as_of) {
  list_contact_.confirm(as_of);
  build_record_.onListContact(as_of);
  callBuildRecord();
  finishConfirmation();
}

/// Responds once both were read.
void GatewayControl::finishConfirmation() {
  if (!confirmation_ || !confirmation_->record) return;
  if (list_contact_.confirmedAt() < confirmation_->requested_at) return;
  const Confirmation confirmation = *std::exchange(confirmation_, std::nullopt);
  if (publish_scheduled_) {
    publish_timer_.cancel();
    publish();
  }
  const std::vector<ServedBuild> builds = build_record_.served(*confirmation.record, now());
  outputs_.on_builds_confirmed({confirmation.number, true, builds});
}

void GatewayControl::callOriginRecord() {
  const RecordCall call = origin_record_.nextCall(otherMembers().size(), now());
  if (call.kind == RecordCall::Kind::write) {
    platform_.writeRecord(origin_record_.name(), call.text, call.expected_version,
                          [this](std::optional<std::uint64_t> version) {
                            origin_record_.onWritten(version, now());
                            callOriginRecord();
                          });
  } else if (call.kind == RecordCall::Kind::read) {
    platform_.readRecord(origin_record_.name(), [this](const std::optional<StoredRecord>& record) {
      restoreOrigins(origin_record_.onRead(record, now()));
      schedulePublish();  // Nothing is served before the record is known.
      callOriginRecord();
    });
  }
  expireAt(origin_record_timer_, origin_record_.nextTimer(), now());
  origin_record_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) callOriginRecord();
  });
}

/// The traffic thread keeps them as if another gateway had told them.
void GatewayControl::restoreOrigins(std::vector<StreamOriginRecord> origins) {
  if (origins.empty() || !outputs_.on_stream_origins) return;
  log_.write(EventId::StreamOriginsRestored, {{"origins", origins.size()}});
  StreamOrigins message;
  message.begun = std::move(origins);
  outputs_.on_stream_origins(gossip_.ownName(), std::move(message));
}

/// To be called with origins that this gateway keeps.
void GatewayControl::recordOrigins(const std::vector<StreamOriginRecord>& origins) {
  if (origins.empty()) return;
  origin_record_.onKept(origins, now());
  callOriginRecord();
}

}  // namespace crankspur::gateway
