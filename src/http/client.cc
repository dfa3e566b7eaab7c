#include "http/client.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/client_connection.h"
#include "http/connection_trust.h"

namespace crankspur::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kIdleConnections = 64;  ///< Kept alive for each address.

/// The connections of one client; shared with their callbacks.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  explicit ConnectionPool(asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Runs the exchange on an idle connection, or on a new one when there is none or `fresh` is set.
  void run(const std::shared_ptr<ExchangeState>& exchange, bool fresh) {
    std::shared_ptr<ClientConnection> connection = fresh ? nullptr : takeIdle(exchange->address);
    if (!connection) connection = open(exchange->address);
    running_[exchange.get()] = connection;
    connection->run(exchange);
  }

  void setUnansweredHandler(std::function<void(const UnansweredExchange&)> handler) {
    on_unanswered_ = std::move(handler);
  }

  void setSilenceHandler(std::function<void()> handler) { on_silence_ = std::move(handler); }

  /// @param address whose connections; empty: all.
  void leaveKept(const std::string& address, ConnectionTrust::Time heard_before) {
    std::vector<std::shared_ptr<ClientConnection>> left;
    for (const auto& [to, connections] : idle_) {
      if (!address.empty() && to != address) continue;
      for (const auto& connection : connections) {
        if (connection->heardAt() < heard_before) left.push_back(connection);
      }
    }
    for (const auto& connection : left) {
      connection->close();
      forget(connection.get());
    }
  }

  void cancelUnanswered(const std::shared_ptr<ExchangeState>& exchange) {
    const auto found = running_.find(exchange.get());
    std::optional<UnansweredExchange> unanswered;
    if (!exchange->ended && found != running_.end()) unanswered = found->second->unanswered();
    cancel(exchange);
    if (unanswered) onUnanswered(*unanswered);
  }

  void cancel(const std::shared_ptr<ExchangeState>& exchange) {
    if (exchange->ended) return;
    exchange->ended = true;
    const auto found = running_.find(exchange.get());
    if (found == running_.end()) return;
    const auto connection = found->second;
    running_.erase(found);
    connection->close();
    forget(connection.get());
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
  std::shared_ptr<ClientConnection> takeIdle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) return nullptr;
    auto connection = found->second.back();
    found->second.pop_back();
    return connection;
  }

  std::shared_ptr<ClientConnection> open(const std::string& address) {
    const std::weak_ptr<ConnectionPool> weak = weak_from_this();
    ClientConnection::Owner owner;
    owner.on_end = [weak](const std::shared_ptr<ExchangeState>& exchange,
                          const ClientConnection::Outcome& outcome) {
      if (const auto pool = weak.lock()) pool->onEnd(exchange, outcome);
    };
    owner.on_idle = [weak](const std::shared_ptr<ClientConnection>& connection) {
      if (const auto pool = weak.lock()) pool->keep(connection);
    };
    owner.on_closed = [weak](ClientConnection* connection) {
      if (const auto pool = weak.lock()) pool->forget(connection);
    };
    owner.on_answered_again = [weak](ClientConnection* connection) {
      const auto pool = weak.lock();
      if (pool) pool->trust_.onAnswered(connection->address(), connection->heardAt());
    };
    auto connection = std::make_shared<ClientConnection>(executor_, address, owner);
    open_.insert(connection);
    return connection;
  }

  void keep(const std::shared_ptr<ClientConnection>& connection) {
    auto& list = idle_[connection->address()];
    if (list.size() < kIdleConnections) {
      list.push_back(connection);
      return;
    }
    connection->close();
    forget(connection.get());
  }

  void forget(ClientConnection* connection) {
    const auto shared = connection->shared_from_this();
    open_.erase(shared);
    const auto found = idle_.find(connection->address());
    if (found == idle_.end()) return;
    std::erase(found->second, shared);
    if (found->second.empty()) idle_.erase(found);
  }

  void onEnd(const std::shared_ptr<ExchangeState>& exchange, const ClientConnection::Outcome& outcome) {
    running_.erase(exchange.get());
    if (closed_ || exchange->ended) return;
    if (outcome.unanswered) onUnanswered(*outcome.unanswered);
    const bool nothing_sent = outcome.state == SendState::NotSent;
    if (outcome.stale && (nothing_sent || exchange->request.method == "GET")) return run(exchange, true);
    exchange->ended = true;
    const ExchangeCallbacks callbacks = std::move(exchange->callbacks);
    if (callbacks.on_done) callbacks.on_done(outcome.error, outcome.state, std::move(exchange->response));
  }

  /// Only what a connection that answered before left unanswered tells of other servers: on a new one the
  /// server may be at fault.
  void onUnanswered(UnansweredExchange unanswered) {
    const auto found = idle_.find(unanswered.address);
    unanswered.idle = found == idle_.end() ? 0 : found->second.size();
    if (on_unanswered_) on_unanswered_(unanswered);
    const auto now = std::chrono::steady_clock::now();
    const auto began = now - unanswered.waited;
    const bool all = unanswered.reused && trust_.onUnanswered(unanswered.address, began, now) ==
                                              ConnectionTrust::Verdict::LeaveAll;
    leaveKept(all ? "" : unanswered.address, std::max(began, now - ConnectionTrust::kRecently));
    if (all && on_silence_) on_silence_();
  }

  asio::any_io_executor executor_;
  std::function<void(const UnansweredExchange&)> on_unanswered_;
  std::function<void()> on_silence_;
  ConnectionTrust trust_;
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
  void cancelUnanswered() override {
    if (const auto pool = pool_.lock()) pool->cancelUnanswered(state_);
  }

private:
  std::weak_ptr<ConnectionPool> pool_;
  std::shared_ptr<ExchangeState> state_;
};

class PooledClient : public Client {
public:
  explicit PooledClient(asio::any_io_executor executor)
      : pool_(std::make_shared<ConnectionPool>(std::move(executor))) {}
  ~PooledClient() override { pool_->closeAll(); }

  std::shared_ptr<Exchange> start(const std::string& address, Request request, ExchangeCallbacks callbacks,
                                  ExchangeOptions options) override {
    const auto state = std::make_shared<ExchangeState>();
    state->address = address;
    state->request = std::move(request);
    state->callbacks = std::move(callbacks);
    state->options = options;
    pool_->run(state, false);
    return std::make_shared<PooledExchange>(pool_, state);
  }

  void setUnansweredHandler(std::function<void(const UnansweredExchange&)> handler) override {
    pool_->setUnansweredHandler(std::move(handler));
  }
  void setSilenceHandler(std::function<void()> handler) override {
    pool_->setSilenceHandler(std::move(handler));
  }
  void leaveKept(const std::string& address) override {
    pool_->leaveKept(address, std::chrono::steady_clock::now() - ConnectionTrust::kRecently);
  }

private:
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace

std::unique_ptr<Client> makeClient(asio::any_io_executor executor) {
  return std::make_unique<PooledClient>(std::move(executor));
}

}  // namespace crankspur::http
