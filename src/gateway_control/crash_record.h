#pragma once
/// @file The record of quarantined requests in the platform's store. Gateways tell each other all evidence,
/// and forget it when all of them end at once; what must outlast that lies here: one row, written when a
/// request is quarantined, read by each gateway when it starts. Pure decision code.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "gateway/crash_suspects.h"
#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

/// What a CrashRecord asks for: at most one call at a time.
struct CrashRecordCall {
  enum class Kind {
    none,
    read,   ///< To be answered by CrashRecord::onRead().
    write,  ///< To be answered by CrashRecord::onWritten().
  };
  Kind kind = Kind::none;
  std::string text;                    ///< To be written.
  std::uint64_t expected_version = 0;  ///< The row version that it may replace.
};

/// Reads the record at the start until the store answers, and writes it when asked. Not thread-safe.
class CrashRecord {
public:
  /// The row's name in the store.
  static constexpr char kName[] = "quarantined_requests";

  /// @param now when the gateway started.
  explicit CrashRecord(TimePoint now);

  /// Asks for the record to be written, with what others have written to it.
  void save();
  /// @param record empty: the store did not answer.
  /// @return what the record holds.
  CrashUpdate onRead(const std::optional<StoredRecord>& record, TimePoint now);
  /// To be called after onRead() once its update was merged, and at any time else.
  /// @param quarantined the evidence to write, if the record is to be written now.
  /// @return the call to make now.
  CrashRecordCall nextCall(const CrashUpdate& quarantined, TimePoint now);
  /// @param written false: the row has changed, or the outcome is unknown.
  void onWritten(bool written, TimePoint now);
  /// @return when nextCall() has something to ask for; TimePoint::max(): not before another event.
  TimePoint nextTimer() const;
  /// @return whether the record has been read, or not in a time for which callers can wait.
  bool isReady(TimePoint now) const { return loaded_ || now >= settles_at_; }

private:
  TimePoint settles_at_;
  TimePoint not_before_{};  ///< Pause after a call that failed.
  TimePoint asked_at_{};    ///< When the record was last asked for.
  bool loaded_ = false;
  bool save_wanted_ = false;
  bool calling_ = false;
  std::optional<std::uint64_t> version_to_replace_;  ///< Set between reading and writing.
};

}  // namespace crankspur::gateway
