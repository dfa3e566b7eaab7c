/// @file Member functions of Gateway that relay requests through other gateways while this one reaches too
/// few back ends.
///
/// Only a request that no back end can have received is relayed, and it ends here once a gateway may have
/// received it. So the receiver alone decides on the key, the quota, the back ends and their number, and the
/// response, also a refusal with its Retry-After, is forwarded as received.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// Limit of the gateways that one request is relayed to in turn.
constexpr std::size_t kMaxRelays = 3;
/// A request with less time left is not relayed.
constexpr Duration kMinTimeToRelay = std::chrono::milliseconds(30);
/// Interval of health requests to the back ends of a pool that are out of reach.
constexpr Duration kReachProbeInterval = std::chrono::milliseconds(300);

}  // namespace

PoolReach Gateway::reachOf(const Pool& pool) const {
  PoolReach reach;
  for (const Backend* backend : snapshot_->listedInPool(pool.name)) {
    ++reach.listed;
    if (table_.isOutOfReach(backend->view.slot)) ++reach.out_of_reach;
    if (table_.isUnresponsive(*backend)) ++reach.unanswered;
  }
  return reach;
}

/// @return whether at least half of the pool's back ends are out of reach. A few that crashed are not
/// evidence of a partition.
bool Gateway::isPartitioned(const Pool& pool) const {
  const PoolReach reach = reachOf(pool);
  return reach.listed > 0 && reach.out_of_reach * 2 >= reach.listed;
}

/// @return whether the request was relayed to another gateway.
bool Gateway::relay(Entry& entry, TimePoint now) {
  const bool unsent = !entry.may_have_arrived && !entry.may_have_run;
  if (entry.from_peer || !unsent || entry.relayed_to.size() >= kMaxRelays) return false;
  if (entry.deadline - now < kMinTimeToRelay) return false;
  if (!isPartitioned(*entry.pool)) return false;
  const PeerGateway* peer = peers_.choose(entry.relayed_to, now);
  if (peer == nullptr) return false;
  probeReach(*entry.pool, now);
  if (entry.waiting) queue_.erase({entry.priority, entry.id});
  entry.waiting = false;
  refundQuota(entry, now);
  entry.quota_units = 0;
  entry.relayed_to.push_back(peer->name);
  entry.last_backend = peer->name;
  ActiveExchange active;
  active.exchange = next_exchange_++;
  active.relayed = true;
  active.sent_at = now;
  active.last_received_at = now;
  exchanges_[active.exchange] = entry.id;
  const Duration time_left = entry.deadline - now;
  const PoolReach reach = reachOf(*entry.pool);
  observer_.onRelayed({entry.client.request_id, entry.pool->name, peer->name, entry.cause, reach, time_left});
  scheduleTimer(entry, entry.deadline);
  actions_.emplace_back(
      RelayToPeer{active.exchange, entry.id, peer->address, time_left - settings_.deadline_margin});
  entry.active = std::move(active);
  return true;
}

void Gateway::onRelayedHead(Entry& entry, int status, const BackendResponse& response, TimePoint now) {
  const bool refused = !response.genuine && impliesNotRun(status);
  if (refused && response.out_of_reach) return onPeerOutOfReach(entry, now);
  entry.active.refused_by_peer = refused;
  entry.may_have_run = !refused;
  if (!isSuccess(status)) return;  // onEnd() forwards the complete response.
  if (!response.genuine) return onInvalidResponse(entry, status, now);
  if (!entry.route->streaming) return recordFirstByte(entry, now);
  entry.active.streams_body = true;
  forwardHead(entry);
}

void Gateway::onPeerOutOfReach(Entry& entry, TimePoint now) {
  peers_.onFailed(entry.relayed_to.back(), now);
  entry.cause = RequestCause::no_back_end;
  discardResponse(entry, DispatchOutcome::Ended, now);
  place(entry, now);
}

/// The connection to the other gateway failed. Once the request may have arrived there, nothing tells whether
/// it runs or how many back ends have received it, so it is not sent anywhere else.
void Gateway::onRelayLost(Entry& entry, bool sent, TimePoint now) {
  const ActiveExchange active = entry.active;
  peers_.onFailed(entry.relayed_to.back(), now);
  endExchange(entry, DispatchOutcome::Ended, now);
  if (!sent) {
    entry.cause = RequestCause::back_end_unreachable;
    return place(entry, now);
  }
  entry.cause = RequestCause::answer_broke_off;
  entry.may_have_arrived = true;
  entry.may_have_run = true;
  reportMoved(entry, active, active.status, false, now);
  giveUp(entry, now);
}

/// Requests are not sent to back ends that are out of reach while other gateways can serve them, so probes
/// tell when the back ends are in reach again.
void Gateway::probeReach(const Pool& pool, TimePoint now) {
  if (pool.health_path.empty()) return;
  ReachProbes& probes = reach_probes_[pool.name];
  if (now < probes.sent_at + kReachProbeInterval) return;
  std::vector<const Backend*> targets = snapshot_->listedInPool(pool.name);
  std::erase_if(targets, [this](const Backend* backend) { return !table_.isOutOfReach(backend->view.slot); });
  if (targets.empty()) return;
  probes.sent_at = now;
  const Backend& target = *targets[probes.sent++ % targets.size()];
  const std::uint64_t id = next_probe_++;
  reach_probe_pools_[id] = pool.name;
  actions_.emplace_back(ProbeBackend{id, target.view.address, pool.health_path});
}

/// @return whether the probe was one of probeReach().
bool Gateway::onReachProbeResult(std::uint64_t probe, bool responded, TimePoint now) {
  const auto found = reach_probe_pools_.find(probe);
  if (found == reach_probe_pools_.end()) return false;
  const std::string pool = std::move(found->second);
  reach_probe_pools_.erase(found);
  if (!responded) return true;
  for (const Backend* backend : snapshot_->listedInPool(pool)) table_.resetReach(backend->view.slot);
  serveQueue(now);
  return true;
}

}  // namespace crankspur::gateway
