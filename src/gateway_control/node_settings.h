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

/// Settings of one node.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  std::string front;      ///< "IP:port" for clients.
  std::string readiness;  ///< "IP:port" of the platform's readiness check; empty: not served.
  std::string directory;  ///< "IP:port" where clients ask for gateways; empty: not served.
  std::string metrics;    ///< "IP:port" of /metrics, /healthz, /status and /explain; empty: not served.
  std::string gossip;     ///< "IP:port" (UDP) for other gateways; all gateways use the same port.
  std::string platform;   ///< "IP:port" of the platform's store.
  std::vector<std::string> seeds;  ///< IP addresses of other gateways, perhaps stale.
  RetryBudgetSettings retry_budget;
  /// How long keys count as current without word from the platform; empty: for ever.
  std::optional<Duration> key_validity;
  Duration weights_limit = std::chrono::seconds(8);  ///< From the naming of weights to their use everywhere.
  Duration order_rest = std::chrono::seconds(3);     ///< Between orders of two holders of the order lease.
  /// From the listing of a back end as leaving to the last new request for it.
  Duration departure_limit = std::chrono::seconds(2);
  std::uint32_t parallel_weight_loads = 2;         ///< Back ends that load at once while time allows.
  Duration drain_limit = std::chrono::seconds(8);  ///< From the signal to stop to the end at the latest.
  Duration directory_lifetime = std::chrono::seconds(1);  ///< How long clients keep a list of gateways.
  double processor_share = 1;                             ///< Of one core that the machine may use.
  double processor_speed = 1;                             ///< Of that core, in ordinary cores.
  double link_megabits_per_second = 1000;                 ///< Of the machine's link.
  std::uint32_t serving_least_in_zone = 2;  ///< Gateways of a zone that clients are sent to, at least.
  std::uint32_t serving_all_up_to = 12;     ///< In a fleet of at most so many gateways all of them serve.
  LogLevel log_level = LogLevel::Info;
};

/// Reads settings; every problem is recorded and leaves the default in place.
NodeSettings readNodeSettings(std::string_view text, const std::string& file,
                              std::vector<SettingsProblem>& problems);

}  // namespace crankspur::gateway
