#pragma once
/// @file The record of quarantined requests in the platform's store. Gateways exchange all evidence, but lose
/// it when all of them stop at once. What has to survive that is stored in this record: one row, written when
/// a request is quarantined and read by each gateway when it starts. Pure decision code.

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "gateway/crash_suspects.h"
#include "gateway_control/platform_link.h"
#include "gateway_control/record_call.h"

namespace crankspur::gateway {

/// Reads the record at the start, with retries until the store responds, and writes it on request. Not
/// thread-safe.
class CrashRecord {
public:
  /// The row's name in the store.
  static constexpr char kName[] = "quarantined_requests";

  /// @param now when the gateway started.
  explicit CrashRecord(TimePoint now);

  /// Requests that the record be written, merged with what other gateways have written to it. It is read
  /// first, and not written if it already holds the same evidence.
  /// @param at when to begin.
  void save(TimePoint at);
  /// @param record empty: the store did not respond.
  /// @return the content of the record.
  CrashUpdate onRead(const std::optional<StoredRecord>& record, TimePoint now);
  /// To be called once the update from onRead() was merged, and may be called at any other time.
  /// @param quarantined the evidence to write, if a write is due.
  /// @return the call to make now.
  RecordCall nextCall(const CrashUpdate& quarantined, TimePoint now);
  /// @param written false: the row has changed, or the outcome is unknown.
  void onWritten(bool written, TimePoint now);
  /// @return when nextCall() has a call to make; TimePoint::max(): not before another event.
  TimePoint nextTimer() const;
  /// @return whether the record has been read, or could not be read in the time for which callers can wait.
  bool isReady(TimePoint now) const { return loaded_ || now >= ready_at_; }

private:
  /// The request (both halves of its fingerprint) and the incarnation of the crashed back end.
  using RecordKey = std::array<std::uint64_t, 3>;
  static std::set<RecordKey> keysOf(const CrashUpdate& update);

  TimePoint ready_at_;
  TimePoint not_before_{};         ///< End of the delay after a failed call.
  TimePoint read_requested_at_{};  ///< When the record was last requested.
  bool loaded_ = false;
  TimePoint save_at_ = TimePoint::max();  ///< When a write is due; max: none is.
  bool calling_ = false;
  std::set<RecordKey> recorded_;                     ///< Content of the record as last read.
  std::optional<std::uint64_t> version_to_replace_;  ///< Set between reading and writing.
};

}  // namespace crankspur::gateway
