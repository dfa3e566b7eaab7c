#pragma once
/// @file Structured log of numbered events: one line each on standard error.

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace crankspur {

/// Severity of a log event.
enum class LogLevel { Debug, Info, Warning, Error };

/// The numbered events of events.def.
enum class EventId {
#define CRANKSPUR_EVENT(number, name, level, meaning) name = (number),
#include "base/events.def"
#undef CRANKSPUR_EVENT
};

/// What events.def says of one event.
struct EventDescription {
  int number;
  const char* name;
  LogLevel level;
  const char* meaning;
};

/// @return every event of events.def in the order of the file.
const std::vector<EventDescription>& eventCatalogue();

/// One named value of a log line.
struct LogField {
  template <typename Value>
  LogField(std::string_view field_name, const Value& field_value)
      : name(field_name), value(fmt::format("{}", field_value)) {}
  std::string name;
  std::string value;
};

/// Form of a log line.
enum class LogFormat { KeyValue, Json };

/// Receiver of log events. Implementations are thread-safe.
class EventLog {
public:
  virtual ~EventLog() = default;
  /// Writes one event. Values are escaped, so that no value can forge a line or a field.
  virtual void write(EventId event, const std::vector<LogField>& fields) = 0;
};

/// Writes to standard error with a UTC time stamp, the process name, number, name, level and fields.
class StderrEventLog : public EventLog {
public:
  /// @param process the name that every line carries.
  /// @param minimum events below this level are dropped.
  StderrEventLog(std::string process, LogFormat format, LogLevel minimum);
  void write(EventId event, const std::vector<LogField>& fields) override;

private:
  std::string process_;
  LogFormat format_;
  LogLevel minimum_;
};

/// Drops every event; for tests and benchmarks.
class NullEventLog : public EventLog {
public:
  void write(EventId, const std::vector<LogField>&) override {}
};

/// @return what events.def says of the event.
const EventDescription& describeEvent(EventId event);

/// @return the time of day as log lines state it: UTC, ISO 8601, milliseconds.
std::string currentLogTime();

/// @return one log line without its line end.
std::string formatLogLine(LogFormat format, std::string_view time, std::string_view process,
                          const EventDescription& event, const std::vector<LogField>& fields);

}  // namespace crankspur
