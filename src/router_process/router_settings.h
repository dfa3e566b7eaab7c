#pragma once
/// @file Settings of the router process: a TOML file, overridden by flags.

#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "bundle/bundle.h"
#include "settings/toml_reader.h"

namespace crankspur {

/// Settings of one router.
struct RouterSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string listen = "127.0.0.1:7000";  ///< Where sidecars and other routers connect.
  std::string admin = "127.0.0.1:0";      ///< Health, metrics, status and explain.
  std::string advertise;                  ///< "IP:port" told to peers; empty: the address listened on.
  std::string platform;                   ///< Table service, object store and machine list; empty: none.
  std::vector<std::string> peers;         ///< Seeds, "IP:port", beside the machine list.
  TrustedKeys trusted_keys;
  std::uint32_t traffic_threads = 2;
  std::size_t index_entries = 1'000'000;  ///< Cached blocks known, over all traffic threads.
  LogFormat log_format = LogFormat::KeyValue;
  LogLevel log_level = LogLevel::Info;
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
