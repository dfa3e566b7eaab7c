#pragma once
/// @file The flags that routers and sidecars share, and the order in which file and flags are applied.

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node_settings/node_settings.h"

namespace crankspur {

/// Puts a flag's value over the file's when the flag was given.
template <typename Value>
void overrideWith(Value& value, const Value& flag) {
  if (!flag.empty()) value = flag;
}

/// Puts the shared flags over the file's settings.
/// @return what is wrong with a flag, or an empty string.
std::string applyNodeFlags(NodeSettings& settings);

/// @return the value of --settings: the path of the settings file, or an empty string.
std::string settingsPath();

/// @return the text of the file, or empty after logging that it cannot be read.
std::optional<std::string> readSettingsFile(const std::string& path, EventLog& log);

/// What one program adds to the shared steps.
template <typename Settings>
struct SettingsSteps {
  std::function<Settings(std::string_view text, const std::string& file, std::vector<SettingsProblem>&)> read;
  std::function<void(Settings&)> apply_flags;         ///< The program's own flags.
  std::function<std::string(const Settings&)> check;  ///< @return what is wrong, or an empty string.
};

/// Reads the settings file when one was named, applies the flags and checks the outcome.
/// @return the settings, or empty after logging everything that is wrong.
template <typename Settings>
std::optional<Settings> loadSettings(const SettingsSteps<Settings>& steps, EventLog& log) {
  Settings settings;
  const std::string path = settingsPath();
  if (!path.empty()) {
    const std::optional<std::string> text = readSettingsFile(path, log);
    if (!text) return std::nullopt;
    std::vector<SettingsProblem> problems;
    settings = steps.read(*text, path, problems);
    logProblems(problems, log);
    if (!problems.empty()) return std::nullopt;
  }
  std::string reason = applyNodeFlags(settings);
  steps.apply_flags(settings);
  if (reason.empty()) reason = steps.check(settings);
  if (reason.empty()) return settings;
  log.write(EventId::SettingsRefused, {{"file", path}, {"reason", reason}});
  return std::nullopt;
}

}  // namespace crankspur
