#pragma once
/// @file Settings of the router process, read from a TOML file and overridden by flags.

#include <string>
#include <string_view>
#include <vector>

#include "node_settings/node_settings.h"

namespace crankspur {

/// Settings of one router. Its clients are sidecars and other routers.
struct RouterSettings : NodeSettings {
  RouterSettings() { listen = "127.0.0.1:7000"; }
  std::string advertise;           ///< "IP:port" that peers connect to; empty: the listening address.
  std::vector<std::string> peers;  ///< Seeds, "IP:port", in addition to the machine list.
  std::uint32_t traffic_threads = 2;
  std::size_t index_entries = 1'000'000;  ///< Capacity of the prefix index over all traffic threads.
  Duration machine_list_interval = std::chrono::seconds(2);
  Duration bundle_row_interval = std::chrono::seconds(5);
  /// Calls per second that the table service allows to all routers together.
  std::uint32_t table_calls_per_second = 400;
  /// Maximum time that a planned shutdown waits for requests in flight.
  Duration drain_limit = std::chrono::minutes(5);
};

/// Reads the settings file.
/// @param problems receives all errors in the file.
RouterSettings readRouterSettings(std::string_view text, const std::string& file,
                                  std::vector<SettingsProblem>& problems);

/// Validates the settings after flags were applied.
/// @return an error message, or an empty string.
std::string checkRouterSettings(const RouterSettings& settings);

}  // namespace crankspur
