#include "standins/fault_proxy/proxied_connection.h"

#include <boost/asio/write.hpp>

namespace crankspur::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
/// Reading from the source stops while at least this much is queued for the sink.
constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;
}  // namespace

ProxiedConnection::ProxiedConnection(tcp::socket client, std::shared_ptr<RouteState> route,
                                     std::function<void(ProxiedConnection*)> on_closed)
    : route_(std::move(route)),
      on_closed_(std::move(on_closed)),
      client_(std::move(client)),
      server_(client_.get_executor()),
      flows_{Flow(client_, server_), Flow(server_, client_)},
      bytes_until_cut_(route_->settings.cut_after_bytes) {}

void ProxiedConnection::start(const tcp::endpoint& target) {
  server_.async_connect(target, [self = shared_from_this()](boost::system::error_code error) {
    if (self->closed_) return;
    if (error) return self->close();
    boost::system::error_code ignored;
    self->client_.set_option(tcp::no_delay(true), ignored);
    self->server_.set_option(tcp::no_delay(true), ignored);
    self->connected_ = true;
    for (Flow& flow : self->flows_) self->relay(flow);
  });
}

void ProxiedConnection::settingsChanged() {
  bytes_until_cut_ = route_->settings.cut_after_bytes;
  if (!connected_) return;
  for (Flow& flow : flows_) relay(flow);
}

void ProxiedConnection::silence() {
  silent_ = true;
}

void ProxiedConnection::cut() {
  if (closed_) return;
  ++route_->cuts;
  boost::system::error_code ignored;
  client_.set_option(asio::socket_base::linger(true, 0), ignored);
  if (server_.is_open()) server_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void ProxiedConnection::close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  client_.close(ignored);
  server_.close(ignored);
  for (Flow& flow : flows_) flow.timer.cancel();
  on_closed_(this);
}

/// Starts the reads and writes that the flow is ready for.
void ProxiedConnection::relay(Flow& flow) {
  if (closed_ || silent_ || route_->settings.freeze) return;
  if (!flow.reading && !flow.source_ended && flow.queued_bytes < kMaxQueuedBytes) read(flow);
  if (!flow.writing && !flow.queue.empty()) write(flow);
  if (flow.source_ended && flow.queue.empty() && !flow.writing) forwardEnd(flow);
}

void ProxiedConnection::read(Flow& flow) {
  flow.reading = true;
  const auto on_read = [self = shared_from_this(), &flow](boost::system::error_code error,
                                                          std::size_t bytes) {
    flow.reading = false;
    if (!self->closed_ && !self->silent_) self->onRead(flow, error, bytes);
  };
  flow.source.async_read_some(asio::buffer(flow.chunk), on_read);
}

void ProxiedConnection::onRead(Flow& flow, boost::system::error_code error, std::size_t bytes) {
  const FaultSettings& settings = route_->settings;
  if (error && error != asio::error::eof) return cut();
  if (error) flow.source_ended = true;
  if (bytes > 0) {
    const bool drop_response = settings.swallow_answers && toClient(flow);
    if (drop_response || route_->random.chance(settings.cut_chance)) return cut();
    enqueue(flow, std::string(flow.chunk.data(), bytes));
  }
  relay(flow);
}

void ProxiedConnection::enqueue(Flow& flow, std::string bytes) {
  const FaultSettings& settings = route_->settings;
  const Duration delay = toClient(flow) ? settings.delay_to_client : settings.delay_to_server;
  SteadyTime due = std::chrono::steady_clock::now() + delay;
  if (settings.bytes_per_second > 0) {
    due = std::max(due, flow.next_send_time);
    const double seconds = static_cast<double>(bytes.size()) / static_cast<double>(settings.bytes_per_second);
    flow.next_send_time = due + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    due = flow.next_send_time;
  }
  flow.queued_bytes += bytes.size();
  flow.queue.push_back({due, std::move(bytes)});
}

void ProxiedConnection::write(Flow& flow) {
  flow.writing = true;
  if (flow.queue.front().due > std::chrono::steady_clock::now()) return waitUntilDue(flow);
  std::string& bytes = flow.queue.front().bytes;
  if (toClient(flow) && bytes_until_cut_ && bytes.size() >= *bytes_until_cut_) {
    flow.queued_bytes -= bytes.size() - *bytes_until_cut_;
    bytes.resize(*bytes_until_cut_);
  }
  const auto on_written = [self = shared_from_this(), &flow](boost::system::error_code error,
                                                             std::size_t written) {
    if (!self->closed_ && !self->silent_) self->onWritten(flow, error, written);
  };
  asio::async_write(flow.sink, asio::buffer(bytes), on_written);
}

void ProxiedConnection::waitUntilDue(Flow& flow) {
  flow.timer.expires_at(flow.queue.front().due);
  flow.timer.async_wait([self = shared_from_this(), &flow](boost::system::error_code) {
    flow.writing = false;
    self->relay(flow);
  });
}

void ProxiedConnection::onWritten(Flow& flow, boost::system::error_code error, std::size_t bytes) {
  flow.writing = false;
  if (error) return cut();
  flow.queued_bytes -= bytes;
  flow.queue.pop_front();
  (toClient(flow) ? route_->bytes_to_client : route_->bytes_to_server) += bytes;
  if (toClient(flow) && bytes_until_cut_) {
    *bytes_until_cut_ -= std::min<std::uint64_t>(*bytes_until_cut_, bytes);
    if (*bytes_until_cut_ == 0) {
      ++route_->cuts;
      return close();  // A graceful close, so that the bytes before the cut are delivered.
    }
  }
  relay(flow);
}

/// Shuts down the sink's sending direction after the source has ended and all its bytes were written.
void ProxiedConnection::forwardEnd(Flow& flow) {
  if (flow.sink_ended) return;
  flow.sink_ended = true;
  boost::system::error_code ignored;
  flow.sink.shutdown(tcp::socket::shutdown_send, ignored);
  if (flows_[0].sink_ended && flows_[1].sink_ended) close();
}

}  // namespace crankspur::standin
