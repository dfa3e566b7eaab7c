#pragma once
/// @file Settings shared by routers and sidecars: identity, listening addresses, trusted keys and logging.

#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "settings/toml_reader.h"

namespace crankspur {

/// Settings common to all nodes.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string listen;                 ///< "IP:port" for clients.
  std::string admin = "127.0.0.1:0";  ///< "IP:port" for health, metrics and status.
  std::string platform;               ///< "IP:port" of the platform's services; empty: none.
  TrustedKeys trusted_keys;
  LogFormat log_format = LogFormat::KeyValue;
  LogLevel log_level = LogLevel::Info;
};

/// Reads the keys of NodeSettings.
void readNodeSettings(TomlTable& root, NodeSettings& settings);

/// Reads an "IP:port"; an absent key leaves `value` unchanged.
void readAddress(TomlTable& root, const std::string& key, std::string& value);

/// Reads a list of "IP:port".
void readAddresses(TomlTable& root, const std::string& key, std::vector<std::string>& value);

/// Reads a duration in milliseconds; an absent key leaves `value` unchanged.
void readInterval(TomlTable& root, const std::string& key, Duration& value, Range<std::int64_t> range);

/// @return the format with this name, or empty.
std::optional<LogFormat> parseLogFormat(std::string_view name);

/// Validates the shared settings after the flags have been applied.
/// @return why they are invalid, or an empty string.
std::string checkNodeSettings(const NodeSettings& settings);

/// Validates a list of addresses, which may come from a flag.
/// @return why the list is invalid, or an empty string.
std::string checkAddresses(const std::string& key, const std::vector<std::string>& addresses);

/// Logs each problem with its file and line.
void logSettingsProblems(const std::vector<SettingsProblem>& problems, EventLog& log);

}  // namespace crankspur
