/// @file Part of GatewayControl: publishes snapshots of its state to the traffic thread, and logs what
/// changed in the state of the back ends.

#include <algorithm>
#include <utility>

#include "base/timer.h"
#include "gateway_control/gateway_control.h"
#include "router/engine_table.h"

namespace crankspur::gateway {
namespace {

/// Changes within the publish delay are published together. A publication copies the list of back ends, so
/// the delay grows with its length.
constexpr Duration kMinPublishDelay = std::chrono::milliseconds(5);
constexpr Duration kPublishDelayPerBackend = std::chrono::microseconds(300);
/// Maximum interval between two publications; picks up state that changes with time alone.
constexpr Duration kMaxPublishInterval = std::chrono::seconds(5);
constexpr Duration kPublishIntervalAtStart = std::chrono::milliseconds(100);

}  // namespace

void GatewayControl::schedulePublish() {
  if (std::exchange(publish_scheduled_, true)) return;
  const Duration wanted = kPublishDelayPerBackend * static_cast<Duration::rep>(backends_.size());
  publish_timer_.expires_after(std::max(kMinPublishDelay, wanted));
  publish_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) publish();
  });
}

void GatewayControl::publish() {
  publish_scheduled_ = false;
  backends_ = fleet_.backends(now());
  logFleetChanges();
  if (std::exchange(keys_current_, keysCurrent()) != keysCurrent()) {
    log_.write(EventId::GatewayKeysOutdated,
               {{"current", keys_current_},
                {"age_ms", (now() - contact_.confirmedAt()) / std::chrono::milliseconds(1)}});
  }
  auto snapshot = std::make_shared<GatewaySnapshot>();
  // Without a configuration nothing is served. It is withheld until its age is known, and the records of
  // quarantined requests and of builds, since the first request to arrive may be such a request, or resume a
  // stream.
  if (contact_.isConfirmed() && recordsReady()) snapshot->configuration = configuration_;
  snapshot->backends = backends_;
  snapshot->weights = orders_.named();
  snapshot->own_name = gossip_.ownName();
  snapshot->own_zone = settings_.zone;
  snapshot->own_region = settings_.region;
  assignShares(*snapshot);
  snapshot->peers = peerGateways();
  snapshot->contact = contact_.current();
  snapshot->list_contact = list_contact_.current();
  snapshot->key_validity = settings_.key_validity;
  snapshot->builds_before = build_record_.before();
  snapshot->builds_before_known = build_record_.isKnown();
  outputs_.publish(std::move(snapshot));
  updateCacheWatch();
  orders_.wake();
  build_record_.onListed(backends_, otherMembers().size(), now());
  callBuildRecord();
  armPublishTimer();
}

bool GatewayControl::recordsReady() const {
  return crashes_.isReady(now()) && build_record_.isReady(now()) && origin_record_.isReady(now());
}

void GatewayControl::armPublishTimer() {
  TimePoint next = std::min(now() + (fleet_stable_ ? kMaxPublishInterval : kPublishIntervalAtStart),
                            fleet_.nextChange(now()));
  if (!recordsReady()) next = std::min(next, now() + kPublishIntervalAtStart);
  if (settings_.key_validity && keys_current_) {
    next = std::min(next, contact_.confirmedAt() + *settings_.key_validity);
  }
  expireAt(change_timer_, next, now());
  change_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) publish();
  });
}

void GatewayControl::logFleetChanges() {
  for (const FleetChange& change : fleet_.takeChanges()) {
    log_.write(EventId::BackendStateChanged,
               {{"backend", change.id},
                {"pool", change.pool},
                {"from", engineStateName(change.previous)},
                {"to", engineStateName(change.state)},
                {"cause", change.cause},
                {"source", nameOf(change.source)},
                {"kept_ms", change.kept / std::chrono::milliseconds(1)},
                {"list_age_ms", (now() - list_contact_.confirmedAt()) / std::chrono::milliseconds(1)}});
  }
  for (const WeightsChange& change : fleet_.takeWeightsChanges()) {
    log_.write(EventId::BackendWeightsChanged, {{"backend", change.id},
                                                {"model", change.model},
                                                {"from", change.previous},
                                                {"to", change.version},
                                                {"source", nameOf(change.source)}});
  }
}

}  // namespace crankspur::gateway
