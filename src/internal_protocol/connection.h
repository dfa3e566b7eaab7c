#pragma once
/// @file Frame connections over TCP with Asio. Each pair of processes shares one multiplexed connection.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "internal_protocol/messages.h"

namespace crankspur {

/// One frame connection. All calls and callbacks run on the executor's thread. Both sides send Hello first;
/// no other message is delivered before the peer's Hello has been accepted. A connection keeps itself alive
/// until it is closed; releasing the pointer does not close it. on_closed never runs inside send() or
/// close().
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
  struct Callbacks {
    std::function<void(const Hello&)> on_hello;  ///< The peer's Hello, after a common version was found.
    std::function<void(Message)> on_message;
    /// Called exactly once when the connection is closed; the error is empty after a local close().
    std::function<void(std::error_code)> on_closed;
  };
  virtual ~FrameConnection() = default;
  /// Queues a message. Closes the connection (TooLarge) when the write queue exceeds its limit.
  virtual void send(const Message& message) = 0;
  /// Closes the connection.
  /// @param flush whether queued messages are written first.
  virtual void close(bool flush) = 0;
  /// @return the peer's "IP:port".
  virtual std::string remoteAddress() const = 0;
};

/// Limits of a connection.
struct ConnectionLimits {
  std::size_t write_queue_bytes = std::size_t{32} * 1024 * 1024;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration hello_timeout = std::chrono::seconds(3);
};

/// Opens a connection. A failed connect is reported by `on_closed` too.
/// @param address "IP:port".
std::shared_ptr<FrameConnection> connectFrames(const boost::asio::any_io_executor& executor,
                                               const std::string& address, Hello hello,
                                               FrameConnection::Callbacks callbacks,
                                               ConnectionLimits limits = {});

/// Accepts frame connections.
class FrameListener {
public:
  /// Returns the callbacks for one accepted connection, which is passed in.
  using AcceptHandler = std::function<FrameConnection::Callbacks(std::shared_ptr<FrameConnection>)>;
  virtual ~FrameListener() = default;
  /// @return the bound port (useful when port 0 was requested).
  virtual std::uint16_t port() const = 0;
  /// Stops accepting; open connections are unaffected.
  virtual void stop() = 0;
};

/// Listens on "IP:port"; port 0 lets the system choose.
/// @param hello creates the Hello for each connection, so that it holds current values.
/// @return the listener, or empty with `error` set.
std::unique_ptr<FrameListener> listenFrames(const boost::asio::any_io_executor& executor,
                                            const std::string& address, std::function<Hello()> hello,
                                            FrameListener::AcceptHandler on_accept, std::error_code& error,
                                            ConnectionLimits limits = {});

}  // namespace crankspur
