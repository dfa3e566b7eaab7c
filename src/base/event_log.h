#pragma once
/// @file Structured log of numbered events, one line per event.

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// Severity of a log event.
enum class LogLevel { Debug, Info, Warning, Error };

/// The events of events.def.
enum class EventId {
#define CRANKSPUR_EVENT(number, name, level, meaning) name = (number),
#include "base/events.def"
#undef CRANKSPUR_EVENT
};

/// One entry of events.def.
struct EventDescription {
  int number;
  const char* name;
  LogLevel level;
  const char* meaning;
};

/// @return all entries of events.def in the order of the file.
const std::vector<EventDescription>& eventCatalogue();

/// One key-value pair of a log line.
struct LogField {
  template <typename Value>
  LogField(std::string_view field_name, const Value& field_value)
      : name(field_name), value(fmt::format("{}", field_value)) {}
  std::string name;
  std::string value;
};

/// Format of a log line.
enum class LogFormat { KeyValue, Json };

/// Sink of log events. Implementations are thread-safe.
class EventLog {
public:
  virtual ~EventLog() = default;
  /// Writes one event. Values are escaped, so that a value cannot inject lines or fields.
  virtual void write(EventId event, const std::vector<LogField>& fields) = 0;
};

/// Writes to standard error: UTC time stamp, process name, event number, event name, level and fields.
class StderrEventLog : public EventLog {
public:
  /// @param process name of the process in every line.
  /// @param minimum events below this level are dropped.
  StderrEventLog(std::string process, LogFormat format, LogLevel minimum);
  void write(EventId event, const std::vector<LogField>& fields) override;

private:
  std::string process_;
  LogFormat format_;
  LogLevel minimum_;
};

/// Discards all events; for tests and benchmarks.
class NullEventLog : public EventLog {
public:
  void write(EventId, const std::vector<LogField>&) override {}
};

/// @return the entry of the event in events.def.
const EventDescription& describeEvent(EventId event);

/// @return the current time in the format of log lines: UTC, ISO 8601, milliseconds.
std::string currentLogTime();

/// @return one log line without a trailing line feed.
std::string formatLogLine(LogFormat format, std::string_view time, std::string_view process,
                          const EventDescription& event, const std::vector<LogField>& fields);

}  // namespace crankspur
