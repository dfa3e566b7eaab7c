#pragma once
/// @file The signals that a program handles: SIGTERM, SIGINT and SIGHUP. By default each of them ends the
/// process, also one that only asks to reload the settings. They are therefore blocked in all threads from
/// the first instruction of the program on (early_signals.cc). The event loop reads those that are pending
/// from descriptors (signalfd(2)).

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>

namespace crankspur {

/// Blocks the signals in the calling thread and in the threads that it starts from now on.
void blockProcessSignals();

/// Ignores the signals that mean nothing to a program and end it by default: SIGPIPE, SIGALRM, SIGUSR1 and
/// SIGUSR2. Log rotation and other tools send them to any process.
void ignoreUnusedSignals();

/// Handles the signals on an event loop. A signal that arrives again before it is handled is handled once,
/// and no number of requests to reload delays a request to stop.
class ProcessSignals {
public:
  /// Blocks the signals, in case blockProcessSignals() was not called. To be created before other threads.
  /// Signals that are pending already are handled once the loop runs.
  /// @throws boost::system::system_error if the process has no descriptors left.
  explicit ProcessSignals(boost::asio::io_context& context);
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  /// Replaces the function that is called with the number of each signal.
  void setHandler(std::function<void(int)> handler) { handler_ = std::move(handler); }

private:
  using Descriptor = boost::asio::posix::stream_descriptor;
  void wait(Descriptor& descriptor);
  void handlePending(Descriptor& descriptor);

  /// One for each signal. One for all would return the lowest number first, which is SIGHUP.
  std::array<Descriptor, 3> descriptors_;
  std::function<void(int)> handler_;
};

}  // namespace crankspur
