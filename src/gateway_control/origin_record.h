#pragma once
/// @file The record of the origins of streams that a gateway keeps (gateway/stream_origins.h), in the
/// platform's store. When all gateways are killed at once, nobody knows any more which build began a stream.
/// Each gateway writes what it keeps to a row of its own, some times a second while builds are mixed and not
/// at all otherwise, and reads it when it starts: gateways that are asked by their name then know what they
/// knew before. Pure decision code.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway_control/platform_link.h"
#include "gateway_control/record_call.h"
#include "internal_protocol/messages.h"

namespace crankspur::gateway {

/// The row of one gateway, which no other gateway writes. Not thread-safe.
class OriginRecord {
public:
  /// @param gateway name of the gateway, the same at each of its starts.
  /// @param now when the gateway started.
  OriginRecord(const std::string& gateway, TimePoint now);

  /// @return the row's name in the store.
  const std::string& name() const { return name_; }
  /// This gateway keeps these origins.
  void onKept(const std::vector<StreamOriginRecord>& origins, TimePoint now);
  /// @param record empty: the store did not respond.
  /// @return origins that an earlier process of this gateway kept; not empty only for the first response.
  std::vector<StreamOriginRecord> onRead(const std::optional<StoredRecord>& record, TimePoint now);
  /// @param version of the row as written; empty: it has changed, or the outcome is unknown.
  void onWritten(std::optional<std::uint64_t> version, TimePoint now);
  /// @param peers other gateways, which write to the same store.
  /// @return the call to make now.
  RecordCall nextCall(std::size_t peers, TimePoint now);
  /// @return when nextCall() has a call to make; TimePoint::max(): not before another event.
  TimePoint nextTimer() const;
  /// @return whether the record was read, or could not be read in the time for which callers can wait.
  bool isReady(TimePoint now) const { return loaded_ || now >= ready_at_; }

private:
  void keep(const StreamOriginRecord& origin, TimePoint kept_at);
  void removeExpired(TimePoint now);
  std::string encoded() const;

  std::string name_;
  TimePoint ready_at_;
  TimePoint not_before_{};     ///< End of the delay after a failed call.
  TimePoint next_write_at_{};  ///< Limits the rate of writes.
  bool loaded_ = false;
  bool calling_ = false;
  bool changed_ = false;                                   ///< Origins were added since the last write.
  std::optional<std::uint64_t> version_;                   ///< Of the row; empty: it must be read.
  std::map<std::uint64_t, std::uint64_t> builds_;          ///< By attempt.
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;  ///< Attempts, oldest first.
};

}  // namespace crankspur::gateway
