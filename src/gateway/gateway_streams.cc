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

/// @return whether the request may be placed now; otherwise it waits until its origin can be decided.
bool Gateway::resolveOrigin(Entry& entry, TimePoint now) {
  if (!entry.client.resume_after || !entry.cursor) return true;
  const StreamOrigin origin = origins_.lookUp(entry.client.resumed_attempt, entry.origin_pools, now);
  reportOrigin(entry, origin, now);
  const bool is_known = origin.state == StreamOrigin::State::known;
  if (is_known && isBuildServed(entry, origin.build, false)) return applyOrigin(entry, origin, now);
  awaitOrigin(entry, now);
  return false;
}

void Gateway::awaitOrigin(Entry& entry, TimePoint now) {
  awaiting_origin_[entry.id] = {confirmations_.next(), now + kOriginQueryTime, now + kBuildReadTime};
  checkAwaitedOrigin(entry, now);
}

/// To be called while requests wait for the next read.
void Gateway::confirmBuilds(TimePoint now) {
  const std::optional<std::uint64_t> number = confirmations_.request(peerCount(), now);
  if (number) actions_.emplace_back(ConfirmBuilds{*number});
}

void Gateway::onBuildsConfirmed(const ConfirmedBuilds& confirmed, TimePoint now) {
  confirmations_.onResponse(confirmed);
  if (confirmed.responded) origins_.onConfirmed(confirmed.builds, now);
  decideAwaitedOrigins(now);
}

void Gateway::onStreamOrigins(const std::string& sender, const StreamOrigins& message, TimePoint now) {
  if (origins_.onMessage(sender, message, now)) decideAwaitedOrigins(now);
}

void Gateway::decideAwaitedOrigins(TimePoint now) {
  std::vector<ClientId> waiting;
  for (const auto& [client, awaited] : awaiting_origin_) waiting.push_back(client);
  for (const ClientId client : waiting) {
    Entry* entry = findClient(client);
    if (entry != nullptr) checkAwaitedOrigin(*entry, now);
  }
}

/// Decides if nothing more is awaited; otherwise requests what is.
void Gateway::checkAwaitedOrigin(Entry& entry, TimePoint now) {
  if (isOriginDecidable(entry, now)) return onOriginDecided(entry, now);
  const AwaitedOrigin& awaited = awaiting_origin_.at(entry.id);
  TimePoint next = now < awaited.answers_until ? awaited.answers_until : awaited.until;
  const bool is_requested = awaited.confirmation < confirmations_.next();
  if (!is_requested && needsConfirmation(entry, now)) {
    confirmBuilds(now);
    next = std::min(next, confirmations_.nextRequest(peerCount()));
  }
  scheduleTimer(entry, std::min(entry.deadline, next));
}

bool Gateway::isOriginDecidable(const Entry& entry, TimePoint now) const {
  const AwaitedOrigin& awaited = awaiting_origin_.at(entry.id);
  const std::string& attempt = entry.client.resumed_attempt;
  const bool is_read = confirmations_.stateOf(awaited.confirmation) != BuildConfirmations::State::pending;
  const bool is_confirmation_over = is_read || now >= awaited.until || !needsConfirmation(entry, now);
  const bool is_answered = origins_.isAnswered(attempt) || now >= awaited.answers_until;
  return is_answered && is_confirmation_over;
}

/// @return whether the platform may state something else than what is seen here. Where several builds are
/// seen, an unknown stream cannot go on in any case.
bool Gateway::needsConfirmation(const Entry& entry, TimePoint now) const {
  const std::optional<std::uint64_t> build = origins_.knownBuild(entry.client.resumed_attempt);
  if (build) return !isBuildServed(entry, *build, false);
  return !origins_.hasSeveralBuilds(entry.origin_pools, now);
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

void Gateway::onOriginDecided(Entry& entry, TimePoint now) {
  const std::uint64_t confirmation = awaiting_origin_.at(entry.id).confirmation;
  awaiting_origin_.erase(entry.id);
  entry.list_confirmed = confirmations_.stateOf(confirmation) == BuildConfirmations::State::confirmed;
  const StreamOrigin origin =
      origins_.decide(entry.client.resumed_attempt, entry.origin_pools, entry.list_confirmed, now);
  reportOrigin(entry, origin, now);
  if (applyOrigin(entry, origin, now)) place(entry, now);
}

/// To be called when bytes of a resumable stream were forwarded.
void Gateway::recordOrigin(Entry& entry, TimePoint now) {
  if (entry.origin || !entry.cursor->hasForwardedEvent()) return;
  entry.origin = entry.active.build;
  origins_.onBegun(originAttempt(entry.client), poolIdsOf(*entry.route), entry.active.build, now);
}

/// To be called when the response of a stream was complete.
void Gateway::forgetOrigin(const Entry& entry) {
  if (entry.origin) origins_.onCompleted(originAttempt(entry.client));
}

/// @param may_return whether back ends of the build may return while no other build is listed.
/// @return whether a back end that the route allows, and that has not failed the request, can continue the
/// stream.
bool Gateway::isBuildServed(const Entry& entry, std::uint64_t build, bool may_return) const {
  bool can_continue = false;
  bool other_listed = false;
  for (const PoolShare& share : entry.route->pools) {
    for (const Backend* backend : snapshot_->listedInPool(share.pool)) {
      const bool failed = std::count(entry.failed.begin(), entry.failed.end(), backend->view.slot) > 0;
      const bool is_build = buildId(backend->build) == build;
      can_continue |= is_build && !failed;
      other_listed |= !is_build;
    }
  }
  return can_continue || (may_return && !other_listed);
}

bool Gateway::isOriginServed(const Entry& entry) const {
  const std::optional<std::uint64_t> build = entry.origin ? entry.origin : entry.sole_build;
  return !build || isBuildServed(entry, *build, !entry.origin);
}

/// @return why no back end may continue the stream. An outdated list does not show that its build has left.
RequestCause Gateway::causeOfUnserved(const Entry& entry) {
  const bool may_be_outdated = entry.client.resume_after && !entry.list_confirmed;
  return may_be_outdated ? RequestCause::build_not_listed : RequestCause::build_gone;
}

}  // namespace crankspur::gateway
