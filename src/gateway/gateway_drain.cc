/// @file Member functions of Gateway for the graceful stop of its process.

#include <algorithm>

#include "gateway/gateway.h"

namespace crankspur::gateway {
namespace {

/// The requests in progress are looked through at this interval while the process stops.
constexpr Duration kRunningRefreshInterval = std::chrono::milliseconds(50);
/// Another gateway can take a refused request at once.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds(100);
/// Without other gateways, the client has to wait until the process has been replaced.
constexpr Duration kReplacementTime = std::chrono::seconds(1);

}  // namespace

void Gateway::onDrain(const DrainTimes& times, TimePoint now) {
  drain_.begin(times, now);
  serveQueue(now);
}

/// @return whether the process stops and a request of the route would probably be cut.
bool Gateway::isTooLate(const Route& route, TimePoint deadline, TimePoint now) {
  return drain_.isDraining() && !drain_.mayStart(drainingRequest(route, deadline, now), now);
}

/// A request in progress shows that others of its route may run as long.
DrainingRequest Gateway::drainingRequest(const Route& route, TimePoint deadline, TimePoint now) {
  DrainingRequest request;
  request.deadline = deadline;
  request.at_most_once = route.repeatability == Repeatability::AtMostOnce;
  request.typical_run = run_times_.typical(route.name, now);
  request.longest_run = run_times_.longest(route.name, now);
  request.known_runs = run_times_.known(route.name, now);
  refreshRunning(now);
  const auto running = longest_running_.find(route.name);
  if (running == longest_running_.end()) return request;
  request.longest_run = std::max(request.longest_run.value_or(Duration(0)), running->second);
  return request;
}

void Gateway::refreshRunning(TimePoint now) {
  if (now < running_refreshed_at_ + kRunningRefreshInterval) return;
  running_refreshed_at_ = now;
  longest_running_.clear();
  for (const auto& [exchange, client] : exchanges_) {
    const Entry* entry = findClient(client);
    if (entry == nullptr) continue;
    Duration& longest = longest_running_[entry->route->name];
    longest = std::max(longest, now - entry->active.sent_at);
  }
}

bool Gateway::isTooLate(const IncomingRequest& request, TimePoint now) {
  const CheckedRequest checked = check(request, now);
  if (checked.refusal != 0) return false;
  return isTooLate(*checked.route, deadlineOf(*checked.route, *request.client, now), now);
}

Duration Gateway::retryAfterStop(TimePoint now) {
  const Duration mean = peerCount() > 0 ? kRetryElsewhere : drain_.endsAt() - now + kReplacementTime;
  return Duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + random_.unit())));
}

void Gateway::recallUnsent() {
  for (const auto& [exchange, client] : exchanges_) {
    Entry* entry = findClient(client);
    if (entry != nullptr && entry->active.exchange == exchange) recall(entry->active);
  }
}

/// Streams end between events, so that their clients can resume them elsewhere.
void Gateway::endRequests(TimePoint now) {
  std::vector<ClientId> clients;
  for (const auto& [client, entry] : entries_) clients.push_back(client);
  std::sort(clients.begin(), clients.end());  // A seed has to replay the actions.
  for (const ClientId client : clients) {
    Entry* entry = findClient(client);
    if (entry == nullptr) continue;
    if (entry->active.exchange != 0) entry->recordDelivery(Delivery::may_have_run);
    giveUpFor(*entry, RequestCause::stopping, now);
  }
}

}  // namespace crankspur::gateway
