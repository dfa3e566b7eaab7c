#include "sim/gateway_world/fleet_world.h"

#include <algorithm>

namespace crankspur::gateway_sim {
namespace {

constexpr std::size_t kSeedMembers = 3;
constexpr std::uint64_t kMaxStartSpreadMilliseconds = 300;

}  // namespace

FleetWorld::FleetWorld(FleetContext& context)
    : context_(context),
      store_(context),
      configuration_(makeFleetConfiguration(context.site)),
      callers_(context, *this) {
  for (std::uint32_t number = 0; number < context.site.engines; ++number) {
    engines_.push_back(std::make_unique<EngineProcess>(context, store_, number));
  }
  for (std::uint32_t number = 0; number < context.site.gateways; ++number) {
    gateways_.push_back(std::make_unique<GatewayNode>(context, *this, number));
  }
  context.records.gateways.resize(context.site.gateways);
}

void FleetWorld::start() {
  for (const auto& engine : engines_) engine->start();
  for (const auto& gateway : gateways_) {
    const auto delay = std::chrono::milliseconds(context_.random.uniform(0, kMaxStartSpreadMilliseconds));
    context_.queue.after(delay, [&gateway] { gateway->start(); });
  }
}

EngineProcess& FleetWorld::engineAt(const std::string& address) {
  const auto found = std::find_if(engines_.begin(), engines_.end(),
                                  [&](const auto& engine) { return engine->address() == address; });
  return **found;
}

GatewayNode* FleetWorld::gatewayNamed(const std::string& member) {
  const auto found = std::find_if(gateways_.begin(), gateways_.end(),
                                  [&](const auto& gateway) { return gateway->memberName() == member; });
  return found == gateways_.end() ? nullptr : found->get();
}

std::vector<std::string> FleetWorld::seedNames() const {
  std::vector<std::string> names;
  for (std::size_t index = 0; index < std::min(kSeedMembers, gateways_.size()); ++index) {
    names.push_back(gateways_[index]->memberName());
  }
  return names;
}

}  // namespace crankspur::gateway_sim
