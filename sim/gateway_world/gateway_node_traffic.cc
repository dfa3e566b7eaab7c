/// @file The traffic side of a simulated gateway: callers, engines, and the actions of gateway::Gateway.

#include <fmt/format.h>

#include "sim/gateway_world/fleet_world.h"
#include "sim/gateway_world/gateway_node.h"
#include "sim/gateway_world/gateway_process_state.h"

namespace crankspur::gateway_sim {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(250);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
/// Delay between the traffic thread and the control thread.
constexpr Duration kThreadDelay = std::chrono::microseconds(50);
constexpr std::uint32_t kPromptTokens = 900;
constexpr Duration kStreamOriginsDelay = std::chrono::milliseconds(3);

gateway::IncomingRequest makeIncomingRequest(const CallerRequest& request, const std::string& body) {
  gateway::IncomingRequest result;
  result.from_peer = request.from_peer;
  result.host = kFleetHost;
  result.path = pathOf(request.kind) + "1";
  result.body = body;
  result.client.emplace();
  result.client->request_id = fmt::format("a{}", request.attempt);
  result.client->api_key = kFleetKey;
  result.client->model = kFleetModel;
  result.client->deadline = request.deadline;
  if (request.resume_after > 0) {
    result.client->resume_after = request.resume_after;
    result.client->resumed_attempt = fmt::format("a{}", request.begun_by);
  }
  if (request.kind == RequestKind::resumable_stream) {
    result.client->prompt = {{1 + request.body % 3, 600}, {1'000 + std::uint64_t{request.body}, 300}};
    result.client->prompt_tokens = kPromptTokens;
  }
  return result;
}

/// @return a complete error response of an engine, as its caller gets it.
gateway::Refuse errorResponse(int status) {
  gateway::Refuse response;
  response.status = status;
  return response;
}

}  // namespace

void GatewayNode::onRequest(const sim::ChannelPointer& channel, const CallerRequest& request,
                            const CallerHandlers& handlers) {
  const gateway::ClientId id = process_->next_client++;
  process_->clients.emplace(id, Client{request, handlers, channel, context_.queue.now(), confirmed_at_});
  channel->onClosed(sim::Side::Server, [this, id] {
    if (process_->clients.erase(id) == 0) return;
    process_->traffic.onClientDisconnected(id, now());
    executeActions();
  });
  const std::string body = fmt::format("body {}", request.body);
  process_->traffic.onRequest(id, makeIncomingRequest(request, body), now());
  executeActions();
}

void GatewayNode::executeActions() {
  if (std::exchange(process_->executing_actions, true)) return;
  while (true) {
    const std::vector<gateway::GatewayAction> actions = process_->traffic.takeActions();
    if (actions.empty()) break;
    for (const gateway::GatewayAction& action : actions) {
      std::visit([this](const auto& chosen) { execute(chosen); }, action);
    }
  }
  process_->executing_actions = false;
  arm(process_->traffic_timer, process_->traffic.nextTimer().value_or(TimePoint::max()), [this] {
    process_->traffic.onTimer(now());
    executeActions();
  });
  sendStreamOrigins();
  if (!process_->traffic.hasCrashUpdate() || std::exchange(process_->crash_update_waiting, true)) return;
  arm(process_->crash_update_timer, now() + gateway::kCrashUpdateDelay, [this] {
    process_->crash_update_waiting = false;
    host_.post(kThreadDelay, [this, update = process_->traffic.takeCrashUpdate()] {
      process_->crashes.onOwnUpdate(update, otherMembers(), now());
      executeCrashActions();
    });
  });
}

void GatewayNode::sendStreamOrigins() {
  if (!process_->traffic.hasStreamOrigins() || std::exchange(process_->stream_origins_waiting, true)) return;
  arm(process_->stream_origins_timer, now() + kStreamOriginsDelay, [this] {
    process_->stream_origins_waiting = false;
    host_.post(kThreadDelay, [this, messages = process_->traffic.takeStreamOrigins()] {
      for (const gateway::StreamOriginMessage& sent : messages) {
        recordOrigins(sent.message.begun);
        if (sent.gateway != member_name_) sendDatagram(sent.gateway, sent.message);
      }
    });
  });
}

void GatewayNode::sendToCaller(const Client& client, sim::Task deliver) {
  client.channel->send(sim::Side::Server, std::move(deliver));
}

void GatewayNode::removeClient(gateway::ClientId id, bool close) {
  const auto found = process_->clients.find(id);
  if (found == process_->clients.end()) return;
  const sim::ChannelPointer channel = found->second.channel;
  process_->clients.erase(found);
  if (close) channel->close(sim::Side::Server);
}

void GatewayNode::execute(const gateway::Refuse& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  const auto on_refused = found->second.handlers.on_refused;
  sendToCaller(found->second, [on_refused, action] { on_refused(action); });
  removeClient(action.client, false);
}

void GatewayNode::execute(const gateway::Dispatch& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  const CallerRequest& caller_request = found->second.request;
  EngineRequest request;
  request.attempt = caller_request.attempt;
  request.body = caller_request.body;
  request.kind = caller_request.kind;
  request.expected_engine = action.terms.expected_backend;
  request.resume_after = action.terms.resume_after.value_or(0);
  request.gateway = number_;
  request.sent_at = context_.queue.now();
  request.admitted_at = found->second.admitted_at;
  request.confirmed_at = found->second.confirmed_at;
  process_->exchanges[action.exchange].client = action.client;
  context_.trace.note(host_.name(), "sends attempt {} of body {} to {}", request.attempt, request.body,
                      action.address);
  connect(action.exchange, world_.engineAt(action.address), request);
}

void GatewayNode::execute(const gateway::RelayToPeer& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  process_->exchanges[action.exchange].client = action.client;
  if (!context_.site.relays || !context_.has(sim::Mechanism::Relay)) return onLost(action.exchange, false);
  GatewayNode* const peer = world_.gatewayNamed(action.address);
  CallerRequest request = found->second.request;
  request.from_peer = true;
  request.deadline = action.time_left;
  context_.trace.note(host_.name(), "relays attempt {} to {}", request.attempt, action.address);
  const gateway::ExchangeId id = action.exchange;
  context_.network.connect(
      host_, peer->host(), kPeerConnectTimeout, [](const sim::ChannelPointer&) {},
      [this, id, peer, request, handlers = relayHandlers(id)](const sim::ChannelPointer& channel) {
        const auto exchange = process_->exchanges.find(id);
        if (exchange == process_->exchanges.end()) return channel->close(sim::Side::Client);
        exchange->second.channel = channel;
        channel->onClosed(sim::Side::Client, [this, id] { onLost(id, true); });
        channel->send(sim::Side::Client,
                      [peer, channel, request, handlers] { peer->onRequest(channel, request, handlers); });
      },
      [this, id] { onLost(id, false); });
}

/// @return handlers of the response of the gateway that an exchange is relayed to.
CallerHandlers GatewayNode::relayHandlers(gateway::ExchangeId id) {
  CallerHandlers handlers;
  handlers.on_bytes = [this, id](const std::string& bytes) {
    onRelayedHead(id);
    onEngineBytes(id, bytes);
  };
  handlers.on_end = [this, id] {
    onRelayedHead(id);
    onEngineEnd(id);
  };
  handlers.on_refused = [this, id](const gateway::Refuse& refusal) { onRelayRefused(id, refusal); };
  return handlers;
}

/// The first part of a successful response implies its head.
void GatewayNode::onRelayedHead(gateway::ExchangeId id) {
  const auto found = process_->exchanges.find(id);
  if (found == process_->exchanges.end() || std::exchange(found->second.head, true)) return;
  onEngineHead(id, {});
}

void GatewayNode::onRelayRefused(gateway::ExchangeId id, const gateway::Refuse& refusal) {
  const auto found = process_->exchanges.find(id);
  if (found == process_->exchanges.end()) return;
  found->second.refusal = refusal;
  gateway::BackendResponse response;
  response.out_of_reach = refusal.out_of_reach;
  process_->traffic.onHead(id, refusal.status, response, now());
  executeActions();
  onEngineEnd(id);
}

void GatewayNode::connect(gateway::ExchangeId id, EngineProcess& engine, const EngineRequest& request) {
  const EngineResponseHandlers response = responseHandlers(id);
  context_.network.connect(
      host_, engine.host(), kConnectTimeout, [](const sim::ChannelPointer&) {},
      [this, id, &engine, request, response](const sim::ChannelPointer& channel) {
        const auto found = process_->exchanges.find(id);
        if (found == process_->exchanges.end()) return channel->close(sim::Side::Client);
        found->second.channel = channel;
        channel->onClosed(sim::Side::Client, [this, id] { onLost(id, true); });
        const std::size_t record = engine.onRequestWritten(request);
        channel->send(sim::Side::Client, [&engine, record, channel, request, response] {
          engine.onRequest(record, channel, request, response);
        });
      },
      [this, id] { onLost(id, false); });
}

EngineResponseHandlers GatewayNode::responseHandlers(gateway::ExchangeId id) {
  EngineResponseHandlers response;
  response.on_head = [this, id](const EngineHead& head) { onEngineHead(id, head); };
  response.on_bytes = [this, id](const std::string& bytes) { onEngineBytes(id, bytes); };
  response.on_end = [this, id] { onEngineEnd(id); };
  return response;
}

void GatewayNode::onEngineHead(gateway::ExchangeId id, const EngineHead& head) {
  if (!process_->exchanges.contains(id)) return;
  gateway::BackendResponse response;
  response.genuine = true;
  response.event_stream = head.event_stream;
  response.not_run = head.not_run;
  response.wrong_backend = head.wrong_engine;
  if (head.pause > Duration(0) && context_.has(sim::Mechanism::Pauses)) response.pause = head.pause;
  if (context_.has(sim::Mechanism::BrittleShares)) response.tolerated_rejections = head.tolerated_rejections;
  response.leaving = head.leaving && context_.has(sim::Mechanism::StatedDepartures);
  recordNotices(head);
  if (head.status == kInternalError) process_->exchanges[id].refusal = errorResponse(head.status);
  process_->traffic.onHead(id, head.status, response, now());
  executeActions();
}

/// A response on a connection that the gateway has closed is not among them: it does not read it.
void GatewayNode::recordNotices(const EngineHead& head) {
  Records& records = context_.records;
  if (head.pause > Duration(0))
    records.pauses.push_back({head.engine, head.engine_start, number_, head.sent_at, head.pause});
  if (head.leaving && !head.wrong_engine)
    records.stated_departures.push_back({head.engine, head.engine_start, number_, context_.queue.now()});
}

void GatewayNode::onEngineBytes(gateway::ExchangeId id, const std::string& bytes) {
  const auto found = process_->exchanges.find(id);
  if (found == process_->exchanges.end()) return;
  if (!process_->traffic.streamsBody(id)) {
    found->second.body += bytes;
    return;
  }
  process_->traffic.onBytes(id, bytes, now());
  executeActions();
}

void GatewayNode::onEngineEnd(gateway::ExchangeId id) {
  const auto found = process_->exchanges.find(id);
  if (found == process_->exchanges.end()) return;
  const sim::ChannelPointer channel = found->second.channel;
  process_->traffic.onEnd(id, now());
  executeActions();
  process_->exchanges.erase(id);
  channel->onClosed(sim::Side::Client, {});
  channel->close(sim::Side::Client);
}

void GatewayNode::onLost(gateway::ExchangeId id, bool sent) {
  if (process_->exchanges.erase(id) == 0) return;
  process_->traffic.onLost(id, sent, now());
  executeActions();
}

void GatewayNode::execute(const gateway::CancelExchange& action) {
  const auto found = process_->exchanges.find(action.exchange);
  if (found == process_->exchanges.end()) return;
  const sim::ChannelPointer channel = found->second.channel;
  process_->exchanges.erase(found);
  if (channel) channel->close(sim::Side::Client);
}

void GatewayNode::execute(const gateway::RecallUnsent& action) {
  const auto found = process_->exchanges.find(action.exchange);
  if (found == process_->exchanges.end() || found->second.channel) return;
  onLost(action.exchange, false);
}

void GatewayNode::execute(const gateway::DiscardResponse& action) {
  process_->exchanges.erase(action.exchange);
}

void GatewayNode::execute(const gateway::ForwardResponse& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  const auto exchange = process_->exchanges.find(action.exchange);
  if (exchange != process_->exchanges.end() && exchange->second.refusal) {
    gateway::Refuse refusal = *exchange->second.refusal;
    refusal.client = action.client;
    return execute(refusal);
  }
  sendToCaller(found->second, found->second.handlers.on_end);
  removeClient(action.client, false);
}

void GatewayNode::execute(const gateway::ForwardHead& action) {
  const auto exchange = process_->exchanges.find(action.exchange);
  if (exchange == process_->exchanges.end() || exchange->second.body.empty()) return;
  execute(gateway::ForwardBytes{action.client, action.exchange, std::exchange(exchange->second.body, {})});
}

void GatewayNode::execute(const gateway::ForwardBytes& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  const auto on_bytes = found->second.handlers.on_bytes;
  sendToCaller(found->second, [on_bytes, bytes = action.bytes] { on_bytes(bytes); });
}

void GatewayNode::execute(const gateway::EndResponse& action) {
  const auto found = process_->clients.find(action.client);
  if (found == process_->clients.end()) return;
  sendToCaller(found->second, found->second.handlers.on_end);
  removeClient(action.client, false);
}

void GatewayNode::execute(const gateway::AbortResponse& action) {
  removeClient(action.client, true);
}

void GatewayNode::execute(const gateway::ProbeBackend& action) {
  const auto on_result = [this, probe = action.probe](bool responded) {
    const auto outcome = responded ? gateway::ProbeOutcome::responded : gateway::ProbeOutcome::silent;
    process_->traffic.onProbeResult(probe, outcome, now());
    executeActions();
  };
  EngineProcess& engine = world_.engineAt(action.address);
  context_.network.connect(
      host_, engine.host(), kProbeTimeout, [](const sim::ChannelPointer&) {},
      [&engine, on_result](const sim::ChannelPointer& channel) {
        channel->onClosed(sim::Side::Client, [on_result] { on_result(false); });
        channel->send(sim::Side::Client, [&engine, channel, on_result] {
          engine.onProbe(channel, [on_result] { on_result(true); });
        });
      },
      [on_result] { on_result(false); });
}

void GatewayNode::execute(const gateway::ReportUnreachable& action) {
  host_.post(kThreadDelay, [this, action] {
    process_->fleet.onUnreachable(action.slot, action.incarnation, now());
    publish();
  });
}

void GatewayNode::execute(const gateway::ReportWrongBackend&) {
  // Simulated engines hold a single version of the weights.
}

}  // namespace crankspur::gateway_sim
