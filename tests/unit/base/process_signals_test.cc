/// @file Signals that arrive faster than a program handles them.

#include "base/process_signals.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace crankspur;

namespace {

/// The signals in the order in which they were handled.
class Handled {
public:
  Handled() : signals_(context_) {
    signals_.setHandler([this](int signal) {
      numbers_.push_back(signal);
      if (on_signal_) on_signal_(signal);
    });
  }
  void onSignal(std::function<void(int)> handler) { on_signal_ = std::move(handler); }
  /// Handles what is pending, and what the handler sends.
  void run() {
    context_.restart();
    while (numbers_.size() < kMaxSignals && context_.poll_one() != 0) {
    }
  }
  const std::vector<int>& numbers() const { return numbers_; }
  bool contains(int signal) const {
    return std::find(numbers_.begin(), numbers_.end(), signal) != numbers_.end();
  }

private:
  static constexpr std::size_t kMaxSignals = 1'000;

  boost::asio::io_context context_;
  ProcessSignals signals_;
  std::vector<int> numbers_;
  std::function<void(int)> on_signal_;
};

void send(int signal) {
  ::kill(::getpid(), signal);
}

}  // namespace

// Guards against programs that do not stop: requests to reload arrive faster than they are handled, and each
// of them is handled before the request to stop that came with the first.
TEST_CASE("a request to stop is handled while requests to reload go on arriving", "[signals]") {
  const int stop = GENERATE(SIGTERM, SIGINT);
  Handled handled;
  handled.onSignal([&](int signal) {
    if (signal != SIGHUP || handled.contains(stop)) return;
    send(SIGHUP);
    send(SIGHUP);
  });
  for (const int signal : {SIGHUP, stop, SIGHUP, SIGHUP, SIGHUP, SIGHUP}) send(signal);
  handled.run();
  CHECK(handled.contains(stop));
  CHECK(handled.numbers().size() <= 3);
}

// Guards against programs that reload for minutes: each of the requests that arrived during one reload had a
// reload of its own.
TEST_CASE("requests to reload that arrive before one is handled are handled once", "[signals]") {
  Handled handled;
  for (int i = 0; i < 100; ++i) send(SIGHUP);
  handled.run();
  CHECK(handled.numbers() == std::vector<int>{SIGHUP});
  for (int i = 0; i < 100; ++i) send(SIGHUP);
  handled.run();
  CHECK(handled.numbers() == std::vector<int>{SIGHUP, SIGHUP});
}

// Guards against signals that are lost: they arrive while nothing handles them yet.
TEST_CASE("signals that arrive before they can be handled stay pending", "[signals]") {
  blockProcessSignals();
  send(SIGTERM);
  send(SIGINT);
  send(SIGHUP);
  Handled handled;
  handled.run();
  CHECK(handled.numbers().size() == 3);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) CHECK(handled.contains(signal));
}
