#include "base/process_signals.h"

#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <csignal>

namespace crankspur {
namespace {

/// @return a descriptor that is readable while `signal` is pending.
int openDescriptor(int signal) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, signal);
  const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor < 0) throw boost::system::system_error(errno, boost::system::system_category(), "signalfd");
  return descriptor;
}

}  // namespace

void blockProcessSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void ignoreUnusedSignals() {
  for (const int signal : {SIGPIPE, SIGALRM, SIGUSR1, SIGUSR2}) ::signal(signal, SIG_IGN);
}

ProcessSignals::ProcessSignals(boost::asio::io_context& context)
    : descriptors_{Descriptor(context, openDescriptor(SIGTERM)), Descriptor(context, openDescriptor(SIGINT)),
                   Descriptor(context, openDescriptor(SIGHUP))} {
  blockProcessSignals();
  for (Descriptor& descriptor : descriptors_) wait(descriptor);
}

void ProcessSignals::wait(Descriptor& descriptor) {
  descriptor.async_wait(Descriptor::wait_read, [this, &descriptor](boost::system::error_code error) {
    if (error) return;
    handlePending(descriptor);
    wait(descriptor);
  });
}

void ProcessSignals::handlePending(Descriptor& descriptor) {
  signalfd_siginfo info{};
  if (::read(descriptor.native_handle(), &info, sizeof(info)) != sizeof(info)) return;
  if (handler_) handler_(static_cast<int>(info.ssi_signo));
}

}  // namespace crankspur
