#pragma once
/// @file Internal to this package: the state that a simulated gateway loses when its process ends.

#include "gateway_control/build_record.h"
#include "gateway_control/gossip_socket.h"
#include "gateway_control/origin_record.h"
#include "gateway_control/state_contact.h"
#include "sim/gateway_world/gateway_node.h"

namespace crankspur::gateway_sim {

struct GatewayNode::Process {
  Process(const gateway::GatewaySettings& settings, std::uint64_t seed, const MemberRecord& self,
          TimePoint now, gateway::RequestObserver& observer)
      : traffic(settings, seed + 1, observer),
        crashes(seed + 2, now, settings.crash_policy),
        builds(seed + 4, now),
        origins(self.name, now),
        membership(makeMembership(self, gateway::gossipMembershipOptions(), seed + 3, now)) {}

  // Traffic.
  gateway::Gateway traffic;
  std::map<gateway::ClientId, Client> clients;
  std::map<gateway::ExchangeId, Exchange> exchanges;
  gateway::ClientId next_client = 1;
  bool executing_actions = false;
  Timer traffic_timer;
  Timer crash_update_timer;
  bool crash_update_waiting = false;
  Timer stream_origins_timer;
  bool stream_origins_waiting = false;

  // Control.
  gateway::FleetView fleet;
  gateway::CrashCoordinator crashes;
  gateway::BuildRecord builds;
  gateway::OriginRecord origins;
  std::unique_ptr<Membership> membership;
  gateway::StateContact contact;
  std::uint64_t table_version = 0;
  std::map<std::uint32_t, std::string> listed;  ///< Name of the listed process of each engine.
  bool has_configuration = false;
  int failed_store_calls = 0;    ///< Since the last response.
  std::uint64_t store_call = 0;  ///< Number of the latest call; responses to earlier calls are ignored.
  Timer store_timer;
  Timer publish_timer;
  Timer membership_timer;
  Timer crash_timer;
  Timer build_record_timer;
  Timer origin_record_timer;
  Timer suspension_timer;
  std::map<std::string, CacheCalls> cache_calls;  ///< By name of the engine's process.
  std::uint64_t next_cache_call = 1;
  Timer cache_timer;
  SuspensionWatch suspension;
};

}  // namespace crankspur::gateway_sim
