#include "gateway_process/traffic_loop.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

#include "base/error.h"
#include "base/timer.h"
#include "gateway_process/own_response.h"

namespace crankspur::gateway {
namespace {

/// A response body up to this size is buffered until it is complete; a larger one is forwarded as it arrives.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{256} * 1024;
/// A response may have this many bytes that are not forwarded yet, whatever the budget.
constexpr std::size_t kSmallResponseBytes = std::size_t{16} * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// A gateway that cannot be reached is one of several, and the client waits.
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(200);
/// Time after a back end's deadline at which its exchange is ended unconditionally.
constexpr Duration kExchangeSlack = std::chrono::seconds(2);
/// A live back end responds to a probe within a few milliseconds.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxClientConnections = 2500;
/// This gateway's load on the engines is sent at an interval that grows with the number of gateways that
/// receive it.
constexpr Duration kDigestIntervalPerGateway = std::chrono::milliseconds(6);
constexpr Duration kMinDigestInterval = std::chrono::milliseconds(40);
/// Messages about the builds that began streams are batched for this long. A client may wait for an answer.
constexpr Duration kStreamOriginsDelay = std::chrono::milliseconds(3);
constexpr Duration kMaxDigestInterval = std::chrono::milliseconds(250);

bool isEventStream(const http::Headers& headers) {
  const auto found = headers.find("Content-Type");
  return found != headers.end() && boost::istarts_with(found->second, "text/event-stream");
}

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

void TrafficLoop::execute(const RelayToPeer& action) {
  const Client* client = findClient(action.client);
  if (client == nullptr) return;
  http::Request request;
  request.method = client->request->method;
  request.target = client->request->target;
  request.headers = dialect_->relayHeaders(*client->request, action.time_left);
  http::removeConnectionHeaders(request.headers);
  request.headers[kRelayedByHeader] = settings_.node_name;
  request.body = client->request->body;
  http::ExchangeOptions options;
  options.connect_timeout = kPeerConnectTimeout;
  options.idle_timeout = action.time_left + kExchangeSlack;
  ActiveExchange& active = exchanges_[action.exchange];
  active.client = action.client;
  active.held = ByteReservation(budget_);
  http::ExchangeCallbacks callbacks = exchangeCallbacks(action.exchange, client->request_id);
  // A gateway responds once to each request, and its own responses state none.
  callbacks.response_owner = [owner_of = std::move(callbacks.response_owner)](int status,
                                                                              const http::Headers& headers) {
    const http::ResponseOwner owner = owner_of(status, headers);
    return owner == http::ResponseOwner::not_stated ? http::ResponseOwner::this_request : owner;
  };
  active.exchange = http_->start(action.address, std::move(request), callbacks, options);
}

void TrafficLoop::execute(const Dispatch& action) {
  const Client* client = findClient(action.client);
  if (client == nullptr) return;
  http::Request request;
  request.method = client->request->method;
  request.target = client->request->target;
  request.headers = dialect_->forwardHeaders(*client->request, action.terms);
  http::removeConnectionHeaders(request.headers);
  request.body = client->request->body;
  http::ExchangeOptions options;
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = action.terms.deadline + kExchangeSlack;
  ActiveExchange& active = exchanges_[action.exchange];
  active.client = action.client;
  active.held = ByteReservation(budget_);
  const auto callbacks = exchangeCallbacks(action.exchange, client->request_id);
  active.exchange = http_->start(action.address, std::move(request), callbacks, options);
}

void TrafficLoop::execute(const CancelExchange& action) {
  const auto found = exchanges_.find(action.exchange);
  if (found == exchanges_.end()) return;
  const auto exchange = found->second.exchange;
  exchanges_.erase(found);
  if (action.timed_out) {
    exchange->cancelTimedOut();
  } else {
    exchange->cancel();
  }
}

void TrafficLoop::execute(const RecallUnsent& action) {
  const auto found = exchanges_.find(action.exchange);
  if (found == exchanges_.end() || !found->second.exchange->cancelIfNotSent()) return;
  exchanges_.erase(found);
  gateway_.onLost(action.exchange, false, now());
}

void TrafficLoop::execute(const DiscardResponse& action) {
  const auto found = exchanges_.find(action.exchange);
  if (found == exchanges_.end()) return;
  found->second.exchange->discard();
  exchanges_.erase(found);
}

void TrafficLoop::execute(const ReportUnreachable& action) {
  if (callbacks_.on_unreachable) callbacks_.on_unreachable(action.slot, action.incarnation);
}

void TrafficLoop::execute(const ReportWrongBackend& action) {
  if (callbacks_.on_wrong_backend)
    callbacks_.on_wrong_backend(action.slot, action.incarnation, action.weights_version);
}

void TrafficLoop::execute(const ProbeBackend& action) {
  http::Request request;
  request.method = "GET";
  request.target = action.path;
  http::ExchangeOptions options;
  options.connect_timeout = kProbeTimeout;
  options.idle_timeout = kProbeTimeout;
  options.own_connection = true;
  http::ExchangeCallbacks callbacks;
  callbacks.on_headers = [this, probe = action.probe](int, const http::Headers&, http::BodyFraming) {
    const auto found = probes_.find(probe);
    if (found != probes_.end()) found->second->discard();
    probes_.erase(probe);
    onProbeResult(probe, ProbeOutcome::responded);
  };
  callbacks.on_done = [this, probe = action.probe](std::error_code error, http::SendState,
                                                   const http::Response&) {
    const bool refused = error == std::errc::connection_refused;
    onProbeResult(probe, refused ? ProbeOutcome::refused : ProbeOutcome::silent);
    probes_.erase(probe);
  };
  probes_[action.probe] = http_->start(action.address, std::move(request), callbacks, options);
}

void TrafficLoop::execute(const ConfirmBuilds& action) {
  if (callbacks_.on_confirm_builds) return callbacks_.on_confirm_builds(action.number);
  gateway_.onBuildsConfirmed({action.number, false, {}}, now());
}

/// The gateway ignores all outcomes of a probe but the first.
void TrafficLoop::onProbeResult(std::uint64_t probe, ProbeOutcome outcome) {
  gateway_.onProbeResult(probe, outcome, now());
  executeActions();
}

// Back ends.

http::ExchangeCallbacks TrafficLoop::exchangeCallbacks(ExchangeId exchange, const std::string& request_id) {
  http::ExchangeCallbacks callbacks;
  callbacks.response_owner = [dialect = dialect_, request_id](int status, const http::Headers& headers) {
    return dialect->readResponse({status, headers, {}}, request_id).owner;
  };
  callbacks.on_headers = [this, exchange, request_id](int status, const http::Headers& headers,
                                                      http::BodyFraming framing) {
    onHead(exchange, request_id, {status, headers, {}}, framing);
  };
  callbacks.on_data = [this, exchange](std::string_view bytes) { onData(exchange, bytes); };
  callbacks.on_done = [this, exchange](std::error_code error, http::SendState state, const http::Response&) {
    onDone(exchange, error, state);
  };
  return callbacks;
}

void TrafficLoop::onHead(ExchangeId exchange, const std::string& request_id, const http::Response& head,
                         http::BodyFraming framing) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  found->second.status = head.status;
  found->second.headers = head.headers;
  found->second.framing = framing;
  BackendResponse response = dialect_->readResponse(head, request_id);
  response.framing = framing;
  response.event_stream = isEventStream(head.headers);
  response.out_of_reach = found->second.headers.erase(kOutOfReachHeader) > 0;
  gateway_.onHead(exchange, head.status, response, now());
  executeActions();
}

void TrafficLoop::onData(ExchangeId exchange, std::string_view bytes) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  if (gateway_.streamsBody(exchange)) {
    gateway_.onBytes(exchange, bytes, now());
    executeActions();
    return holdIncompleteEvent(exchange);
  }
  found->second.body += bytes;
  const std::size_t size = found->second.body.size();
  if (hold(found->second, size) && size <= kMaxBufferedBodyBytes) return;
  gateway_.onBodyBufferFull(exchange, now());
  executeActions();
}

/// Counts what is held of a response. A small part of one is held also when the budget is used up.
/// @return false: the budget has no room for it.
bool TrafficLoop::hold(ActiveExchange& exchange, std::size_t bytes) {
  if (bytes > kSmallResponseBytes && bytes > exchange.held.bytes()) return exchange.held.tryResize(bytes, 1);
  exchange.held.resize(bytes);
  return true;
}

void TrafficLoop::holdIncompleteEvent(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end() || hold(found->second, gateway_.incompleteEventBytes(exchange))) return;
  gateway_.onNoMemory(exchange, now());
  executeActions();
}

void TrafficLoop::onDone(ExchangeId exchange, std::error_code error, http::SendState state) {
  if (!exchanges_.contains(exchange)) return;
  if (error) {
    exchanges_.erase(exchange);
    if (http::isUnreadableResponse(error)) {
      gateway_.onUnreadableResponse(exchange, now());
    } else if (error == ErrorCode::Overloaded) {
      gateway_.onNoMemory(exchange, now());
    } else {
      gateway_.onLost(exchange, state == http::SendState::SentOutcomeUnknown, now());
    }
  } else {
    gateway_.onEnd(exchange, now());
  }
  executeActions();
  exchanges_.erase(exchange);
}

}  // namespace crankspur::gateway
