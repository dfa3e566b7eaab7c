#pragma once
/// @file Settings of the sidecar process, read from a TOML file and overridden by flags.

#include <string>
#include <string_view>
#include <vector>

#include "node_settings/node_settings.h"

namespace crankspur {

/// Settings of one sidecar. Its clients are callers.
struct SidecarSettings : NodeSettings {
  SidecarSettings() { listen = "127.0.0.1:8080"; }
  std::vector<std::string> routers;  ///< Seed addresses, "IP:port".
  Duration default_deadline = std::chrono::seconds(60);
  Duration machine_list_interval = std::chrono::seconds(10);
  std::size_t max_requests = 4096;  ///< Maximum requests in flight; further requests are rejected.
  /// Queued response bytes above which a caller is disconnected.
  std::size_t slow_caller_bytes = std::size_t{1} << 20U;
  std::size_t request_bytes = std::size_t{4} << 20U;  ///< Maximum size of a request body.
  std::size_t connections = 4096;
};

/// Reads the settings file.
/// @param problems receives all problems found.
SidecarSettings readSidecarSettings(std::string_view text, const std::string& file,
                                    std::vector<SettingsProblem>& problems);

/// Validates the settings after flags were applied.
/// @return the first problem, or an empty string.
std::string checkSidecarSettings(const SidecarSettings& settings);

}  // namespace crankspur
