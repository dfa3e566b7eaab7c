#include "http/server.h"

#include <algorithm>
#include <vector>

#include "base/endpoint.h"
#include "http/server_session.h"

namespace crankspur::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Maximum number of connections over the limit that are kept open until their clients have read the 503.
constexpr std::size_t kMaxRejectedConnections = 64;

/// Accepts connections. The pending accept shares ownership, so that the server may be destroyed at any time.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
public:
  Acceptor(const asio::any_io_executor& executor, std::shared_ptr<ServerState> state)
      : acceptor_(executor), retry_timer_(executor), state_(std::move(state)) {}

  void open(const tcp::endpoint& endpoint, boost::system::error_code& error) {
    acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) port_ = acceptor_.local_endpoint(error).port();
  }

  std::uint16_t port() const { return port_; }

  void close() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

  void accept() {
    acceptor_.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
      if (!self->acceptor_.is_open()) return;
      if (error) return self->scheduleAccept();
      self->startSession(std::move(socket));
      self->accept();
    });
  }

private:
  void scheduleAccept() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error && self->acceptor_.is_open()) self->accept();
    });
  }

  void startSession(tcp::socket socket) {
    const std::size_t open = state_->sessions.size();
    if (open >= state_->limits.connections + kMaxRejectedConnections) return;
    const auto session = std::make_shared<ServerSession>(std::move(socket), state_);
    state_->sessions.insert(session);
    if (open >= state_->limits.connections) {
      session->reject();
    } else {
      session->start();
    }
  }

  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::shared_ptr<ServerState> state_;
  std::uint16_t port_ = 0;
};

class BeastServer : public Server {
public:
  BeastServer(std::shared_ptr<ServerState> state, std::shared_ptr<Acceptor> acceptor)
      : state_(std::move(state)), acceptor_(std::move(acceptor)) {}

  ~BeastServer() override {
    acceptor_->close();
    state_->stopping = true;
    state_->handler = nullptr;
    state_->rejected_request_handler = nullptr;
    state_->body_use_handler = nullptr;
    if (state_->memory_guard) state_->memory_guard->stop();
    for (const auto& session : openSessions()) session->close();
  }

  std::uint16_t port() const override { return acceptor_->port(); }

  void stopAccepting() override {
    acceptor_->close();
    state_->stopping = true;
    closeIdle();
  }

  void disableKeepAlive() override { state_->keep_alive_disabled = true; }

  void rejectIncomplete(const Response& response,
                        const std::function<bool(const Request& head)>& rejects) override {
    for (const auto& session : openSessions()) session->rejectIncomplete(response, rejects);
  }

  void closeIdle() override {
    for (const auto& session : openSessions()) session->closeIfIdle();
  }

  void setRejectedRequestHandler(RejectedRequestHandler handler) override {
    state_->rejected_request_handler = std::move(handler);
  }

  void setBodyUseHandler(BodyUseHandler handler) override { state_->body_use_handler = std::move(handler); }

  void setMemoryPressureHandler(std::function<void(const MemoryPressure&)> handler) override {
    if (state_->memory_guard) state_->memory_guard->setPressureHandler(std::move(handler));
  }

  void setLimits(const ServerLimits& limits) override { state_->limits = limits; }

  std::size_t openRequests() const override { return state_->open_requests; }

  std::size_t requestsBeingRead() const override {
    const auto& sessions = state_->sessions;
    return static_cast<std::size_t>(std::count_if(sessions.begin(), sessions.end(),
                                                  [](const auto& session) { return session->isReading(); }));
  }

private:
  std::vector<std::shared_ptr<ServerSession>> openSessions() const {
    return {state_->sessions.begin(), state_->sessions.end()};
  }

  std::shared_ptr<ServerState> state_;
  std::shared_ptr<Acceptor> acceptor_;
};

std::shared_ptr<MemoryGuard> makeMemoryGuard(const asio::any_io_executor& executor,
                                             const std::shared_ptr<ByteBudget>& budget,
                                             const std::weak_ptr<ServerState>& state) {
  const auto open_sessions = [state]() -> std::vector<std::shared_ptr<ServerSession>> {
    const auto server = state.lock();
    if (!server) return {};
    return {server->sessions.begin(), server->sessions.end()};
  };
  return std::make_shared<MemoryGuard>(executor, budget, open_sessions);
}

}  // namespace

std::unique_ptr<Server> listen(const asio::any_io_executor& executor, const std::string& address,
                               RequestHandler handler, std::error_code& error, const ServerLimits& limits) {
  boost::system::error_code listen_error;
  const tcp::endpoint endpoint = parseEndpoint(address, listen_error);
  const auto state = std::make_shared<ServerState>();
  state->handler = std::make_shared<const RequestHandler>(std::move(handler));
  state->limits = limits;
  if (limits.budget) state->memory_guard = makeMemoryGuard(executor, limits.budget, state);
  const auto acceptor = std::make_shared<Acceptor>(executor, state);
  if (!listen_error) acceptor->open(endpoint, listen_error);
  error = listen_error;
  if (listen_error) return nullptr;
  acceptor->accept();
  return std::make_unique<BeastServer>(state, acceptor);
}

}  // namespace crankspur::http
