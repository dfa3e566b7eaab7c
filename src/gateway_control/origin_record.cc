#include "gateway_control/origin_record.h"

#include <algorithm>

#include "gateway/stream_origins.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {
namespace {

/// Streams that begin within this time before a kill are missing from the record. Most streams that a kill
/// breaks began in the last second.
constexpr Duration kMinWriteInterval = std::chrono::milliseconds(200);
/// Bounds the writes of the whole fleet to 100 a second.
constexpr Duration kWriteIntervalPerPeer = std::chrono::milliseconds(10);
/// About 22 bytes each, and a third more as text, so that the row stays below 64 KB.
constexpr std::size_t kMaxRecorded = 1'500;

/// @return empty if the record is not in this program's format.
std::vector<StreamOriginRecord> decode(const StoredRecord& record) {
  const DecodedFrame frame = decodeFrame(record.text);
  const auto* origins = frame.message ? std::get_if<StreamOrigins>(&*frame.message) : nullptr;
  return origins == nullptr ? std::vector<StreamOriginRecord>{} : origins->begun;
}

}  // namespace

OriginRecord::OriginRecord(const std::string& gateway, TimePoint now)
    : name_("stream_origins/" + gateway), ready_at_(now + kMaxRecordLoadTime) {}

void OriginRecord::keep(const StreamOriginRecord& origin, TimePoint kept_at) {
  if (origin.build == 0 || !builds_.try_emplace(origin.attempt, origin.build).second) return;
  order_.emplace_back(kept_at, origin.attempt);
  changed_ = true;
}

void OriginRecord::onKept(const std::vector<StreamOriginRecord>& origins, TimePoint now) {
  for (const StreamOriginRecord& origin : origins) keep(origin, now);
  removeExpired(now);
}

void OriginRecord::removeExpired(TimePoint now) {
  while (!order_.empty() &&
         (now - order_.front().first > kStreamResumeTime || order_.size() > kMaxRecorded)) {
    builds_.erase(order_.front().second);
    order_.pop_front();
  }
}

std::vector<StreamOriginRecord> OriginRecord::onRead(const std::optional<StoredRecord>& record,
                                                     TimePoint now) {
  calling_ = false;
  if (!record) {
    not_before_ = now + kRecordRetryDelay;
    return {};
  }
  version_ = record->row_version;
  if (std::exchange(loaded_, true) || record->age > kStreamResumeTime) return {};
  std::vector<StreamOriginRecord> origins = decode(*record);
  const bool changed_before = changed_;
  for (const StreamOriginRecord& origin : origins) keep(origin, now - record->age);
  // The row holds what was just read.
  changed_ = changed_before;
  std::sort(order_.begin(), order_.end());
  removeExpired(now);
  return origins;
}

std::string OriginRecord::encoded() const {
  StreamOrigins origins;
  for (const auto& [kept_at, attempt] : order_)
    origins.begun.push_back({attempt, builds_.at(attempt), false});
  return encodeFrame(origins);
}

RecordCall OriginRecord::nextCall(std::size_t peers, TimePoint now) {
  RecordCall call;
  if (now < nextTimer()) return call;
  calling_ = true;
  if (!version_) {
    call.kind = RecordCall::Kind::read;
    return call;
  }
  removeExpired(now);
  changed_ = false;
  const Duration fleet_interval = kWriteIntervalPerPeer * static_cast<Duration::rep>(peers);
  next_write_at_ = now + std::max(kMinWriteInterval, fleet_interval);
  call.kind = RecordCall::Kind::write;
  call.text = encoded();
  call.expected_version = *version_;
  return call;
}

void OriginRecord::onWritten(std::optional<std::uint64_t> version, TimePoint now) {
  calling_ = false;
  version_ = version;
  if (version) return;
  changed_ = true;
  not_before_ = now + kRecordRetryDelay;
}

TimePoint OriginRecord::nextTimer() const {
  if (calling_) return TimePoint::max();
  if (!version_) return not_before_;
  return changed_ ? std::max(not_before_, next_write_at_) : TimePoint::max();
}

}  // namespace crankspur::gateway
