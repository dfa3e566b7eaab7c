/// @file Member functions of Gateway that keep a stream to the build that began it (stream_origins.h).

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// Other gateways answer within milliseconds. One that was killed does not answer.
constexpr Duration kOriginQueryTime = std::chrono::milliseconds(150);

/// @return the attempt that a client names when it takes the stream of this request up.
const std::string& originAttempt(const ClientRequest& client) {
  return client.resumed_attempt.empty() ? client.request_id : client.resumed_attempt;
}

}  // namespace

/// @return whether the request may be placed now; otherwise other gateways were asked, or it was refused.
bool Gateway::resolveOrigin(Entry& entry, TimePoint now) {
  if (!entry.client.resume_after || !entry.cursor) return true;
  const StreamOrigin origin = origins_.lookUp(entry.client.resumed_attempt, entry.pool->name, now);
  reportOrigin(entry, origin, now);
  if (origin.state != StreamOrigin::State::asked) return applyOrigin(entry, origin, now);
  awaiting_origin_.insert(entry.id);
  scheduleTimer(entry, std::min(entry.deadline, now + kOriginQueryTime));
  return false;
}

/// @return false: the request was refused.
bool Gateway::applyOrigin(Entry& entry, const StreamOrigin& origin, TimePoint now) {
  if (origin.state == StreamOrigin::State::unknown) {
    giveUpFor(entry, RequestCause::origin_unknown, now);
    return false;
  }
  if (origin.state == StreamOrigin::State::known) entry.origin = origin.build;
  if (origin.state == StreamOrigin::State::any_build && origin.build != 0) entry.sole_build = origin.build;
  return true;
}

/// The other gateways answered, or the time for it is over.
void Gateway::onOriginDecided(Entry& entry, TimePoint now) {
  awaiting_origin_.erase(entry.id);
  const StreamOrigin origin = origins_.decide(entry.client.resumed_attempt, entry.pool->name, now);
  reportOrigin(entry, origin, now);
  if (applyOrigin(entry, origin, now)) place(entry, now);
}

void Gateway::onStreamOrigins(const std::string& sender, const StreamOrigins& message, TimePoint now) {
  if (!origins_.onMessage(sender, message, now)) return;
  const std::vector<ClientId> waiting(awaiting_origin_.begin(), awaiting_origin_.end());
  for (const ClientId client : waiting) {
    Entry* entry = findClient(client);
    if (entry != nullptr && origins_.isAnswered(entry->client.resumed_attempt)) onOriginDecided(*entry, now);
  }
}

/// To be called when bytes of a resumable stream were forwarded.
void Gateway::recordOrigin(Entry& entry, TimePoint now) {
  if (entry.origin || !entry.cursor->hasForwardedEvent()) return;
  entry.origin = entry.active.build;
  origins_.onBegun(originAttempt(entry.client), entry.pool->name, entry.active.build, now);
}

/// To be called when the response of a stream was complete.
void Gateway::forgetOrigin(const Entry& entry) {
  if (entry.origin) origins_.onCompleted(originAttempt(entry.client));
}

/// @return whether a back end that the route allows, and that has not failed the request, can continue the
/// stream. While no other build than the sole one is listed, its back ends may return.
bool Gateway::isOriginServed(const Entry& entry) const {
  const std::optional<std::uint64_t> build = entry.origin ? entry.origin : entry.sole_build;
  if (!build) return true;
  bool can_continue = false;
  bool other_listed = false;
  for (const PoolShare& share : entry.route->pools) {
    for (const Backend* backend : snapshot_->listedInPool(share.pool)) {
      const bool failed = std::count(entry.failed.begin(), entry.failed.end(), backend->view.slot) > 0;
      const bool is_build = buildId(backend->build) == *build;
      can_continue |= is_build && !failed;
      other_listed |= !is_build;
    }
  }
  return can_continue || (!entry.origin && !other_listed);
}

}  // namespace crankspur::gateway
