#include "http/client.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/error.h"
#include "http/client_connection.h"
#include "http/half_open_detector.h"

namespace crankspur::http {

namespace asio = boost::asio;

bool isUnreadableResponse(std::error_code error) {
  return error == ErrorCode::Malformed || error == ErrorCode::TooLarge;
}

namespace {

constexpr std::size_t kMaxIdleConnections = 64;  ///< Per address.

/// The connections of one client. Their callbacks hold weak references to it.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  explicit ConnectionPool(asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Runs the exchange on an idle connection, or on a new one if none is idle or `force_new` is set.
  void run(const std::shared_ptr<ExchangeState>& exchange, bool force_new) {
    const bool opens = force_new || exchange->options.own_connection;
    std::shared_ptr<ClientConnection> connection = opens ? nullptr : popIdle(exchange->address);
    if (!connection) connection = open(exchange->address);
    running_[exchange.get()] = connection;
    connection->run(exchange);
  }

  void setTimeoutHandler(std::function<void(const TimedOutExchange&)> handler) {
    on_timeout_ = std::move(handler);
  }

  void setSilentConnectionsHandler(std::function<void()> handler) {
    on_silent_connections_ = std::move(handler);
  }

  void setUnreadableResponseHandler(std::function<void(const std::string&, std::error_code)> handler) {
    on_unreadable_ = std::move(handler);
  }

  /// @param address server address; empty for all servers.
  void closeStaleConnections(const std::string& address, HalfOpenDetector::Time last_received_before) {
    std::vector<std::shared_ptr<ClientConnection>> stale_connections;
    for (const auto& [peer_address, connections] : idle_) {
      if (!address.empty() && peer_address != address) continue;
      for (const auto& connection : connections) {
        if (connection->lastReceived() < last_received_before) stale_connections.push_back(connection);
      }
    }
    for (const auto& connection : stale_connections) {
      connection->close();
      remove(connection.get());
    }
  }

  void cancelTimedOut(const std::shared_ptr<ExchangeState>& exchange) {
    const auto found = running_.find(exchange.get());
    std::optional<TimedOutExchange> timed_out;
    if (!exchange->ended && found != running_.end()) timed_out = found->second->exchangeWithoutResponse();
    cancel(exchange);
    if (timed_out) onTimeout(*timed_out);
  }

  bool cancelIfNotSent(const std::shared_ptr<ExchangeState>& exchange) {
    const auto found = running_.find(exchange.get());
    if (exchange->ended || found == running_.end() || found->second->hasSent()) return false;
    cancel(exchange);
    return true;
  }

  void cancel(const std::shared_ptr<ExchangeState>& exchange) {
    if (exchange->ended) return;
    exchange->ended = true;
    const auto found = running_.find(exchange.get());
    if (found == running_.end()) return;
    const auto connection = found->second;
    running_.erase(found);
    connection->close();
    remove(connection.get());
  }

  /// The response is not needed; no callback of the exchange is called any more.
  void discard(const std::shared_ptr<ExchangeState>& exchange) {
    const auto found = running_.find(exchange.get());
    if (!exchange->ended && found != running_.end()) found->second->discardResponse();
  }

  void setReadingPaused(const std::shared_ptr<ExchangeState>& exchange, bool paused) {
    const auto found = running_.find(exchange.get());
    if (!exchange->ended && found != running_.end()) found->second->setReadingPaused(paused);
  }

  void closeAll() {
    closed_ = true;
    const std::vector<std::shared_ptr<ClientConnection>> connections(open_.begin(), open_.end());
    for (const auto& connection : connections) connection->close();
    open_.clear();
    idle_.clear();
    running_.clear();
  }

private:
  std::shared_ptr<ClientConnection> popIdle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) return nullptr;
    auto connection = found->second.back();
    found->second.pop_back();
    return connection;
  }

  std::shared_ptr<ClientConnection> open(const std::string& address) {
    const std::weak_ptr<ConnectionPool> weak = weak_from_this();
    ClientConnection::Callbacks connection_callbacks;
    connection_callbacks.on_end = [weak](const std::shared_ptr<ExchangeState>& exchange,
                                         const ClientConnection::Outcome& outcome) {
      if (const auto pool = weak.lock()) pool->onEnd(exchange, outcome);
    };
    connection_callbacks.on_idle = [weak](const std::shared_ptr<ClientConnection>& connection) {
      if (const auto pool = weak.lock()) pool->addIdle(connection);
    };
    connection_callbacks.on_closed = [weak](ClientConnection* connection) {
      if (const auto pool = weak.lock()) pool->remove(connection);
    };
    connection_callbacks.on_reused_response = [weak](ClientConnection* connection) {
      const auto pool = weak.lock();
      if (pool) pool->half_open_detector_.onResponse(connection->address(), connection->lastReceived());
    };
    auto connection = std::make_shared<ClientConnection>(executor_, address, connection_callbacks);
    open_.insert(connection);
    return connection;
  }

  void addIdle(const std::shared_ptr<ClientConnection>& connection) {
    auto& list = idle_[connection->address()];
    if (list.size() < kMaxIdleConnections) {
      list.push_back(connection);
      return;
    }
    connection->close();
    remove(connection.get());
  }

  void remove(ClientConnection* connection) {
    const auto shared = connection->shared_from_this();
    open_.erase(shared);
    const auto found = idle_.find(connection->address());
    if (found == idle_.end()) return;
    std::erase(found->second, shared);
    if (found->second.empty()) idle_.erase(found);
  }

  void onEnd(const std::shared_ptr<ExchangeState>& exchange, const ClientConnection::Outcome& outcome) {
    running_.erase(exchange.get());
    if (closed_ || exchange->ended || exchange->discarded) return;
    if (outcome.timed_out) onTimeout(*outcome.timed_out);
    const bool is_unread = isUnreadableResponse(outcome.error) || outcome.error == ErrorCode::Overloaded;
    if (is_unread && on_unreadable_) on_unreadable_(exchange->address, outcome.error);
    const bool nothing_sent = outcome.state == SendState::NotSent;
    const bool repeatable = nothing_sent || exchange->options.may_be_repeated;
    if (outcome.stale && repeatable) return run(exchange, true);
    exchange->ended = true;
    const ExchangeCallbacks callbacks = std::move(exchange->callbacks);
    if (callbacks.on_done) callbacks.on_done(outcome.error, outcome.state, std::move(exchange->response));
  }

  /// Only a timeout on a reused connection counts as evidence about connections to other servers. On a new
  /// connection the server itself may be at fault.
  void onTimeout(TimedOutExchange timed_out) {
    const auto found = idle_.find(timed_out.address);
    timed_out.idle = found == idle_.end() ? 0 : found->second.size();
    if (on_timeout_) on_timeout_(timed_out);
    const auto now = std::chrono::steady_clock::now();
    const auto began = now - timed_out.waited;
    const bool close_all = timed_out.reused && half_open_detector_.onTimeout(timed_out.address, began, now) ==
                                                   HalfOpenDetector::Action::CloseAll;
    closeStaleConnections(close_all ? "" : timed_out.address,
                          std::max(began, now - HalfOpenDetector::kRecentActivity));
    if (close_all && on_silent_connections_) on_silent_connections_();
  }

  asio::any_io_executor executor_;
  std::function<void(const TimedOutExchange&)> on_timeout_;
  std::function<void()> on_silent_connections_;
  std::function<void(const std::string&, std::error_code)> on_unreadable_;
  HalfOpenDetector half_open_detector_;
  bool closed_ = false;
  std::unordered_set<std::shared_ptr<ClientConnection>> open_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::unordered_map<ExchangeState*, std::shared_ptr<ClientConnection>> running_;
};

class PooledExchange : public Exchange {
public:
  PooledExchange(std::weak_ptr<ConnectionPool> pool, std::shared_ptr<ExchangeState> state)
      : pool_(std::move(pool)), state_(std::move(state)) {}
  void cancel() override {
    if (const auto pool = pool_.lock()) pool->cancel(state_);
  }
  void cancelTimedOut() override {
    if (const auto pool = pool_.lock()) pool->cancelTimedOut(state_);
  }
  void discard() override {
    if (const auto pool = pool_.lock()) pool->discard(state_);
  }
  void pauseReading() override {
    if (const auto pool = pool_.lock()) pool->setReadingPaused(state_, true);
  }
  void resumeReading() override {
    if (const auto pool = pool_.lock()) pool->setReadingPaused(state_, false);
  }
  bool cancelIfNotSent() override {
    const auto pool = pool_.lock();
    return pool && pool->cancelIfNotSent(state_);
  }

private:
  std::weak_ptr<ConnectionPool> pool_;
  std::shared_ptr<ExchangeState> state_;
};

class PooledClient : public Client {
public:
  PooledClient(asio::any_io_executor executor, std::shared_ptr<ByteBudget> budget)
      : pool_(std::make_shared<ConnectionPool>(std::move(executor))), budget_(std::move(budget)) {}
  ~PooledClient() override { pool_->closeAll(); }

  std::shared_ptr<Exchange> start(const std::string& address, Request request, ExchangeCallbacks callbacks,
                                  ExchangeOptions options) override {
    const auto state = std::make_shared<ExchangeState>();
    state->address = address;
    state->request = std::move(request);
    state->callbacks = std::move(callbacks);
    state->options = std::move(options);
    if (!state->options.budget) state->options.budget = budget_;
    pool_->run(state, false);
    return std::make_shared<PooledExchange>(pool_, state);
  }

  void setTimeoutHandler(std::function<void(const TimedOutExchange&)> handler) override {
    pool_->setTimeoutHandler(std::move(handler));
  }
  void setSilentConnectionsHandler(std::function<void()> handler) override {
    pool_->setSilentConnectionsHandler(std::move(handler));
  }
  void setUnreadableResponseHandler(
      std::function<void(const std::string&, std::error_code)> handler) override {
    pool_->setUnreadableResponseHandler(std::move(handler));
  }
  void closeStaleConnections(const std::string& address) override {
    pool_->closeStaleConnections(address,
                                 std::chrono::steady_clock::now() - HalfOpenDetector::kRecentActivity);
  }

private:
  std::shared_ptr<ConnectionPool> pool_;
  std::shared_ptr<ByteBudget> budget_;
};

}  // namespace

std::unique_ptr<Client> makeClient(asio::any_io_executor executor, std::shared_ptr<ByteBudget> budget) {
  return std::make_unique<PooledClient>(std::move(executor), std::move(budget));
}

}  // namespace crankspur::http
