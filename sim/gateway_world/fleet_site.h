#pragma once
/// @file Size and load of a simulated fleet of gateways, drawn from the seed.

#include <cstdint>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_snapshot.h"
#include "sim/gateway_world/records.h"

namespace crankspur::gateway_sim {

/// What a poison request does to the engine that runs it.
enum class PoisonEffect {
  at_once,            ///< Crashes it as soon as it begins to run.
  midway,             ///< Crashes it while it reads the prompt.
  after_first_bytes,  ///< Crashes it after the first events of the answer.
};

/// A request that crashes engines, sent again and again.
struct PoisonRequest {
  BodyId body = 0;
  PoisonEffect effect = PoisonEffect::at_once;
  TimePoint from{};
  TimePoint to{};
  Duration pause{0};      ///< Mean time between its attempts.
  bool in_pairs = false;  ///< Sent at two gateways at once.
  bool leaves = false;    ///< Its caller sometimes leaves before the engine has crashed.
};

/// See the file comment. Instants are true time.
struct FleetSite {
  std::uint32_t gateways = 3;
  std::uint32_t engines = 9;
  std::uint32_t engine_slots = 8;
  std::uint32_t zones = 3;
  double requests_per_second = 12;
  std::uint32_t popular_bodies = 4;  ///< Innocent bodies that many callers send.
  Duration load_time{0};
  Duration key_validity = std::chrono::seconds(5);
  std::vector<PoisonRequest> poison;
  bool retries_after_breaks = false;  ///< Callers come back also when an answer broke off.
};

/// @param start when load begins.
FleetSite drawFleetSite(RandomSource& random, TimePoint start);
/// @return the configuration in force at all gateways of the site.
std::shared_ptr<const gateway::Configuration> makeFleetConfiguration();
/// @return the path that requests of the kind are sent to.
std::string pathOf(RequestKind kind);

inline constexpr const char* kFleetHost = "fleet.example";
inline constexpr const char* kFleetKey = "key";
inline constexpr const char* kFleetModel = "model";
inline constexpr const char* kFleetPool = "engines";

}  // namespace crankspur::gateway_sim
