#include "gateway_control/crash_record.h"

#include <algorithm>

#include "gateway_control/crash_exchange.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

/// Delay before a call to the store is repeated.
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
/// The store reads the row within this time of the request; a response that is processed later was delayed
/// after that.
constexpr Duration kMaxResponseTime = std::chrono::milliseconds(300);
/// Callers wait for the record at most this long after the start: a reachable store responds in milliseconds,
/// and a gateway without a configuration serves no requests anyway.
constexpr Duration kMaxLoadTime = std::chrono::seconds(1);

/// @return the content of the record; empty if it is not in this program's format.
CrashUpdate decode(const StoredRecord& record, TimePoint now) {
  const DecodedFrame frame = decodeFrame(record.text);
  const auto* notes = frame.message ? std::get_if<CrashNotes>(&*frame.message) : nullptr;
  return notes == nullptr ? CrashUpdate{} : toUpdate(*notes, now - record.age);
}

}  // namespace

CrashRecord::CrashRecord(TimePoint now) : ready_at_(now + kMaxLoadTime) {}

void CrashRecord::save() {
  save_wanted_ = true;
}

CrashUpdate CrashRecord::onRead(const std::optional<StoredRecord>& record, TimePoint now) {
  calling_ = false;
  if (!record) {
    not_before_ = now + kRetryDelay;
    return {};
  }
  loaded_ = true;
  if (save_wanted_) version_to_replace_ = record->row_version;
  return decode(*record, std::min(now, read_requested_at_ + kMaxResponseTime));
}

/// The write replaces only the row version that was read, so that nothing written by other gateways is lost.
CrashRecordCall CrashRecord::nextCall(const CrashUpdate& quarantined, TimePoint now) {
  CrashRecordCall call;
  if (calling_ || (loaded_ && !save_wanted_) || now < not_before_) return call;
  calling_ = true;
  if (!version_to_replace_) {
    call.kind = CrashRecordCall::Kind::read;
    read_requested_at_ = now;
    return call;
  }
  save_wanted_ = false;
  call.kind = CrashRecordCall::Kind::write;
  call.text = encodeFrame(toNotes(quarantined, now));
  call.expected_version = *std::exchange(version_to_replace_, std::nullopt);
  return call;
}

void CrashRecord::onWritten(bool written, TimePoint now) {
  calling_ = false;
  if (written) return;
  save_wanted_ = true;
  not_before_ = now + kRetryDelay;
}

TimePoint CrashRecord::nextTimer() const {
  if (calling_ || (loaded_ && !save_wanted_)) return TimePoint::max();
  return not_before_;
}

}  // namespace crankspur::gateway
