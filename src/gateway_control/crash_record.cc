#include "gateway_control/crash_record.h"

#include <algorithm>

#include "gateway_control/crash_exchange.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

/// Pause before a call to the store is repeated.
constexpr Duration kRetryPause = std::chrono::milliseconds(700);
/// The store reads the row within this time of the question; an answer that is taken later was long on its
/// way.
constexpr Duration kMaxAnswerTime = std::chrono::milliseconds(300);
/// Callers wait for the record this long after the start at most: a store that answers does so in
/// milliseconds, and a gateway that knows no configuration serves nobody anyway.
constexpr Duration kMaxLoadTime = std::chrono::seconds(1);

/// @return what the record holds; empty when it is none of this program's.
CrashUpdate decode(const StoredRecord& record, TimePoint now) {
  const DecodedFrame frame = decodeFrame(record.text);
  const auto* notes = frame.message ? std::get_if<CrashNotes>(&*frame.message) : nullptr;
  return notes == nullptr ? CrashUpdate{} : toUpdate(*notes, now - record.age);
}

}  // namespace

CrashRecord::CrashRecord(TimePoint now) : settles_at_(now + kMaxLoadTime) {}

void CrashRecord::save() {
  save_wanted_ = true;
}

CrashUpdate CrashRecord::onRead(const std::optional<StoredRecord>& record, TimePoint now) {
  calling_ = false;
  if (!record) {
    not_before_ = now + kRetryPause;
    return {};
  }
  loaded_ = true;
  if (save_wanted_) version_to_replace_ = record->row_version;
  return decode(*record, std::min(now, asked_at_ + kMaxAnswerTime));
}

/// Written only if nobody has written since it was read, so that nothing of what others wrote is lost.
CrashRecordCall CrashRecord::nextCall(const CrashUpdate& quarantined, TimePoint now) {
  CrashRecordCall call;
  if (calling_ || (loaded_ && !save_wanted_) || now < not_before_) return call;
  calling_ = true;
  if (!version_to_replace_) {
    call.kind = CrashRecordCall::Kind::read;
    asked_at_ = now;
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
  not_before_ = now + kRetryPause;
}

TimePoint CrashRecord::nextTimer() const {
  if (calling_ || (loaded_ && !save_wanted_)) return TimePoint::max();
  return not_before_;
}

}  // namespace crankspur::gateway
