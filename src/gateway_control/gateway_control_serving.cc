/// @file Participation of a gateway in the serving set: its notices, the addresses given to clients, and its
/// share of the limits that apply to all gateways together.

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/endpoint.h"
#include "base/hash.h"
#include "gateway_control/gateway_control.h"
#include "gateway_control/list_timing.h"
#include "gateway_control/serving_timings.h"

namespace crankspur::gateway {
namespace {

/// Share of the common limits, on connections to back ends and on retries, that serving gateways get. The
/// rest is for gateways on standby, which some clients still use.
constexpr double kServingShare = 0.7;
/// Number of gateways of other zones that a gateway on standby reads from when all of its own zone fail.
constexpr std::size_t kReadersInOtherZones = 2;

/// @return the divisor of a common limit for each of `gateways` gateways that together get `share` of it.
std::uint32_t divisor(std::size_t gateways, double share) {
  return static_cast<std::uint32_t>(
      std::ceil(static_cast<double>(std::max<std::size_t>(gateways, 1)) / share));
}

}  // namespace

void GatewayControl::refreshServing() {
  ++serving_refreshes_;
  onServingRefreshed(serving_.refresh(now()));
  if (serving_refreshes_ % (kNoticeInterval / kServingRefreshInterval) == 0) sendServingNotice();
  serving_timer_.expires_after(kServingRefreshInterval);
  serving_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) refreshServing();
  });
}

void GatewayControl::onServingRefreshed(bool changed) {
  if (!changed) return;
  updateReaders();
  if (serving_.allServe()) return;
  log_.write(EventId::ServingSetChanged,
             {{"serves", serving_.serves(gossip_.ownName())},
              {"gateways", serving_.serving().size()},
              {"zone_requests_per_second", std::lround(serving_.demandOf(settings_.zone))},
              {"own_zone", fmt::format("{}", fmt::join(serving_.servingInZone(settings_.zone), ","))}});
  schedulePublish();
}

/// Serving gateways read the platform. A gateway on standby reads from the serving gateways of its zone,
/// each standby starting with a different one, and then from two of other zones.
void GatewayControl::updateReaders() {
  const bool reads_platform = serving_.serves(gossip_.ownName());
  const std::size_t reader_count = serving_.allServe() ? members_.size() : serving_.serving().size();
  platform_.setListBatchDelay(listBatchDelay(reader_count, settings_.departure_limit));
  if (reads_platform) return platform_.setReaders({});
  const std::uint64_t own = hashBytes(gossip_.ownName());
  std::vector<std::string> readers = serving_.servingInZone(settings_.zone);
  if (readers.empty()) return platform_.setReaders({});
  std::rotate(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(own % readers.size()),
              readers.end());
  std::vector<std::string> others;
  for (const std::string& name : serving_.serving()) {
    if (std::find(readers.begin(), readers.end(), name) == readers.end()) others.push_back(name);
  }
  for (std::size_t index = 0; index < std::min(others.size(), kReadersInOtherZones); ++index) {
    readers.push_back(others[(own + index) % others.size()]);
  }
  platform_.setReaders(std::move(readers));
}

/// Sent by serving gateways, and by gateways on standby that still have clients.
void GatewayControl::sendServingNotice() {
  if (serving_.allServe() || leaving_) return;
  const bool serves = serving_.serves(gossip_.ownName());
  if (!serves && own_load_.requests_per_second < 1) return;
  ServingNotice notice;
  notice.requests_per_second = static_cast<std::uint32_t>(std::lround(own_load_.requests_per_second));
  notice.pressed = own_load_.pressed;
  serving_.onNotice(gossip_.ownName(), notice, now());
  const int notices = serving_refreshes_ / static_cast<int>(kNoticeInterval / kServingRefreshInterval);
  broadcastNotice(notice, notices % kNoticesPerFleetNotice == 0);
}

void GatewayControl::broadcastNotice(const ServingNotice& notice, bool whole_fleet) {
  for (const MemberRecord& member : gossip_.members()) {
    const bool live = member.state != MemberState::Leaving && member.incarnation != 0;
    const bool is_recipient = whole_fleet || member.zone == settings_.zone || serving_.serves(member.name);
    if (live && is_recipient && member.name != gossip_.ownName()) gossip_.sendTo(member.name, notice);
  }
}

void GatewayControl::onServingNotice(const std::string& sender, const ServingNotice& notice) {
  serving_.onNotice(sender, notice, now());
  if (notice.leaving) onServingRefreshed(serving_.refresh(now()));
}

std::vector<std::string> GatewayControl::clientAddresses(const std::string& zone) const {
  if (serving_.allServe()) return allClientAddresses();
  const std::string port = portOf(settings_.front);
  std::vector<std::string> addresses;
  for (const std::string& name : serving_.servingInZone(zone)) addresses.push_back(hostOf(name) + ":" + port);
  return addresses;
}

std::vector<std::string> GatewayControl::allClientAddresses() const {
  const std::string port = portOf(settings_.front);
  std::vector<std::string> addresses;
  std::vector<std::string> unready;
  for (const MemberRecord& member : gossip_.members()) {
    const bool own = member.name == gossip_.ownName();
    const bool is_leaving = member.state == MemberState::Leaving || (own && leaving_);
    if (is_leaving || (member.incarnation == 0 && !own)) continue;
    auto& list = member.bundle_version > 0 || own ? addresses : unready;
    list.push_back(hostOf(member.address) + ":" + port);
  }
  return addresses.empty() ? unready : addresses;
}

/// @return the other gateways that place requests and therefore need the load that this one has on the
/// engines.
std::vector<std::string> GatewayControl::peers() const {
  std::vector<std::string> names;
  if (!serving_.allServe()) {
    names = serving_.serving();
  } else {
    for (const MemberRecord& member : gossip_.members()) {
      const bool live = member.state == MemberState::Alive && member.incarnation != 0;
      if (live) names.push_back(member.name);
    }
  }
  std::erase(names, gossip_.ownName());
  return names;
}

std::vector<PeerGateway> GatewayControl::peerGateways() const {
  const std::vector<std::string> names = peers();
  const std::string port = portOf(settings_.front);
  std::vector<PeerGateway> gateways;
  for (const MemberRecord& member : gossip_.members()) {
    const bool live = member.state == MemberState::Alive && member.incarnation != 0;
    if (!live || std::find(names.begin(), names.end(), member.name) == names.end()) continue;
    gateways.push_back({member.name, hostOf(member.address) + ":" + port, member.zone});
  }
  return gateways;
}

void GatewayControl::sendToPeers(const BackendNotes& notes) {
  for (const std::string& peer : peers()) gossip_.sendTo(peer, notes);
}

void GatewayControl::assignShares(GatewaySnapshot& snapshot) const {
  if (serving_.allServe()) {
    snapshot.share_divisor =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, allClientAddresses().size()));
    snapshot.peer_count = snapshot.share_divisor - 1;
    return;
  }
  const std::size_t serving = serving_.serving().size();
  const std::size_t live = std::max(gossip_.members().size(), serving);
  const bool serves = serving_.serves(gossip_.ownName());
  snapshot.peer_count = static_cast<std::uint32_t>(serves ? serving - 1 : serving);
  snapshot.share_divisor =
      serves ? divisor(serving, kServingShare) : divisor(live - serving, 1 - kServingShare);
}

}  // namespace crankspur::gateway
