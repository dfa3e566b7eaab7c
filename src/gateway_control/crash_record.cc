#include "gateway_control/crash_record.h"

#include <utility>

#include "gateway_control/crash_exchange.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

constexpr char kName[] = "quarantined_requests";
/// Pause before a call to the store is repeated.
constexpr Duration kPause = std::chrono::milliseconds(700);
/// Callers wait for the record this long after the start at most: a store that answers does so in
/// milliseconds, and a gateway that knows no configuration serves nobody anyway.
constexpr Duration kLongestWait = std::chrono::seconds(1);

/// @return what the record holds; empty when it is none of this program's.
CrashNews decode(const StoredRecord& record, TimePoint now) {
  const DecodedFrame frame = decodeFrame(record.text);
  const auto* notes = frame.message ? std::get_if<CrashNotes>(&*frame.message) : nullptr;
  return notes == nullptr ? CrashNews{} : toNews(*notes, now - record.age);
}

}  // namespace

CrashRecord::CrashRecord(const boost::asio::any_io_executor& executor, PlatformLink& platform,
                         CrashRecordCallbacks callbacks)
    : platform_(platform),
      callbacks_(std::move(callbacks)),
      load_timer_(executor),
      save_timer_(executor),
      settles_at_(clock_.now() + kLongestWait) {}

void CrashRecord::load() {
  platform_.readRecord(kName, [this](const std::optional<StoredRecord>& record) { onLoaded(record); });
}

void CrashRecord::onLoaded(const std::optional<StoredRecord>& record) {
  if (record) {
    loaded_ = true;
    return tell(*record);
  }
  load_timer_.expires_after(kPause);
  load_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) load();
  });
}

/// Also of an absent record, so that those who wait for it go on.
void CrashRecord::tell(const StoredRecord& record) {
  callbacks_.on_read(decode(record, clock_.now()));
}

/// Written only if nobody has written meanwhile; what others wrote is read first, so that nothing of it is
/// lost.
void CrashRecord::save() {
  if (std::exchange(saving_, true)) {
    save_again_ = true;
    return;
  }
  platform_.readRecord(kName, [this](const std::optional<StoredRecord>& record) { onReadToSave(record); });
}

void CrashRecord::onReadToSave(const std::optional<StoredRecord>& record) {
  if (!record) return saveLater();
  tell(*record);
  const CrashNotes notes = toNotes(callbacks_.quarantined(), clock_.now());
  platform_.writeRecord(kName, encodeFrame(notes), record->row_version, [this](bool written) {
    if (!written) return saveLater();
    saving_ = false;
    if (std::exchange(save_again_, false)) save();
  });
}

void CrashRecord::saveLater() {
  save_timer_.expires_after(kPause);
  save_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    saving_ = false;
    save();
  });
}

}  // namespace crankspur::gateway
