#pragma once
/// @file Size and load of a simulated fleet of gateways, drawn from the seed.

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_snapshot.h"
#include "sim/gateway_world/records.h"

namespace crankspur::gateway_sim {

/// What a poison request does to the engine that runs it.
enum class PoisonEffect {
  on_start,           ///< Crashes the engine when the request starts to run.
  midway,             ///< Crashes the engine during prefill.
  after_first_bytes,  ///< Crashes the engine after the first events of the response.
};

/// A request that crashes engines, sent repeatedly.
struct PoisonRequest {
  BodyId body = 0;
  PoisonEffect effect = PoisonEffect::on_start;
  TimePoint from{};
  TimePoint to{};
  Duration mean_interval{0};           ///< Mean time between attempts.
  bool concurrent = false;             ///< Sent to two gateways at the same time.
  bool caller_may_disconnect = false;  ///< The caller may disconnect before the engine has crashed.
};

/// See the file comment. Times are true time.
struct FleetSite {
  std::uint32_t gateways = 3;
  std::uint32_t engines = 9;
  std::uint32_t engine_slots = 8;
  std::uint32_t zones = 3;
  double requests_per_second = 12;
  std::uint32_t max_attempts = 2;  ///< Engines that one request may reach.
  /// Slack of the retry budget that all gateways share, divided by their number.
  double retry_slack_per_gateway = 12;
  std::uint32_t popular_bodies = 4;  ///< Harmless bodies that many callers send.
  Duration load_time{0};
  Duration key_validity = std::chrono::seconds(5);
  std::vector<PoisonRequest> poison;
  bool retries_broken_responses = false;  ///< Callers also retry when a response broke off.
  /// Versions of the engines' software; with more than one, callers resume broken streams at any gateway.
  std::uint32_t builds = 1;
  /// When builds are released, in order. Engines that start later run the newest one; gateways record builds
  /// and the origins of streams in the store. Empty: each process has any of the builds.
  std::vector<TimePoint> releases;
  int caller_retries = 2;            ///< Further attempts of a caller after refusals.
  bool retries_unreachable = false;  ///< Callers retry when the gateway does not accept the connection.
  /// Engines that leave state it in their responses.
  bool states_departures = false;
  /// The list of engines tells their slots.
  bool lists_slots = false;
  /// Gateways follow the caches of the engines, and relay requests to each other.
  bool relays = false;
};

/// @return the retry budget of all gateways of the site together.
gateway::RetryBudgetSettings retryBudgetOf(const FleetSite& site);
/// @param start when the load begins.
FleetSite drawFleetSite(RandomSource& random, TimePoint start);
/// @return the configuration that all gateways of the site use.
std::shared_ptr<const gateway::Configuration> makeFleetConfiguration(const FleetSite& site);
/// @return the path to which requests of the kind are sent.
std::string pathOf(RequestKind kind);

inline constexpr const char* kFleetHost = "fleet.example";
inline constexpr const char* kFleetKey = "key";
inline constexpr const char* kFleetModel = "model";
inline constexpr const char* kFleetPool = "engines";

}  // namespace crankspur::gateway_sim
