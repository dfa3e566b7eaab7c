#include "base/process_signals.h"

#include <pthread.h>

#include <array>
#include <csignal>

namespace crankspur {
namespace {

constexpr std::array kSignals{SIGTERM, SIGINT, SIGHUP};

void changeMask(int how) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : kSignals) sigaddset(&set, signal);
  pthread_sigmask(how, &set, nullptr);
}

}  // namespace

void blockProcessSignals() {
  changeMask(SIG_BLOCK);
}

void ignoreUnusedSignals() {
  for (const int signal : {SIGPIPE, SIGALRM, SIGUSR1, SIGUSR2}) ::signal(signal, SIG_IGN);
}

ProcessSignals::ProcessSignals(boost::asio::io_context& context) : signals_(context) {
  for (const int signal : kSignals) signals_.add(signal);
  wait();
  changeMask(SIG_UNBLOCK);
}

ProcessSignals::~ProcessSignals() {
  blockProcessSignals();
}

void ProcessSignals::wait() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (handler_) handler_(signal);
    wait();
  });
}

}  // namespace crankspur
