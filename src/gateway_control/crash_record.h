#pragma once
/// @file The record of quarantined requests in the platform's store. Gateways tell each other all they know,
/// and forget it when all of them end at once; what must outlast that lies here: one row, written when a
/// request is quarantined, read by each gateway when it starts.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "gateway/crash_suspects.h"
#include "gateway_control/platform_link.h"

namespace crankspur::gateway {

/// Hears of the record.
struct CrashRecordCallbacks {
  /// @return what is to be kept: the ends of all quarantined requests.
  std::function<CrashNews()> quarantined;
  /// The record was read.
  std::function<void(const CrashNews&)> on_read;
};

/// Reads and writes the record. Use from the executor's thread only.
class CrashRecord {
public:
  CrashRecord(const boost::asio::any_io_executor& executor, PlatformLink& platform,
              CrashRecordCallbacks callbacks);

  /// Reads the record; again after a pause until the store answers.
  void load();
  /// Writes what is quarantined now, beside what others have written.
  void save();
  /// @return whether the record has been read, or not in a time for which callers can wait.
  bool isSettled(TimePoint now) const { return loaded_ || now >= settles_at_; }

private:
  void onLoaded(const std::optional<StoredRecord>& record);
  void onReadToSave(const std::optional<StoredRecord>& record);
  void tell(const StoredRecord& record);
  void saveLater();

  PlatformLink& platform_;
  CrashRecordCallbacks callbacks_;
  SteadyClock clock_;
  boost::asio::steady_timer load_timer_;
  boost::asio::steady_timer save_timer_;
  TimePoint settles_at_;
  bool loaded_ = false;
  bool saving_ = false;
  bool save_again_ = false;  ///< Something was quarantined while a save was under way.
};

}  // namespace crankspur::gateway
