#pragma once
/// @file One connection through the fault proxy: a client socket, a server socket and a flow each way.

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

/// Bytes read at once.
inline constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

/// What a route and its connections share.
struct RouteState {
  FaultSettings settings;
  RandomSource random;
  std::uint64_t bytes_to_server = 0;  ///< Passed on so far.
  std::uint64_t bytes_to_client = 0;
  std::uint64_t cuts = 0;  ///< Connections cut by a fault.
};

/// Copies bytes both ways under the route's faults.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
public:
  /// @param on_closed is called once, at the end of the connection.
  ProxiedConnection(boost::asio::ip::tcp::socket client, std::shared_ptr<RouteState> route,
                    std::function<void(ProxiedConnection*)> on_closed);

  /// Connects to the server and begins to copy.
  void start(const boost::asio::ip::tcp::endpoint& target);
  /// Takes changed settings into account.
  void settingsChanged();
  /// Passes nothing any more, either way and for good; both sockets stay open and are told nothing.
  void silence();
  /// Resets both sockets at once.
  void cut();
  /// Closes without counting a cut.
  void close();

private:
  using Time = std::chrono::steady_clock::time_point;
  struct Piece {
    Time due;
    std::string bytes;
  };
  /// One direction.
  struct Flow {
    Flow(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to) : source(from), sink(to) {}
    boost::asio::ip::tcp::socket& source;
    boost::asio::ip::tcp::socket& sink;
    boost::asio::steady_timer timer{source.get_executor()};
    std::deque<Piece> queue;
    std::size_t queued_bytes = 0;
    Time sink_free{};  ///< When the bandwidth limit lets the next piece begin.
    bool reading = false;
    bool writing = false;
    bool source_ended = false;
    bool sink_ended = false;
    std::array<char, kChunkBytes> chunk{};
  };

  bool toClient(const Flow& flow) const { return &flow == &flows_[1]; }
  void pump(Flow& flow);
  void read(Flow& flow);
  void onRead(Flow& flow, boost::system::error_code error, std::size_t bytes);
  void enqueue(Flow& flow, std::string bytes);
  void write(Flow& flow);
  void waitUntilDue(Flow& flow);
  void onWritten(Flow& flow, boost::system::error_code error, std::size_t bytes);
  void passEnd(Flow& flow);

  std::shared_ptr<RouteState> route_;
  std::function<void(ProxiedConnection*)> on_closed_;
  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket server_;
  std::array<Flow, 2> flows_;            ///< To the server, to the client.
  std::optional<std::uint64_t> budget_;  ///< Bytes that may still go to the client before the cut.
  bool connected_ = false;
  bool closed_ = false;
  bool silent_ = false;  ///< Passes nothing any more.
};

}  // namespace crankspur::standin
