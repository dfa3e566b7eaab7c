#pragma once
/// @file Internal to this package: the frame connection over a TCP socket.

#include <boost/asio/steady_timer.hpp>

#include "internal_protocol/connection.h"

namespace crankspur {

/// A frame connection with one pending read and at most one pending write, which sends all frames queued so
/// far.
class TcpFrameConnection : public FrameConnection {
public:
  TcpFrameConnection(boost::asio::ip::tcp::socket socket, Hello hello, ConnectionLimits limits);

  void setCallbacks(Callbacks callbacks);
  /// Starts the Hello exchange on a connected socket.
  void start();
  /// Connects the socket, then starts.
  void connect(const std::string& address);

  void send(const Message& message) override;
  void close(bool flush) override;
  std::string remoteAddress() const override;

private:
  enum class Phase {
    Connecting,     ///< Not connected yet.
    AwaitingHello,  ///< Waiting for the peer's Hello.
    Open,           ///< Both Hellos were exchanged.
    Closing,        ///< Writes the queued frames, then waits for the peer to close.
    Closed,
  };

  std::shared_ptr<TcpFrameConnection> self();
  bool isClosing() const;
  void setSocketOptions();
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void reserveReadSpace();
  void decodeFrames();
  void handleMessage(Message message);
  void handleHello(const Message& message);
  void closeWithProtocolError(ErrorCode code, const std::string& reason);
  void scheduleWrite();
  void write();
  void shutdownSend();
  void onWritten(boost::system::error_code error);
  void setTimer(Duration delay);
  void finish(std::error_code error);
  void notifyClosed(std::error_code error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Hello hello_;
  ConnectionLimits limits_;
  Callbacks callbacks_;
  std::string remote_address_;
  Phase phase_ = Phase::Connecting;
  std::error_code close_reason_;  ///< Reported by on_closed after a flushed close.
  // [begin_, end_) of buffer_ holds the received bytes that are not yet decoded.
  std::string buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  // Encoded frames: `writing_` is being written to the socket, `pending_` is written next.
  std::string writing_;
  std::string pending_;
  bool write_scheduled_ = false;
};

}  // namespace crankspur
