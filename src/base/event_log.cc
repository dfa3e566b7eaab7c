#include "base/event_log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace crankspur {

namespace {

const char* levelName(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

/// Quotes a value as a JSON string, which also keeps it on one line.
std::string quote(std::string_view value) {
  std::string text = "\"";
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      text += '\\';
      text += character;
    } else if (byte < 0x20 || byte == 0x7f) {
      text += fmt::format("\\u{:04x}", byte);
    } else {
      text += character;
    }
  }
  return text + '"';
}

bool needsQuotes(std::string_view value) {
  const auto plain = [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte > 0x20 && byte < 0x7f && character != '"' && character != '=' && character != '\\';
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), plain);
}

}  // namespace

const std::vector<EventDescription>& eventCatalogue() {
  static const std::vector<EventDescription> catalogue = {
#define CRANKSPUR_EVENT(number, name, level, meaning) {number, #name, LogLevel::level, meaning},
#include "base/events.def"
#undef CRANKSPUR_EVENT
  };
  return catalogue;
}

const EventDescription& describeEvent(EventId event) {
  const auto& catalogue = eventCatalogue();
  const auto matches = [event](const EventDescription& entry) {
    return entry.number == static_cast<int>(event);
  };
  return *std::find_if(catalogue.begin(), catalogue.end(), matches);
}

std::string currentLogTime() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     milliseconds);
}

std::string formatLogLine(LogFormat format, std::string_view time, std::string_view process,
                          const EventDescription& event, const std::vector<LogField>& fields) {
  std::string line;
  if (format == LogFormat::Json) {
    line = fmt::format(R"({{"time":"{}","process":{},"event":{},"name":"{}","level":"{}")", time,
                       quote(process), event.number, event.name, levelName(event.level));
    for (const LogField& field : fields) line += fmt::format(",{}:{}", quote(field.name), quote(field.value));
    return line + "}";
  }
  line = fmt::format("time={} process={} event={} name={} level={}", time, process, event.number, event.name,
                     levelName(event.level));
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.name, needsQuotes(field.value) ? quote(field.value) : field.value);
  }
  return line;
}

StderrEventLog::StderrEventLog(std::string process, LogFormat format, LogLevel minimum)
    : process_(std::move(process)), format_(format), minimum_(minimum) {}

void StderrEventLog::write(EventId event, const std::vector<LogField>& fields) {
  const EventDescription& description = describeEvent(event);
  if (description.level < minimum_) return;
  const std::string line = formatLogLine(format_, currentLogTime(), process_, description, fields) + "\n";
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace crankspur
