#pragma once
/// @file Internal to this package: the frame connection over a TCP socket.

#include <boost/asio/steady_timer.hpp>

#include "internal_protocol/connection.h"

namespace crankspur {

/// A frame connection: one pending read, at most one pending write that carries every frame queued so far.
class TcpFrameConnection : public FrameConnection {
public:
  TcpFrameConnection(boost::asio::ip::tcp::socket socket, Hello hello, ConnectionLimits limits);

  void setCallbacks(Callbacks callbacks);
  /// Starts on a connected socket.
  void start();
  /// Connects first, then starts.
  void connect(const std::string& address);

  void send(const Message& message) override;
  void close(bool flush) override;
  std::string remoteAddress() const override;

private:
  enum class Phase {
    Connecting,  ///< Not connected yet.
    Greeting,    ///< Waits for the peer's Hello.
    Open,        ///< Both Hellos were exchanged.
    Closing,     ///< Writes what is queued, then waits for the peer to close.
    Closed,
  };

  std::shared_ptr<TcpFrameConnection> self();
  bool isEnding() const;
  void setSocketOptions();
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void makeRoom();
  void takeFrames();
  void take(Message message);
  void takeHello(const Message& message);
  void refuse(ErrorCode code, const std::string& reason);
  void scheduleWrite();
  void write();
  void finishSending();
  void onWritten(boost::system::error_code error);
  void setTimer(Duration delay);
  void end(std::error_code error);
  void reportEnd(std::error_code error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Hello hello_;
  ConnectionLimits limits_;
  Callbacks callbacks_;
  std::string remote_address_;
  Phase phase_ = Phase::Connecting;
  std::error_code close_reason_;  ///< What on_closed says after a flushed close.
  // Received bytes: [begin_, end_) of buffer_ are not yet decoded.
  std::string buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  // Frames: `writing_` is with the socket, `pending_` follows.
  std::string writing_;
  std::string pending_;
  bool write_scheduled_ = false;
};

}  // namespace crankspur
