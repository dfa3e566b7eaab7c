#pragma once
/// @file Settings of one gateway node (TOML).

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "gateway/gateway_settings.h"
#include "settings/toml_reader.h"

namespace crankspur::gateway {

struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string front;      ///< "IP:port" for clients.
  std::string readiness;  ///< "IP:port" of the platform's readiness check; empty: not served.
  std::string directory;  ///< "IP:port" where clients request the list of gateways; empty: not served.
  std::string metrics;    ///< "IP:port" of /metrics, /healthz, /status and /explain; empty: not served.
  std::string gossip;     ///< "IP:port" (UDP) for other gateways; all gateways use the same port.
  std::string platform;   ///< "IP:port" of the platform's store.
  std::vector<std::string> seeds;  ///< IP addresses of other gateways, possibly outdated.
  RetryBudgetSettings retry_budget;
  QuotaTolerance quota_tolerance;
  /// How long keys stay valid without contact with the platform; empty: unlimited.
  std::optional<Duration> key_validity;
  /// Limit from the naming of weights to their use everywhere.
  Duration weights_limit = std::chrono::seconds(8);
  Duration order_rest = std::chrono::seconds(3);  ///< Delay between orders of two holders of the order lease.
  /// Limit from the listing of a back end as leaving to the last new request for it.
  Duration departure_limit = std::chrono::seconds(2);
  std::uint32_t parallel_weight_loads = 2;         ///< Back ends that load concurrently while time allows.
  Duration drain_limit = std::chrono::seconds(8);  ///< Maximum time from the stop signal to the exit.
  Duration directory_lifetime = std::chrono::seconds(1);  ///< How long clients may cache the gateway list.
  double processor_share = 1;                             ///< Share of one core available to the machine.
  double processor_speed = 1;                             ///< Speed of that core relative to an ordinary one.
  /// Memory that the process may use, in MB. Half of it may hold bytes for clients.
  double memory_limit_mb = 1024;
  double link_megabits_per_second = 1000;   ///< Bandwidth of the machine's link.
  std::uint32_t serving_least_in_zone = 2;  ///< Minimum number of serving gateways in a zone.
  std::uint32_t serving_all_up_to = 12;     ///< In a fleet of up to this many gateways all of them serve.
  LogLevel log_level = LogLevel::Info;
};

/// Parses settings from TOML. Each problem is appended to `problems` and leaves the default value in place.
NodeSettings readNodeSettings(std::string_view text, const std::string& file,
                              std::vector<SettingsProblem>& problems);

}  // namespace crankspur::gateway
