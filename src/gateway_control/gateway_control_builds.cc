/// @file Part of GatewayControl: keeps the record of the builds of back ends. Executes the calls of
/// BuildRecord.

#include "base/timer.h"
#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {

void GatewayControl::callBuildRecord() {
  const BuildRecordCall call = build_record_.nextCall(now());
  if (call.kind == BuildRecordCall::Kind::write) {
    platform_.writeRecord(BuildRecord::kName, call.text, call.expected_version, [this](bool written) {
      build_record_.onWritten(written, now());
      callBuildRecord();
    });
  } else if (call.kind == BuildRecordCall::Kind::read) {
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

}  // namespace crankspur::gateway
