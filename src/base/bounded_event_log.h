#pragma once
/// @file Event log that never blocks its callers: lines are queued in a bounded buffer that a dedicated
/// thread writes. When the queue fills up, routine lines are dropped first, and a log line reports how many
/// lines were dropped.

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"

namespace crankspur {

/// Priority of a line when the queue is full.
enum class LineImportance {
  routine,  ///< Written for every successful request.
  notable,  ///< A failure, a rejection or a state change.
};

/// @return the importance of the lines of an event.
LineImportance importanceOf(EventId event);

/// Settings of a BoundedEventLog.
struct BoundedLogSettings {
  std::string process;
  LogFormat format = LogFormat::KeyValue;
  LogLevel minimum = LogLevel::Info;
  int descriptor = 1;                                 ///< Standard output.
  std::size_t queue_bytes = std::size_t{192} * 1024;  ///< Bound of the lines queued for writing.
  std::size_t recent_bytes = std::size_t{96} * 1024;  ///< Bound of the lines kept for recentLines().
  /// Lines queued within this time are written together.
  Duration batch_interval = std::chrono::milliseconds(100);
  /// Maximum time that the destructor waits for the reader.
  Duration final_flush_timeout = std::chrono::milliseconds(300);
};

/// Number of lines that were dropped since the start.
struct DroppedLines {
  std::uint64_t routine = 0;
  std::uint64_t notable = 0;
};

/// See the file comment. A line is queued for at most `batch_interval` while the descriptor has a reader.
/// Queued lines are lost when the process is killed; see process_failure.h for other ends.
class BoundedEventLog : public EventLog {
public:
  explicit BoundedEventLog(BoundedLogSettings settings);
  /// Flushes the queue for at most `final_flush_timeout`.
  ~BoundedEventLog() override;
  BoundedEventLog(const BoundedEventLog&) = delete;
  BoundedEventLog& operator=(const BoundedEventLog&) = delete;

  void write(EventId event, const std::vector<LogField>& fields) override;
  /// Like write(), but drops the line if the failing thread is queueing a line.
  void writeBeforeFailure(EventId event, const std::vector<LogField>& fields);
  /// Writes the queued lines from the calling thread while the descriptor accepts them. To be called only
  /// when the process is about to fail; does nothing if the failing thread is queueing a line.
  void flushBeforeFailure();
  /// @return recent lines that contain `text`, whether written, queued or dropped; oldest first.
  std::vector<std::string> recentLines(std::string_view text) const;
  DroppedLines dropped() const;
  /// @return the number of lines accepted for writing since the start.
  std::uint64_t linesAccepted() const;

private:
  bool hasCapacity(LineImportance importance, std::size_t bytes) const;
  void addRecent(const std::string& line);
  void enqueue(EventId event, const std::string& line);
  void run();
  void appendDroppedCount();
  bool writeToDescriptor(std::string_view text);
  bool flushTimedOut(TimePoint now) const;
  /// @return false if the lock was held for too long.
  bool lockBeforeFailure();

  BoundedLogSettings settings_;
  SteadyClock clock_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::string queued_;
  std::deque<std::string> recent_;
  std::size_t recent_size_ = 0;
  DroppedLines dropped_;
  DroppedLines dropped_reported_;
  std::uint64_t accepted_ = 0;
  bool stopping_ = false;
  TimePoint stopping_since_{};
  std::thread writer_;
};

}  // namespace crankspur
