#include "gateway_control/crash_record.h"

#include <algorithm>

#include "gateway_control/crash_exchange.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

/// The store reads the row within this time of the request; a response that is processed later was delayed
/// after that.
constexpr Duration kMaxResponseTime = std::chrono::milliseconds(300);

/// @return the content of the record; empty if it is not in this program's format.
CrashUpdate decode(const StoredRecord& record, TimePoint now) {
  const DecodedFrame frame = decodeFrame(record.text);
  const auto* notes = frame.message ? std::get_if<CrashNotes>(&*frame.message) : nullptr;
  return notes == nullptr ? CrashUpdate{} : toUpdate(*notes, now - record.age);
}

}  // namespace

CrashRecord::CrashRecord(TimePoint now) : ready_at_(now + kMaxRecordLoadTime) {}

void CrashRecord::save(TimePoint at) {
  save_at_ = std::min(save_at_, at);
}

std::set<CrashRecord::RecordKey> CrashRecord::keysOf(const CrashUpdate& update) {
  std::set<RecordKey> keys;
  for (const CrashEvidence& crash : update.crashes) {
    keys.insert({crash.request.high, crash.request.low, crash.backend});
  }
  return keys;
}

CrashUpdate CrashRecord::onRead(const std::optional<StoredRecord>& record, TimePoint now) {
  calling_ = false;
  if (!record) {
    not_before_ = now + kRecordRetryDelay;
    return {};
  }
  loaded_ = true;
  if (now >= save_at_) version_to_replace_ = record->row_version;
  CrashUpdate content = decode(*record, std::min(now, read_requested_at_ + kMaxResponseTime));
  recorded_ = keysOf(content);
  return content;
}

/// The write replaces only the row version that was read, so that nothing written by other gateways is lost.
RecordCall CrashRecord::nextCall(const CrashUpdate& quarantined, TimePoint now) {
  RecordCall call;
  if (now < nextTimer()) return call;
  if (version_to_replace_ && keysOf(quarantined) == recorded_) {
    version_to_replace_.reset();
    save_at_ = TimePoint::max();
    return call;
  }
  calling_ = true;
  if (!version_to_replace_) {
    call.kind = RecordCall::Kind::read;
    read_requested_at_ = now;
    return call;
  }
  save_at_ = TimePoint::max();
  call.kind = RecordCall::Kind::write;
  call.text = encodeFrame(toNotes(quarantined, now));
  call.expected_version = *std::exchange(version_to_replace_, std::nullopt);
  return call;
}

void CrashRecord::onWritten(bool written, TimePoint now) {
  calling_ = false;
  if (written) return;
  save_at_ = now;
  not_before_ = now + kRecordRetryDelay;
}

TimePoint CrashRecord::nextTimer() const {
  if (calling_) return TimePoint::max();
  return loaded_ ? std::max(not_before_, save_at_) : not_before_;
}

}  // namespace crankspur::gateway
