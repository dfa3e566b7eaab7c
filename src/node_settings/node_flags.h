#pragma once
/// @file Flags shared by routers and sidecars, and the loading of settings: the file first, then the flags.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node_settings/node_settings.h"

namespace crankspur {

/// Replaces a setting by the flag's value when the flag is set.
template <typename Value>
void overrideIfSet(Value& value, const Value& flag) {
  if (!flag.empty()) value = flag;
}

/// Applies the shared flags over the settings from the file.
/// @return why a flag is invalid, or an empty string.
std::string applyNodeFlags(NodeSettings& settings);

/// @return the value of --settings: the path of the settings file, or an empty string.
std::string settingsPath();

/// @return the content of the file; empty, after logging the error, when it cannot be read.
std::optional<std::string> readSettingsFile(const std::string& path, EventLog& log);

/// Program-specific steps of loadSettings().
template <typename Settings>
struct SettingsHooks {
  std::function<Settings(std::string_view text, const std::string& file, std::vector<SettingsProblem>&)> read;
  std::function<void(Settings&)> apply_flags;  ///< The program's own flags.
  std::function<std::string(const Settings&)>
      check;  ///< @return why the settings are invalid, or an empty string.
};

/// Reads the settings file if --settings names one, applies the flags and validates the result.
/// @return the settings; empty, after logging the problems, when they are invalid.
template <typename Settings>
std::optional<Settings> loadSettings(const SettingsHooks<Settings>& hooks, EventLog& log) {
  Settings settings;
  const std::string path = settingsPath();
  if (!path.empty()) {
    const std::optional<std::string> text = readSettingsFile(path, log);
    if (!text) return std::nullopt;
    std::vector<SettingsProblem> problems;
    settings = hooks.read(*text, path, problems);
    logSettingsProblems(problems, log);
    if (!problems.empty()) return std::nullopt;
  }
  std::string reason = applyNodeFlags(settings);
  hooks.apply_flags(settings);
  if (reason.empty()) reason = hooks.check(settings);
  if (reason.empty()) return settings;
  log.write(EventId::SettingsRefused, {{"file", path}, {"reason", reason}});
  return std::nullopt;
}

}  // namespace crankspur
