#include "node_settings/node_settings.h"

#include <fmt/format.h>

#include <chrono>

#include "base/endpoint.h"

namespace crankspur {

namespace {

bool isAddress(const std::string& address) {
  boost::system::error_code error;
  parseEndpoint(address, error);
  return !error;
}

void readLogSettings(TomlTable& root, NodeSettings& settings) {
  const std::optional<LogFormat> format = parseLogFormat(root.getString("log_format", "key_value"));
  if (format) {
    settings.log_format = *format;
  } else {
    root.report("log_format", "must be key_value or json");
  }
  const std::string level_name = root.getString("log_level", "info");
  if (level_name == "debug") {
    settings.log_level = LogLevel::Debug;
  } else if (level_name == "warning") {
    settings.log_level = LogLevel::Warning;
  } else if (level_name == "error") {
    settings.log_level = LogLevel::Error;
  } else if (level_name != "info") {
    root.report("log_level", "must be debug, info, warning or error");
  }
}

std::string missingKeyReason(const std::string& key) {
  return key + " is missing: set it in the settings file or with --" + key;
}

}  // namespace

std::optional<LogFormat> parseLogFormat(std::string_view name) {
  if (name == "json") return LogFormat::Json;
  if (name == "key_value") return LogFormat::KeyValue;
  return std::nullopt;
}

void readAddress(TomlTable& root, const std::string& key, std::string& value) {
  value = root.getString(key, value);
  if (!value.empty() && !isAddress(value)) root.report(key, "must be IP:port");
}

void readAddresses(TomlTable& root, const std::string& key, std::vector<std::string>& value) {
  value = root.getStrings(key);
  if (!checkAddresses(key, value).empty()) root.report(key, "must be a list of IP:port");
}

void readInterval(TomlTable& root, const std::string& key, Duration& value, Range<std::int64_t> range) {
  const auto fallback = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  value = std::chrono::milliseconds(root.getInteger(key, fallback, range));
}

void readNodeSettings(TomlTable& root, NodeSettings& settings) {
  settings.name = root.getString("name", "");
  settings.zone = root.getString("zone", "");
  settings.region = root.getString("region", "");
  readAddress(root, "listen", settings.listen);
  readAddress(root, "admin", settings.admin);
  readAddress(root, "platform", settings.platform);
  const auto keys = root.getTable("trusted_keys");
  settings.trusted_keys.authors = keys->getStrings("authors");
  settings.trusted_keys.approvers = keys->getStrings("approvers");
  readLogSettings(root, settings);
}

std::string checkNodeSettings(const NodeSettings& settings) {
  if (settings.name.empty()) return missingKeyReason("name");
  if (settings.zone.empty()) return missingKeyReason("zone");
  if (settings.region.empty()) return missingKeyReason("region");
  if (!isAddress(settings.listen)) return "listen must be IP:port, not \"" + settings.listen + "\"";
  if (!isAddress(settings.admin)) return "admin must be IP:port, not \"" + settings.admin + "\"";
  if (!settings.platform.empty() && !isAddress(settings.platform)) {
    return "platform must be IP:port, not \"" + settings.platform + "\"";
  }
  if (settings.trusted_keys.authors.empty() || settings.trusted_keys.approvers.empty()) {
    return "trusted_keys must name at least one author and one approver";
  }
  return {};
}

std::string checkAddresses(const std::string& key, const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (!isAddress(address)) return fmt::format("{} must be a list of IP:port, not \"{}\"", key, address);
  }
  return {};
}

void logSettingsProblems(const std::vector<SettingsProblem>& problems, EventLog& log) {
  for (const SettingsProblem& problem : problems) {
    log.write(
        EventId::SettingsRefused,
        {{"file", problem.file}, {"line", problem.line}, {"key", problem.key}, {"reason", problem.reason}});
  }
}

}  // namespace crankspur
