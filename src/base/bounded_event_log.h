#pragma once
/// @file A log of numbered events that never blocks its callers: lines wait in a bounded queue that a thread
/// of its own writes out. When the queue fills, routine lines go first, and a line tells how many were
/// dropped.

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

/// How much a line matters when not all can be kept.
enum class LineImportance {
  routine,  ///< Told of every request that goes well.
  notable,  ///< A failure, a refusal, or a change of what the process believes.
};

/// @return the importance of an event's lines.
LineImportance importanceOf(EventId event);

/// Settings of the log.
struct BoundedLogSettings {
  std::string process;
  LogFormat format = LogFormat::KeyValue;
  LogLevel minimum = LogLevel::Info;
  int descriptor = 1;                                  ///< Standard output.
  std::size_t queue_bytes = std::size_t{192} * 1024;   ///< Of lines that wait to be written.
  std::size_t recent_bytes = std::size_t{96} * 1024;   ///< Of lines kept for recentLines().
  Duration batching = std::chrono::milliseconds(100);  ///< Lines written together come within this time.
  Duration last_flush =
      std::chrono::milliseconds(300);  ///< Longest time that the destructor waits for the reader.
};

/// Lines that were not written, since the start.
struct DroppedLines {
  std::uint64_t routine = 0;
  std::uint64_t notable = 0;
};

/// See the file comment. A line waits at most `batching` unless nobody reads the descriptor; what waits when
/// the process is killed is lost.
class BoundedEventLog : public EventLog {
public:
  explicit BoundedEventLog(BoundedLogSettings settings);
  /// Writes what waits, as far as the reader takes it within `last_flush`.
  ~BoundedEventLog() override;
  BoundedEventLog(const BoundedEventLog&) = delete;
  BoundedEventLog& operator=(const BoundedEventLog&) = delete;

  void write(EventId event, const std::vector<LogField>& fields) override;
  /// @return lines of late, written or waiting or dropped, that hold `text`; the oldest first.
  std::vector<std::string> recentLines(std::string_view text) const;
  DroppedLines dropped() const;
  /// @return lines that were accepted for writing, since the start.
  std::uint64_t linesAccepted() const;

private:
  bool hasRoom(LineImportance importance, std::size_t bytes) const;
  void keepRecent(const std::string& line);
  void enqueue(EventId event, const std::string& line);
  void run();
  void noteDropped();
  bool writeOut(std::string_view text);
  bool gaveUp(TimePoint now) const;

  BoundedLogSettings settings_;
  SteadyClock clock_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::string waiting_;
  std::deque<std::string> recent_;
  std::size_t recent_size_ = 0;
  DroppedLines dropped_;
  DroppedLines dropped_told_;
  std::uint64_t accepted_ = 0;
  bool stopping_ = false;
  TimePoint stopping_since_{};
  std::thread writer_;
};

}  // namespace crankspur
