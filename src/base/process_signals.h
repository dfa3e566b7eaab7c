#pragma once
/// @file The signals that a program handles: SIGTERM, SIGINT and SIGHUP. By default each of them ends the
/// process, also one that only asks to reload the settings. They are therefore blocked, and stay pending,
/// whenever no handler is installed: from the first instruction of the program on (early_signals.cc) and
/// while it is being destroyed.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace crankspur {

/// Blocks the signals in the calling thread and in the threads that it starts from now on.
void blockProcessSignals();

/// Ignores the signals that mean nothing to a program and end it by default: SIGPIPE, SIGALRM, SIGUSR1 and
/// SIGUSR2. Log rotation and other tools send them to any process.
void ignoreUnusedSignals();

/// Handles the signals on an event loop. To be created on the thread that runs the loop, before other threads
/// if blockProcessSignals() was not called before.
class ProcessSignals {
public:
  /// Installs handlers and unblocks the signals. Those that were pending are delivered once the loop runs.
  explicit ProcessSignals(boost::asio::io_context& context);
  /// Blocks the signals again, so that none ends the process during the rest of its destruction.
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  /// Replaces the function that is called with the number of each signal.
  void setHandler(std::function<void(int)> handler) { handler_ = std::move(handler); }

private:
  void wait();

  boost::asio::signal_set signals_;
  std::function<void(int)> handler_;
};

}  // namespace crankspur
