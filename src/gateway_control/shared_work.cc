/// @file How gateways tell each other what they have at each engine.

#include <utility>

#include "gateway_control/gateway_control.h"

namespace crankspur::gateway {
namespace {

/// In a larger fleet only the gateways of the own zone are told, and other zones by sums: each hears all that
/// tell, so that the datagrams of a fleet would grow with its square.
constexpr std::size_t kMostToldEverywhere = 12;
/// The sum of the zone is told on in such steps while there is work.
constexpr Duration kZoneWorkStep = std::chrono::milliseconds(150);
/// What others tell is passed on to the traffic thread in such steps, since each hand-over wakes it.
constexpr Duration kPassInterval = std::chrono::milliseconds(20);

}  // namespace

void GatewayControl::onOwnWork(const LoadDigest& digest) {
  const std::vector<MemberRecord> members = gossip_.members();
  const bool everywhere = members.size() <= kMostToldEverywhere;
  if (!everywhere) noteZoneWork(gossip_.ownName(), digest);
  for (const MemberRecord& member : members) {
    const bool lives = member.state == MemberState::Alive && member.incarnation != 0;
    const bool told = everywhere || member.zone == settings_.zone;
    if (lives && told && member.name != gossip_.ownName()) gossip_.tell(member.name, digest);
  }
}

/// The sum of this zone is told a step after the first digest since the last sum.
void GatewayControl::noteZoneWork(const std::string& teller, const LoadDigest& digest) {
  zone_work_.onDigest(teller, digest, now());
  if (std::exchange(zone_work_waiting_, true)) return;
  zone_work_timer_.expires_after(kZoneWorkStep);
  zone_work_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tellZoneWork();
  });
}

void GatewayControl::tellZoneWork() {
  zone_work_waiting_ = false;
  const auto gateways = static_cast<std::uint32_t>(zoneMembers().size());
  const LoadDigest total = zone_work_.total(settings_.zone, gateways, now());
  for (const std::string& receiver : zoneWorkReceivers(gossip_.members(), gossip_.ownName())) {
    gossip_.tell(receiver, total);
  }
}

void GatewayControl::onLoadDigest(const std::string& teller, const LoadDigest& digest) {
  const bool of_zone_mate = digest.zone.empty() && gossip_.members().size() > kMostToldEverywhere;
  if (of_zone_mate) noteZoneWork(teller, digest);
  const bool waiting = !peer_work_.empty();
  LoadDigest& held = peer_work_[teller + digest.zone];
  held = digest;
  held.sender = teller;
  if (waiting) return;
  peer_work_timer_.expires_after(kPassInterval);
  peer_work_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) passPeerWork();
  });
}

void GatewayControl::passPeerWork() {
  std::vector<LoadDigest> digests;
  for (auto& [teller, digest] : std::exchange(peer_work_, {})) digests.push_back(std::move(digest));
  if (outputs_.on_peer_work) outputs_.on_peer_work(std::move(digests));
}

}  // namespace crankspur::gateway
