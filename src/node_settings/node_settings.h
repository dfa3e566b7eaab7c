#pragma once
/// @file The settings that routers and sidecars share: who the node is, where it listens, what it trusts and
/// how it logs.

#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "settings/toml_reader.h"

namespace crankspur {

/// Settings of any node.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string listen;                 ///< "IP:port"; where its clients connect.
  std::string admin = "127.0.0.1:0";  ///< "IP:port" of health, metrics and status.
  std::string platform;               ///< "IP:port" of the platform's services; empty: none.
  TrustedKeys trusted_keys;
  LogFormat log_format = LogFormat::KeyValue;
  LogLevel log_level = LogLevel::Info;
};

/// Reads the shared keys.
void readNodeSettings(TomlTable& root, NodeSettings& settings);

/// Reads a key that holds an "IP:port"; an absent key keeps `value`.
void readAddress(TomlTable& root, const std::string& key, std::string& value);

/// Reads a key that holds a list of "IP:port".
void readAddresses(TomlTable& root, const std::string& key, std::vector<std::string>& value);

/// Reads a key that holds a time in milliseconds; an absent key keeps `value`.
void readInterval(TomlTable& root, const std::string& key, Duration& value, Range<std::int64_t> range);

/// @return the format called `name`, or empty.
std::optional<LogFormat> parseLogFormat(std::string_view name);

/// Checks what must hold of the shared settings once flags were applied.
/// @return what is wrong, or an empty string.
std::string checkNodeSettings(const NodeSettings& settings);

/// Checks a list of addresses, which a flag may have set.
/// @return what is wrong, or an empty string.
std::string checkAddresses(const std::string& key, const std::vector<std::string>& addresses);

/// Logs each problem with its place.
void logProblems(const std::vector<SettingsProblem>& problems, EventLog& log);

}  // namespace crankspur
