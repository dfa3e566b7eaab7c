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
/// Interval of health requests to the back ends of a pool that are not known to be in reach, and their number
/// each time.
constexpr Duration kReachProbeInterval = std::chrono::milliseconds(300);
constexpr std::size_t kReachProbes = 4;
/// Their number once one of them has responded.
constexpr std::size_t kReachProbesAfterResponse = 16;

}  // namespace

PoolReach Gateway::reachOf(const Pool& pool, TimePoint now) const {
  return table_.reach().ofPool(snapshot_->listedInPool(pool.name), now);
}

bool Gateway::isPartitioned(const Pool& pool, TimePoint now) const {
  return isPartition(reachOf(pool, now));
}

/// @return whether a request to the back end would probably be lost. Where nothing is known to be in reach,
/// that holds for back ends that were not tried as well.
bool Gateway::seemsOutOfReach(const Backend& backend, const Pool& pool, TimePoint now) const {
  const Reach reach = table_.reach().of(backend.view.slot, now);
  if (reach != Reach::unknown) return reach == Reach::out_of_reach;
  const PoolReach all = reachOf(pool, now);
  return maybePartition(all) && all.in_reach == 0;
}

/// A request got no response. Where several back ends may be out of reach, the reach of the others is probed.
void Gateway::recordUnreached(const Pool& pool, const ActiveExchange& active, TimePoint now) {
  table_.reach().onFailed(active.slot, active.incarnation, now);
  if (maybePartition(reachOf(pool, now))) probeReach(pool, now);
}

/// @return whether the request was relayed to another gateway.
bool Gateway::relay(Entry& entry, TimePoint now) {
  if (entry.from_peer || entry.mayHaveArrived() || entry.relayed_to.size() >= kMaxRelays) return false;
  if (entry.deadline - now < kMinTimeToRelay) return false;
  if (!isPartitioned(*entry.pool, now)) return false;
  const PeerGateway* peer = peers_.choose(entry.relayed_to, now);
  if (peer == nullptr) return false;
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
  const PoolReach reach = reachOf(*entry.pool, now);
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
  if (!refused) entry.recordDelivery(Delivery::may_have_run);
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
  entry.recordDelivery(Delivery::may_have_run);
  reportMoved(entry, active, active.status, RepeatDecision::not_allowed, now);
  giveUp(entry, now);
}

/// Back ends that are out of reach get no requests while other gateways can serve them, so probes tell when
/// they are in reach again. They also tell the reach of back ends that have not been tried lately.
void Gateway::probeReach(const Pool& pool, TimePoint now) {
  if (pool.health_path.empty() || now < reach_probes_[pool.name].sent_at + kReachProbeInterval) return;
  sendReachProbes(pool.name, pool.health_path, kReachProbes, now);
}

/// @param count of the probes at most.
void Gateway::sendReachProbes(const std::string& pool, const std::string& path, std::size_t count,
                              TimePoint now) {
  std::vector<const Backend*> targets = snapshot_->listedInPool(pool);
  std::erase_if(targets, [&](const Backend* backend) {
    return table_.reach().of(backend->view.slot, now) == Reach::in_reach ||
           notices_.pausedFor(backend->view.incarnation, now) > Duration(0);
  });
  if (targets.empty()) return;
  ReachProbes& probes = reach_probes_[pool];
  probes.sent_at = now;
  for (std::size_t index = 0; index < std::min(count, targets.size()); ++index) {
    const EngineView& target = targets[probes.sent++ % targets.size()]->view;
    const std::uint64_t id = next_probe_++;
    pending_reach_probes_[id] = {pool, target.slot, target.incarnation};
    actions_.emplace_back(ProbeBackend{id, target.address, path});
  }
}

/// Back ends get out of reach together, and come back together: a response has the others probed at once.
/// @return whether the probe was one of sendReachProbes().
bool Gateway::onReachProbeResult(std::uint64_t probe, bool responded, TimePoint now) {
  const auto found = pending_reach_probes_.find(probe);
  if (found == pending_reach_probes_.end()) return false;
  const ReachProbe sent = std::move(found->second);
  pending_reach_probes_.erase(found);
  const Backend* backend = snapshot_->backend(sent.slot);
  if (backend == nullptr || backend->view.incarnation != sent.incarnation) return true;
  BackendReach& reach = table_.reach();
  const bool was_out_of_reach = reach.of(sent.slot, now) == Reach::out_of_reach;
  if (!responded) {
    if (!was_out_of_reach) reach.onFailed(sent.slot, sent.incarnation, now);
    return true;
  }
  reach.onReceived(sent.slot, now);
  const Pool* pool =
      snapshot_->configuration == nullptr ? nullptr : snapshot_->configuration->findPool(sent.pool);
  if (was_out_of_reach && pool != nullptr)
    sendReachProbes(sent.pool, pool->health_path, kReachProbesAfterResponse, now);
  serveQueue(now);
  return true;
}

}  // namespace crankspur::gateway
