#pragma once
/// @file One connection through the fault proxy: a client socket, a server socket and a flow in each
/// direction.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "standins/fault_proxy/fault_settings.h"

namespace crankspur::standin {

/// Maximum number of bytes of one read.
inline constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

/// State that a route shares with its connections.
struct RouteState {
  FaultSettings settings;
  RandomSource random;
  std::uint64_t bytes_to_server = 0;  ///< Forwarded so far.
  std::uint64_t bytes_to_client = 0;
  std::uint64_t cuts = 0;  ///< Connections cut by a fault.
};

/// Forwards bytes in both directions, subject to the faults of the route.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
public:
  /// @param on_closed called once, when the connection is closed.
  ProxiedConnection(boost::asio::ip::tcp::socket client, std::shared_ptr<RouteState> route,
                    std::function<void(ProxiedConnection*)> on_closed);

  /// Connects to the server, then starts forwarding.
  void start(const boost::asio::ip::tcp::endpoint& target);
  /// Applies the changed settings of the route.
  void settingsChanged();
  /// Stops forwarding in both directions permanently; both sockets stay open, without FIN or RST.
  void silence();
  /// Closes both sockets with RST and counts a cut.
  void cut();
  /// Closes without counting a cut.
  void close();

private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  struct QueuedChunk {
    SteadyTime due;
    std::string bytes;
  };
  /// One direction of the connection.
  struct Flow {
    Flow(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to) : source(from), sink(to) {}
    boost::asio::ip::tcp::socket& source;
    boost::asio::ip::tcp::socket& sink;
    boost::asio::steady_timer timer{source.get_executor()};
    std::deque<QueuedChunk> queue;
    std::size_t queued_bytes = 0;
    SteadyTime next_send_time{};  ///< Earliest start of the next chunk under the bandwidth limit.
    bool reading = false;
    bool writing = false;
    bool source_ended = false;
    bool sink_ended = false;
    std::array<char, kChunkBytes> chunk{};
  };

  bool toClient(const Flow& flow) const { return &flow == &flows_[1]; }
  void relay(Flow& flow);
  void read(Flow& flow);
  void onRead(Flow& flow, boost::system::error_code error, std::size_t bytes);
  void enqueue(Flow& flow, std::string bytes);
  void write(Flow& flow);
  void waitUntilDue(Flow& flow);
  void onWritten(Flow& flow, boost::system::error_code error, std::size_t bytes);
  void forwardEnd(Flow& flow);

  std::shared_ptr<RouteState> route_;
  std::function<void(ProxiedConnection*)> on_closed_;
  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket server_;
  std::array<Flow, 2> flows_;                     ///< Index 0: to the server; 1: to the client.
  std::optional<std::uint64_t> bytes_until_cut_;  ///< Bytes still to be sent to the client before the cut.
  bool connected_ = false;
  bool closed_ = false;
  bool silent_ = false;  ///< Forwarding has stopped permanently.
};

}  // namespace crankspur::standin
