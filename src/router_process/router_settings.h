#pragma once
/// @file Settings of the router process: a TOML file, overridden by flags.

#include <string>
#include <string_view>
#include <vector>

#include "node_settings/node_settings.h"

namespace crankspur {

/// Settings of one router. Its clients are sidecars and other routers.
struct RouterSettings : NodeSettings {
  RouterSettings() { listen = "127.0.0.1:7000"; }
  std::string advertise;           ///< "IP:port" told to peers; empty: the address listened on.
  std::vector<std::string> peers;  ///< Seeds, "IP:port", beside the machine list.
  std::uint32_t traffic_threads = 2;
  std::size_t index_entries = 1'000'000;  ///< Cached blocks known, over all traffic threads.
  Duration machine_list_interval = std::chrono::seconds(2);
  Duration bundle_row_interval = std::chrono::seconds(5);
  /// Calls a second that the table service grants all routers together.
  std::uint32_t table_calls_per_second = 400;
  Duration drain_limit = std::chrono::minutes(5);  ///< A planned stop waits no longer for work in flight.
};

/// Reads the settings file.
/// @param problems receives everything wrong with it.
RouterSettings readRouterSettings(std::string_view text, const std::string& file,
                                  std::vector<SettingsProblem>& problems);

/// Checks what must hold once flags were applied.
/// @return what is wrong, or an empty string.
std::string checkRouterSettings(const RouterSettings& settings);

}  // namespace crankspur
