/// @file Member functions of TrafficLoop that run exchanges with back ends and other gateways.

#include <boost/algorithm/string/predicate.hpp>
#include <utility>

#include "base/error.h"
#include "gateway_process/traffic_loop.h"

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

bool isEventStream(const http::Headers& headers) {
  const auto found = headers.find("Content-Type");
  return found != headers.end() && boost::istarts_with(found->second, "text/event-stream");
}

/// @return the request without its headers.
http::Request unchangedPart(const http::Request& request) {
  http::Request part;
  part.method = request.method;
  part.target = request.target;
  part.body = request.body;
  return part;
}

/// For exchanges with other gateways: a gateway responds once to each request, and the responses that it
/// makes itself state no request.
void acceptOwnResponses(http::ExchangeCallbacks& callbacks) {
  callbacks.response_owner = [owner_of = std::move(callbacks.response_owner)](int status,
                                                                              const http::Headers& headers) {
    const http::ResponseOwner owner = owner_of(status, headers);
    return owner == http::ResponseOwner::not_stated ? http::ResponseOwner::this_request : owner;
  };
}

}  // namespace

void TrafficLoop::execute(const RelayToPeer& action) {
  const Client* client = findClient(action.client);
  if (client == nullptr) return;
  http::Request request = unchangedPart(*client->request);
  request.headers = dialect_->relayHeaders(*client->request, action.time_left);
  http::removeConnectionHeaders(request.headers);
  request.headers[kRelayedByHeader] = settings_.node_name;
  http::ExchangeOptions options;
  options.connect_timeout = kPeerConnectTimeout;
  options.idle_timeout = action.time_left + kExchangeSlack;
  http::ExchangeCallbacks callbacks = exchangeCallbacks(action.exchange, client->request_id);
  acceptOwnResponses(callbacks);
  ActiveExchange& active = addExchange(action.exchange, action.client);
  active.exchange = http_->start(action.address, std::move(request), std::move(callbacks), options);
}

void TrafficLoop::execute(const Dispatch& action) {
  const Client* client = findClient(action.client);
  if (client == nullptr) return;
  http::Request request = unchangedPart(*client->request);
  request.headers = dialect_->forwardHeaders(*client->request, action.terms);
  http::removeConnectionHeaders(request.headers);
  http::ExchangeOptions options;
  options.connect_timeout = kConnectTimeout;
  options.idle_timeout = action.terms.deadline + kExchangeSlack;
  http::ExchangeCallbacks callbacks = exchangeCallbacks(action.exchange, client->request_id);
  ActiveExchange& active = addExchange(action.exchange, action.client);
  active.exchange = http_->start(action.address, std::move(request), std::move(callbacks), options);
}

TrafficLoop::ActiveExchange& TrafficLoop::addExchange(ExchangeId exchange, ClientId client) {
  ActiveExchange& active = exchanges_[exchange];
  active.client = client;
  active.held = ByteReservation(budget_);
  return active;
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
