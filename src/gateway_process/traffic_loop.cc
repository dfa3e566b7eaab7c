#include "gateway_process/traffic_loop.h"

#include <algorithm>
#include <utility>

#include "base/timer.h"
#include "gateway_process/own_response.h"

namespace crankspur::gateway {
namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxClientConnections = 2500;
/// This gateway's load on the engines is sent at an interval that grows with the number of gateways that
/// receive it.
constexpr Duration kDigestIntervalPerGateway = std::chrono::milliseconds(6);
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(40);
/// Messages about the builds that began streams are batched for this long. A client may wait for an answer.
constexpr Duration kStreamOriginsDelay = std::chrono::milliseconds(3);
constexpr Duration kMaxDigestInterval = std::chrono::milliseconds(250);

std::string hostOf(const http::Request& request) {
  const std::string host = request.header("Host");
  return host.substr(0, host.rfind(':'));
}

}  // namespace

TrafficLoop::TrafficLoop(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                         TrafficCallbacks callbacks, RequestObserver& observer,
                         boost::asio::any_io_executor executor)
    : settings_(settings),
      dialect_(std::move(dialect)),
      callbacks_(std::move(callbacks)),
      executor_(std::move(executor)),
      budget_(settings.budget),
      gateway_(settings.decisions, settings.random_seed, observer),
      http_(http::makeClient(executor_, budget_)),
      timer_(executor_),
      drain_timer_(executor_),
      load_digest_timer_(executor_),
      crash_timer_(executor_),
      stream_origins_timer_(executor_),
      meter_timer_(executor_) {
  http_->setSilentConnectionsHandler([this] {
    gateway_.onConnectionsSilent(now());
    executeActions();
  });
}

std::error_code TrafficLoop::listen() {
  std::error_code error;
  http::ServerLimits limits;
  limits.connections = kMaxClientConnections;
  limits.budget = budget_;
  const auto handler = [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
    onRequest(std::move(request), std::move(writer));
  };
  server_ = http::listen(executor_, settings_.listen_address, handler, error, limits);
  if (!server_) return error;
  server_->setRejectedRequestHandler(
      [this](const http::RejectedRequest& unread) { onUnreadableRequest(unread); });
  server_->setBodyUseHandler([this](const http::Request& head) { return bodyUse(head); });
  server_->setMemoryPressureHandler([this](const http::MemoryPressure& pressure) {
    if (callbacks_.on_memory_pressure) callbacks_.on_memory_pressure(pressure);
  });
  return error;
}

GatewayCounters TrafficLoop::counters() const {
  const std::lock_guard lock(counters_mutex_);
  return counters_;
}

TrafficLoop::Client* TrafficLoop::findClient(ClientId client) {
  const auto found = clients_.find(client);
  return found == clients_.end() ? nullptr : &found->second;
}

// Updates from the control side.

void TrafficLoop::onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot) {
  if (snapshot->configuration != nullptr && snapshot->configuration != configuration_) {
    configuration_ = snapshot->configuration;
    http::ServerLimits limits;
    limits.connections = kMaxClientConnections;
    limits.budget = budget_;
    limits.header_bytes = configuration_->limits.header_bytes;
    limits.body_bytes = configuration_->limits.body_bytes;
    limits.header_timeout = configuration_->limits.header_timeout;
    limits.idle_timeout = configuration_->limits.idle_timeout;
    server_->setLimits(limits);
  }
  gateway_.onSnapshot(std::move(snapshot), now());
  executeActions();
}

void TrafficLoop::onCachedParts(const CachedPartsUpdate& update) {
  gateway_.onCachedParts(update, now());
}

void TrafficLoop::onPeerLoad(const std::vector<LoadDigest>& digests) {
  for (const LoadDigest& digest : digests) gateway_.onPeerLoad(digest.sender, digest, now());
  scheduleLoadDigest();
}

void TrafficLoop::onCrashUpdate(const CrashUpdate& update) {
  gateway_.onCrashUpdate(update, now());
  scheduleCrashUpdate();
}

void TrafficLoop::onStreamOrigins(const std::string& sender, const StreamOrigins& message) {
  gateway_.onStreamOrigins(sender, message, now());
  executeActions();
}

void TrafficLoop::onBuildsConfirmed(const ConfirmedBuilds& confirmed) {
  gateway_.onBuildsConfirmed(confirmed, now());
  executeActions();
}

void TrafficLoop::onConnectionsSilent() {
  http_->closeStaleConnections("");
  gateway_.onTimer(now());  // Timers fire late after the machine was suspended.
  gateway_.onConnectionsSilent(now());
  executeActions();
}

void TrafficLoop::scheduleLoadDigest() {
  const bool has_update = !exchanges_.empty() || sent_load_ || gateway_.hasBackendLimits();
  if (!callbacks_.on_own_load_digest || !has_update || std::exchange(load_digest_scheduled_, true)) return;
  const Duration interval = kDigestIntervalPerGateway * (gateway_.peerCount() + 1);
  load_digest_timer_.expires_after(std::clamp(interval, kMinDigestInterval, kMaxDigestInterval));
  load_digest_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) sendLoadDigest();
  });
}

void TrafficLoop::scheduleCrashUpdate() {
  if (!callbacks_.on_crash_update || !gateway_.hasCrashUpdate() ||
      std::exchange(crash_update_scheduled_, true))
    return;
  crash_timer_.expires_after(kCrashUpdateDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crash_update_scheduled_ = false;
    callbacks_.on_crash_update(gateway_.takeCrashUpdate());
  });
}

void TrafficLoop::scheduleStreamOrigins() {
  if (!callbacks_.on_stream_origins || !gateway_.hasStreamOrigins() ||
      std::exchange(stream_origins_scheduled_, true))
    return;
  stream_origins_timer_.expires_after(kStreamOriginsDelay);
  stream_origins_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    stream_origins_scheduled_ = false;
    callbacks_.on_stream_origins(gateway_.takeStreamOrigins());
  });
}

/// Once this gateway has no load on any engine left, one empty digest reports that; then digests stop until
/// there is load again.
void TrafficLoop::sendLoadDigest() {
  load_digest_scheduled_ = false;
  LoadDigest digest = gateway_.ownLoadDigest(now());
  sent_load_ = !digest.isEmpty();
  callbacks_.on_own_load_digest(std::move(digest));
  scheduleLoadDigest();
}

void TrafficLoop::recordRequest() {
  meter_.onRequest();
  if (callbacks_.on_own_load && !std::exchange(meter_active_, true)) onMeterTick(now());
}

/// Ticks continue until no request has arrived for some time; the last tick reports that there is no load.
void TrafficLoop::onMeterTick(TimePoint due) {
  meter_.onTick(due, now());
  callbacks_.on_own_load(meter_.load());
  meter_active_ = !meter_.idle();
  if (!meter_active_) return;
  const TimePoint next = now() + LoadMeter::kTick;
  expireAt(meter_timer_, next, now());
  meter_timer_.async_wait([this, next](boost::system::error_code error) {
    if (!error) onMeterTick(next);
  });
}

void TrafficLoop::drain(const DrainTimes& times) {
  server_->disableKeepAlive();
  gateway_.onDrain(times, now());
  executeActions();
  pollDrain();
}

/// Polls, because the server does not notify of changes in the number of requests that are being read, and
/// they become too late as time passes.
void TrafficLoop::pollDrain() {
  server_->rejectIncomplete(
      stoppingResponse(gateway_.retryAfterStop(now())),
      [this](const http::Request& head) { return gateway_.isTooLate(readHead(head), now()); });
  countInFlight();
  drain_timer_.expires_after(kDrainPollInterval);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) pollDrain();
  });
}

void TrafficLoop::endRequests() {
  gateway_.onDrain({}, now());  // Nothing starts any more.
  gateway_.recallUnsent();
  executeActions();
  gateway_.endRequests(now());
  executeActions();
  server_->rejectIncomplete(stoppingResponse(gateway_.retryAfterStop(now())), nullptr);
  countInFlight();
}

void TrafficLoop::countInFlight() {
  in_flight_ = server_->openRequests() + server_->requestsBeingRead();
}

// Clients.

void TrafficLoop::onRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  recordRequest();
  const ClientId id = next_client_++;
  IncomingRequest incoming = readHead(request);
  incoming.from_peer = request.headers.erase(kRelayedByHeader) > 0;
  Client client;
  if (incoming.client) client.request_id = incoming.client->request_id;
  client.request = std::make_shared<const http::Request>(std::move(request));
  incoming.body = client.request->body;
  client.writer = std::move(writer);
  client.writer->onClientDisconnected([this, id] {
    if (clients_.erase(id) == 0) return;
    gateway_.onClientDisconnected(id, now());
    executeActions();
  });
  clients_.emplace(id, std::move(client));
  gateway_.onRequest(id, std::move(incoming), now());
  executeActions();
}

IncomingRequest TrafficLoop::readHead(const http::Request& request) const {
  IncomingRequest incoming;
  incoming.host = hostOf(request);
  incoming.path = request.path();
  incoming.client = dialect_->readRequest(request);
  return incoming;
}

http::BodyUse TrafficLoop::bodyUse(const http::Request& head) const {
  const CheckedRequest checked = gateway_.check(readHead(head), now());
  if (checked.refusal != 0) return http::BodyUse::ignore;
  const bool identified = checked.tenant != nullptr || configuration_->tenants.empty();
  return identified ? http::BodyUse::read : http::BodyUse::read_unidentified;
}

void TrafficLoop::onUnreadableRequest(const http::RejectedRequest& unread) {
  const std::optional<ClientRequest> client = dialect_->readRequest(unread.head);
  gateway_.onUnreadableRequest(client ? client->request_id : std::string(), unread.status, unread.reason,
                               now());
}

void TrafficLoop::executeActions() {
  if (executing_actions_) return;
  executing_actions_ = true;
  while (true) {
    std::vector<GatewayAction> actions = gateway_.takeActions();
    if (actions.empty()) break;
    for (GatewayAction& action : actions) {
      std::visit([this](auto& concrete) { execute(concrete); }, action);
    }
  }
  executing_actions_ = false;
  armTimer();
  scheduleLoadDigest();
  scheduleCrashUpdate();
  scheduleStreamOrigins();
  countInFlight();
  const std::lock_guard lock(counters_mutex_);
  counters_ = gateway_.counters();
}

/// The timer is re-armed only for an earlier time. If it turns out to fire too early, it is armed again then:
/// an extra wake-up costs less than an extra call for each request.
void TrafficLoop::armTimer() {
  const std::optional<TimePoint> next = gateway_.nextTimer();
  if (!next || *next >= timer_at_) return;
  timer_at_ = *next;
  expireAt(timer_, timer_at_, now());
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_at_ = TimePoint::max();
    gateway_.onTimer(now());
    executeActions();
  });
}

// Actions.

void TrafficLoop::execute(const Refuse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  http::Response response = ownResponse(action.status, action.cause, action.retry_after);
  if (action.out_of_reach) response.headers[kOutOfReachHeader] = "1";
  writer->respond(std::move(response));
}

void TrafficLoop::execute(const ReportUnreachable& action) {
  if (callbacks_.on_unreachable) callbacks_.on_unreachable(action.slot, action.incarnation);
}

void TrafficLoop::execute(const ReportWrongBackend& action) {
  if (callbacks_.on_wrong_backend)
    callbacks_.on_wrong_backend(action.slot, action.incarnation, action.weights_version);
}

void TrafficLoop::execute(const ConfirmBuilds& action) {
  if (callbacks_.on_confirm_builds) return callbacks_.on_confirm_builds(action.number);
  gateway_.onBuildsConfirmed({action.number, false, {}}, now());
}

}  // namespace crankspur::gateway
