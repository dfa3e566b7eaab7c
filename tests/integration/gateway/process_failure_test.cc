/// @file Guards against processes that end without a trace: by an exception that nothing handles or by a
/// fatal signal, with lines in the queue of the log.

#include "base/process_failure.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace crankspur;

namespace {

/// How a process ended, and what it wrote to its log and to standard error.
struct EndedProcess {
  int signal = 0;
  std::string output;
};

std::string readAll(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 1; count > 0;) {
    count = ::read(descriptor, buffer.data(), buffer.size());
    if (count > 0) text.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return text;
}

/// Runs `fail` in a process of its own that has written one line to its log.
EndedProcess runUntilFailure(const std::function<void()>& fail) {
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(pipe[1], STDERR_FILENO);
    for (const int signal : {SIGABRT, SIGSEGV}) ::signal(signal, SIG_DFL);  // The test program has handlers.
    installFailureHandlers();
    BoundedLogSettings settings;
    settings.process = "failing";
    settings.descriptor = pipe[1];
    settings.batch_interval = std::chrono::seconds(20);
    BoundedEventLog log(settings);
    const FailureReport report(log);
    log.write(EventId::ProcessStarted, {{"name", "failing"}});
    fail();
    ::_exit(0);
  }
  ::close(pipe[1]);
  EndedProcess ended;
  ended.output = readAll(pipe[0]);
  ::close(pipe[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  if (WIFSIGNALED(status)) ended.signal = WTERMSIG(status);
  return ended;
}

void throwUnhandled() {
  std::thread([] { throw std::runtime_error("the reason"); }).join();
}

}  // namespace

TEST_CASE("a process that ends by an exception writes its queued lines and the exception",
          "[process_failure]") {
  const EndedProcess ended = runUntilFailure([] { throwUnhandled(); });
  INFO(ended.output);
  CHECK(ended.signal == SIGABRT);
  CHECK(ended.output.find("ProcessStarted") != std::string::npos);
  CHECK(ended.output.find("ProcessFailed") != std::string::npos);
  CHECK(ended.output.find("the reason") != std::string::npos);
}

TEST_CASE("a process that ends by a fatal signal writes its queued lines and the signal",
          "[process_failure]") {
  const EndedProcess ended = runUntilFailure([] { ::raise(SIGSEGV); });
  INFO(ended.output);
  CHECK(ended.signal == SIGSEGV);
  CHECK(ended.output.find("ProcessStarted") != std::string::npos);
  CHECK(ended.output.find("SIGSEGV") != std::string::npos);
}
