#include <utility>

#include "gateway_process/traffic_loop.h"

namespace crankspur::gateway {
namespace {

/// Nothing more of a response is read from its back end while the client has this many bytes to read. The
/// back end has room for other requests sooner the more is read ahead.
constexpr std::size_t kMaxUnreadBytes = std::size_t{1024} * 1024;
/// The same while more than kModerateUse of the bytes that this process may hold is used; beyond kHighUse
/// nothing is read ahead.
constexpr std::size_t kMaxUnreadBytesUnderPressure = std::size_t{64} * 1024;
constexpr double kModerateUse = 0.5;
constexpr double kHighUse = 0.75;

}  // namespace

void TrafficLoop::execute(const ForwardResponse& action) {
  const auto found = exchanges_.find(action.exchange);
  Client* client = findClient(action.client);
  if (found == exchanges_.end() || client == nullptr) return;
  ActiveExchange exchange = std::move(found->second);
  exchanges_.erase(found);
  const auto writer = client->writer;
  clients_.erase(action.client);
  exchange.held.resize(0);  // The writer counts the bytes from now on.
  http::Response response{exchange.status, std::move(exchange.headers), std::move(exchange.body)};
  http::removeConnectionHeaders(response.headers);
  if (exchange.framing != http::BodyFraming::Close) return writer->respond(std::move(response));
  writer->beginUnframed(response.status, std::move(response.headers));
  writer->write(std::move(response.body));
  writer->end();
}

void TrafficLoop::execute(const ForwardHead& action) {
  const auto found = exchanges_.find(action.exchange);
  Client* client = findClient(action.client);
  if (found == exchanges_.end() || client == nullptr) return;
  client->writer->onQueueWritten([this, id = action.client] { onClientRead(id); });
  http::Headers headers = std::move(found->second.headers);
  http::removeConnectionHeaders(headers);
  if (found->second.framing == http::BodyFraming::Close) {
    client->writer->beginUnframed(found->second.status, std::move(headers));
  } else {
    client->writer->begin(found->second.status, std::move(headers));
  }
  if (found->second.body.empty()) return;
  client->writer->write(std::exchange(found->second.body, {}));
  found->second.held.resize(0);
  pauseWhileUnread(*client, action.exchange);
}

void TrafficLoop::execute(ForwardBytes& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  client->writer->write(std::move(action.bytes));
  pauseWhileUnread(*client, action.exchange);
}

std::size_t TrafficLoop::maxUnreadBytes() const {
  if (!budget_ || !budget_->exceeds(kModerateUse)) return kMaxUnreadBytes;
  return budget_->exceeds(kHighUse) ? 0 : kMaxUnreadBytesUnderPressure;
}

void TrafficLoop::pauseWhileUnread(Client& client, ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end() || client.paused_exchange == exchange) return;
  if (client.writer->queuedBytes() <= maxUnreadBytes()) return;
  client.paused_exchange = exchange;
  found->second.exchange->pauseReading();
  gateway_.onReadingPaused(exchange, true, now());
}

void TrafficLoop::onClientRead(ClientId id) {
  Client* client = findClient(id);
  if (client == nullptr) return;
  const auto found = exchanges_.find(std::exchange(client->paused_exchange, 0));
  if (found == exchanges_.end()) return;
  found->second.exchange->resumeReading();
  gateway_.onReadingPaused(found->first, false, now());
}

void TrafficLoop::execute(const EndResponse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->end();
}

void TrafficLoop::execute(const AbortResponse& action) {
  Client* client = findClient(action.client);
  if (client == nullptr) return;
  const auto writer = client->writer;
  clients_.erase(action.client);
  writer->abort();
}

}  // namespace crankspur::gateway
