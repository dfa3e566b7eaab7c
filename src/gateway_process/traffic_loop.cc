#include "gateway_process/traffic_loop.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/timer.h"

namespace crankspur::gateway {
namespace {

/// A body that is kept until it is complete; a larger one is passed on as it comes.
constexpr std::size_t kKeptBodyBytes = std::size_t{256} * 1024;
/// Bytes waiting for a client that does not read, beyond which it is given up.
constexpr std::size_t kQueuedBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// Time after a back end's deadline until its exchange ends in any case.
constexpr Duration kExchangeSlack = std::chrono::seconds(2);
/// A back end that lives answers a probe in some milliseconds.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kDrainLook = std::chrono::milliseconds(100);
constexpr std::size_t kClientConnections = 2500;
/// What this gateway has at the engines is told in steps that grow with the gateways that hear it.
constexpr Duration kWorkStepPerGateway = std::chrono::milliseconds(6);
constexpr Duration kLeastWorkStep = std::chrono::milliseconds(40);
constexpr Duration kLongestWorkStep = std::chrono::milliseconds(250);

/// @return what the caller is told, besides the status.
std::string_view describe(int status, RequestCause cause) {
  if (status == 503 && cause == RequestCause::quarantined) {
    return "back ends have crashed under this request: it is not run for some time";
  }
  switch (status) {
    case 400:
      return "the request is malformed";
    case 401:
      return "the key is unknown";
    case 404:
      return "no route serves the path";
    case 503:
      return "no place for the request";
    default:
      return "no whole answer came from a back end";
  }
}

ErrorCode codeOf(int status) {
  switch (status) {
    case 400:
    case 404:
      return ErrorCode::InvalidRequest;
    case 401:
      return ErrorCode::Unauthorized;
    case 503:
      return ErrorCode::Overloaded;
    case 504:
      return ErrorCode::DeadlineExceeded;
    default:
      return ErrorCode::Internal;
  }
}

bool isPossiblyRun(int status) {
  return status == 502 || status == 504;
}

std::string hostOf(const http::Request& request) {
  const std::string host = request.header("Host");
  return host.substr(0, host.rfind(':'));
}

}  // namespace

TrafficLoop::TrafficLoop(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                         GatewayFacts facts, RequestObserver& observer, boost::asio::any_io_executor executor)
    : settings_(settings),
      dialect_(std::move(dialect)),
      facts_(std::move(facts)),
      executor_(std::move(executor)),
      gateway_(settings.decisions, settings.random_seed, observer),
      http_(http::makeClient(executor_)),
      timer_(executor_),
      drain_timer_(executor_),
      work_timer_(executor_),
      crash_timer_(executor_),
      meter_timer_(executor_) {
  http_->setSilentConnectionsHandler([this] {
    gateway_.onConnectionsSilent(now());
    pump();
  });
}

std::error_code TrafficLoop::listen() {
  std::error_code error;
  http::ServerLimits limits;
  limits.connections = kClientConnections;
  const auto handler = [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
    onRequest(std::move(request), std::move(writer));
  };
  server_ = http::listen(executor_, settings_.listen_address, handler, error, limits);
  if (server_)
    server_->setRejectedRequestHandler(
        [this](const http::RejectedRequest& unread) { onUnreadableRequest(unread); });
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

// What comes from the control side.

void TrafficLoop::onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot) {
  if (snapshot->configuration != nullptr && snapshot->configuration != configuration_) {
    configuration_ = snapshot->configuration;
    http::ServerLimits limits;
    limits.connections = kClientConnections;
    limits.header_bytes = configuration_->limits.header_bytes;
    limits.body_bytes = configuration_->limits.body_bytes;
    limits.header_timeout = configuration_->limits.header_timeout;
    limits.idle_timeout = configuration_->limits.idle_timeout;
    server_->setLimits(limits);
  }
  gateway_.onSnapshot(std::move(snapshot), now());
  pump();
}

void TrafficLoop::onCachedParts(const CachedPartsUpdate& news) {
  gateway_.onCachedParts(news, now());
}

void TrafficLoop::onPeerLoad(const std::vector<LoadDigest>& digests) {
  for (const LoadDigest& digest : digests) gateway_.onPeerLoad(digest.sender, digest, now());
}

void TrafficLoop::onConnectionsSilent() {
  http_->closeStaleConnections("");
  gateway_.onTimer(now());  // After a suspension timers fire late.
  gateway_.onConnectionsSilent(now());
  pump();
}

void TrafficLoop::tellWorkSoon() {
  const bool news = !running_.empty() || told_work_;
  if (!facts_.on_own_work || !news || std::exchange(work_waiting_, true)) return;
  const Duration wanted = kWorkStepPerGateway * (gateway_.peerCount() + 1);
  work_timer_.expires_after(std::clamp(wanted, kLeastWorkStep, kLongestWorkStep));
  work_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tellWork();
  });
}

void TrafficLoop::tellCrashesSoon() {
  if (!facts_.on_crash_update || !gateway_.hasCrashUpdate() || std::exchange(crashes_waiting_, true)) return;
  crash_timer_.expires_after(kCrashUpdateDelay);
  crash_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    crashes_waiting_ = false;
    facts_.on_crash_update(gateway_.takeCrashUpdate());
  });
}

/// The last digest before a pause is empty: nothing of this gateway's is left at any engine.
void TrafficLoop::tellWork() {
  work_waiting_ = false;
  LoadDigest digest = gateway_.ownLoadDigest();
  told_work_ = !digest.loads.empty();
  facts_.on_own_work(std::move(digest));
  tellWorkSoon();
}

void TrafficLoop::meterRequest() {
  meter_.onRequest();
  if (facts_.on_own_load && !std::exchange(metering_, true)) meterTick(now());
}

/// Ticks go on until requests have stayed out for a while; the last one tells that there is no load.
void TrafficLoop::meterTick(TimePoint due) {
  meter_.onTick(due, now());
  facts_.on_own_load(meter_.load());
  metering_ = !meter_.idle();
  if (!metering_) return;
  const TimePoint next = now() + LoadMeter::kTick;
  expireAt(meter_timer_, next, now());
  meter_timer_.async_wait([this, next](boost::system::error_code error) {
    if (!error) meterTick(next);
  });
}

void TrafficLoop::drain() {
  server_->disableKeepAlive();
  countInFlight();
  watchDrain();
}

/// Requests that are being read change without a call from the server.
void TrafficLoop::watchDrain() {
  drain_timer_.expires_after(kDrainLook);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    countInFlight();
    watchDrain();
  });
}

void TrafficLoop::countInFlight() {
  in_flight_ = server_->openRequests() + server_->requestsBeingRead();
}

// Clients.

void TrafficLoop::onRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  meterRequest();
  const ClientId id = next_client_++;
  IncomingRequest incoming;
  incoming.host = hostOf(request);
  incoming.path = request.path();
  incoming.client = dialect_->readRequest(request);
  Client client;
  if (incoming.client) client.request_id = incoming.client->request_id;
  client.request = std::make_shared<const http::Request>(std::move(request));
  incoming.body = client.request->body;
  client.writer = std::move(writer);
  client.writer->onClientGone([this, id] {
    if (clients_.erase(id) == 0) return;
    gateway_.onClientGone(id, now());
    pump();
  });
  clients_.emplace(id, std::move(client));
  gateway_.onRequest(id, std::move(incoming), now());
  pump();
}

void TrafficLoop::onUnreadableRequest(const http::RejectedRequest& unread) {
  const std::optional<ClientRequest> client = dialect_->readRequest(unread.head);
  gateway_.onUnreadableRequest(client ? client->request_id : std::string(), unread.status, now());
}

void TrafficLoop::pump() {
  if (pumping_) return;
  pumping_ = true;
  while (true) {
    std::vector<GatewayAction> actions = gateway_.takeActions();
    if (actions.empty()) break;
    for (GatewayAction& action : actions) {
      std::visit([this](auto& chosen) { carryOut(chosen); }, action);
    }
  }
  pumping_ = false;
  armTimer();
  tellWorkSoon();
  tellCrashesSoon();
  countInFlight();
  const std::lock_guard lock(counters_mutex_);
  counters_ = gateway_.counters();
}

/// The timer is moved only forward in time when it fires too early: a wake-up too many costs less than one
/// more call for each request.
void TrafficLoop::armTimer() {
  const std::optional<TimePoint> next = gateway_.nextTimer();
  if (!next || *next >= timer_at_) return;
  timer_at_ = *next;
  expireAt(timer_, timer_at_, now());
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_at_ = TimePoint::max();
    gateway_.onTimer(now());
    pump();
  });
}

// Actions.

void TrafficLoop::carryOut(const Refuse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  const std::string_view ran = isPossiblyRun(action.status) ? "unknown" : "not_run";
  http::Response response = http::errorResponse(action.status, errorName(codeOf(action.status)),
                                                describe(action.status, action.cause), ran);
  if (action.retry_after > Duration(0)) {
    response.headers["Retry-After"] = fmt::format("{:.3f}", toSeconds(action.retry_after));
  }
  writer->respond(std::move(response));
}

void TrafficLoop::carryOut(const Dispatch& action) {
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
  Running& running = running_[action.exchange];
  running.client = action.client;
  const auto callbacks = callbacksOf(action.exchange, client->request_id);
  running.exchange = http_->start(action.address, std::move(request), callbacks, options);
}

void TrafficLoop::carryOut(const CancelExchange& action) {
  const auto found = running_.find(action.exchange);
  if (found == running_.end()) return;
  const auto exchange = found->second.exchange;
  running_.erase(found);
  if (action.unanswered) {
    exchange->cancelTimedOut();
  } else {
    exchange->cancel();
  }
}

void TrafficLoop::carryOut(const DiscardResponse& action) {
  running_.erase(action.exchange);
}

void TrafficLoop::carryOut(const ForwardResponse& action) {
  const auto found = running_.find(action.exchange);
  Client* client = findClient(action.client);
  if (found == running_.end() || client == nullptr) return;
  http::Response response;
  response.status = found->second.status;
  response.headers = std::move(found->second.headers);
  response.body = std::move(found->second.body);
  http::removeConnectionHeaders(response.headers);
  running_.erase(found);
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->respond(std::move(response));
}

void TrafficLoop::carryOut(const ForwardHead& action) {
  const auto found = running_.find(action.exchange);
  const Client* client = findClient(action.client);
  if (found == running_.end() || client == nullptr) return;
  http::Headers headers = std::move(found->second.headers);
  http::removeConnectionHeaders(headers);
  client->writer->begin(found->second.status, std::move(headers));
  if (!found->second.body.empty()) client->writer->write(std::exchange(found->second.body, {}));
}

void TrafficLoop::carryOut(ForwardBytes& action) {
  const Client* client = findClient(action.client);
  if (client == nullptr) return;
  client->writer->write(std::move(action.bytes));
  if (client->writer->queuedBytes() <= kQueuedBytes) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->abort();
  gateway_.onClientGone(action.client, now());
}

void TrafficLoop::carryOut(const EndResponse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->end();
}

void TrafficLoop::carryOut(const AbortResponse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->abort();
}

void TrafficLoop::carryOut(const ReportUnreachable& action) {
  if (facts_.on_unreachable) facts_.on_unreachable(action.slot, action.incarnation);
}

void TrafficLoop::carryOut(const ReportWrongBackend& action) {
  if (facts_.on_wrong_backend)
    facts_.on_wrong_backend(action.slot, action.incarnation, action.weights_version);
}

void TrafficLoop::carryOut(const ProbeBackend& action) {
  http::Request request;
  request.method = "GET";
  request.target = action.path;
  http::ExchangeOptions options;
  options.connect_timeout = kProbeTimeout;
  options.idle_timeout = kProbeTimeout;
  http::ExchangeCallbacks callbacks;
  callbacks.on_headers = [this, probe = action.probe](int, const http::Headers&) {
    onProbeResult(probe, true);
  };
  callbacks.on_done = [this, probe = action.probe](std::error_code, http::SendState, const http::Response&) {
    onProbeResult(probe, false);
    probes_.erase(probe);
  };
  probes_[action.probe] = http_->start(action.address, std::move(request), callbacks, options);
}

/// The gateway hears of the first outcome only.
void TrafficLoop::onProbeResult(std::uint64_t probe, bool answered) {
  gateway_.onProbeResult(probe, answered, now());
  pump();
}

// Back ends.

http::ExchangeCallbacks TrafficLoop::callbacksOf(ExchangeId exchange, const std::string& request_id) {
  http::ExchangeCallbacks callbacks;
  callbacks.matches_request = [dialect = dialect_, request_id](int status, const http::Headers& headers) {
    return !dialect->readResponse({status, headers, {}}, request_id).other_request;
  };
  callbacks.on_headers = [this, exchange, request_id](int status, const http::Headers& headers) {
    onHead(exchange, request_id, status, headers);
  };
  callbacks.on_data = [this, exchange](std::string_view bytes) { onData(exchange, bytes); };
  callbacks.on_done = [this, exchange](std::error_code error, http::SendState state, const http::Response&) {
    onDone(exchange, error, state);
  };
  return callbacks;
}

void TrafficLoop::onHead(ExchangeId exchange, const std::string& request_id, int status,
                         const http::Headers& headers) {
  const auto found = running_.find(exchange);
  if (found == running_.end()) return;
  found->second.status = status;
  found->second.headers = headers;
  gateway_.onHead(exchange, status, dialect_->readResponse({status, headers, {}}, request_id), now());
  pump();
}

void TrafficLoop::onData(ExchangeId exchange, std::string_view bytes) {
  const auto found = running_.find(exchange);
  if (found == running_.end()) return;
  if (gateway_.streamsBody(exchange)) {
    gateway_.onBytes(exchange, bytes, now());
    return pump();
  }
  found->second.body += bytes;
  if (found->second.body.size() <= kKeptBodyBytes) return;
  gateway_.onBodyBufferFull(exchange, now());
  pump();
}

void TrafficLoop::onDone(ExchangeId exchange, std::error_code error, http::SendState state) {
  if (!running_.contains(exchange)) return;
  if (error) {
    running_.erase(exchange);
    gateway_.onLost(exchange, state == http::SendState::SentOutcomeUnknown, now());
  } else {
    gateway_.onEnd(exchange, now());
  }
  pump();
  running_.erase(exchange);
}

}  // namespace crankspur::gateway
