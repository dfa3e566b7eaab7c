#include "base/bounded_event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

using namespace crankspur;

namespace {

constexpr std::string_view kLongText =
    "a text as long as the fields of a line of a request, which name its route, its back end, its weights, "
    "the cause of "
    "its end, the ages of what was known, and the times that it took from its first byte to its last one";

/// A pipe whose write end is the log's descriptor.
class LogPipe {
public:
  LogPipe() { REQUIRE(::pipe(descriptors_.data()) == 0); }
  ~LogPipe() {
    closeReader();
    ::close(descriptors_[1]);
  }
  int writer() const { return descriptors_[1]; }
  void closeReader() {
    if (descriptors_[0] >= 0) ::close(descriptors_[0]);
    descriptors_[0] = -1;
  }
  /// @return all data buffered in the pipe.
  std::string readAll() {
    ::fcntl(descriptors_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    while (true) {
      const ssize_t bytes = ::read(descriptors_[0], buffer.data(), buffer.size());
      if (bytes <= 0) return text;
      text.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
  }
  /// Reads until `text` has been received or 20 seconds have passed.
  std::string readUntil(const std::string& text) {
    std::string received;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received.find(text) == std::string::npos && std::chrono::steady_clock::now() < end) {
      received += readAll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return received;
  }

private:
  std::array<int, 2> descriptors_{-1, -1};
};

BoundedLogSettings settingsFor(const LogPipe& pipe) {
  BoundedLogSettings settings;
  settings.process.assign(1, 'p');
  settings.descriptor = pipe.writer();
  settings.batch_interval = std::chrono::milliseconds(1);
  settings.final_flush_timeout = std::chrono::milliseconds(50);
  return settings;
}

/// Fills the pipe and the log's queue with lines of successful requests.
void flood(BoundedEventLog& log, int lines) {
  for (int line = 0; line < lines; ++line) {
    log.write(EventId::GatewayRequestAnswered, {{"request_id", line}, {"text", kLongText}});
  }
}

/// Writes the line of a start, and then as a process that fails the one on the cause.
void failAfterStart(BoundedEventLog& log) {
  log.write(EventId::ProcessStarted, {{"name", "first"}});
  log.writeBeforeFailure(EventId::ProcessFailed, {{"what", "second"}});
  log.flushBeforeFailure();
}

}  // namespace

// Guards against a failing process that does not end because nobody reads its log.
TEST_CASE("the lines of a failing process are written while there is a reader, without waiting for one",
          "[base][bounded_log]") {
  LogPipe pipe;
  BoundedLogSettings settings = settingsFor(pipe);
  settings.batch_interval = std::chrono::seconds(20);
  BoundedEventLog log(settings);
  failAfterStart(log);
  const std::string written = pipe.readAll();
  CHECK(written.find("first") != std::string::npos);
  CHECK(written.find("second") != std::string::npos);
  flood(log, 2'000);
  const auto start = std::chrono::steady_clock::now();
  log.flushBeforeFailure();
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

// Guards against a process that ends without a line on its cause: the writer thread, which the line before
// has woken, held the lock for an instant.
TEST_CASE("the cause of a failure is written although the writer thread is just waking",
          "[base][bounded_log]") {
  for (int run = 0; run < 1'000; ++run) {
    LogPipe pipe;
    BoundedLogSettings settings = settingsFor(pipe);
    settings.batch_interval = std::chrono::seconds(20);
    BoundedEventLog log(settings);
    failAfterStart(log);
    REQUIRE(pipe.readAll().find("second") != std::string::npos);
  }
}

TEST_CASE("a bounded log writes all lines in order while there is a reader", "[base][bounded_log]") {
  LogPipe pipe;
  {
    BoundedEventLog log(settingsFor(pipe));
    log.write(EventId::ProcessStarted, {{"name", "n"}});
    log.write(EventId::ProcessStopped, {});
  }
  const std::string text = pipe.readAll();
  const std::size_t first = text.find("event=1001 name=ProcessStarted level=info name=n\n");
  const std::size_t second = text.find("event=1003 name=ProcessStopped");
  REQUIRE(first != std::string::npos);
  REQUIRE(second != std::string::npos);
  CHECK(first < second);
}

TEST_CASE("a bounded log neither blocks its callers nor its destructor without a reader",
          "[base][bounded_log]") {
  LogPipe pipe;
  const auto start = std::chrono::steady_clock::now();
  {
    BoundedEventLog log(settingsFor(pipe));
    flood(log, 20'000);
    CHECK(log.dropped().routine > 0);
  }
  // 20,000 lines of 300 bytes exceed pipe and queue; a blocking write would never return.
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
}

TEST_CASE("a full queue drops lines of successful requests before lines of failures", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  flood(log, 20'000);
  REQUIRE(log.dropped().routine > 0);
  for (int line = 0; line < 20; ++line) log.write(EventId::GatewayRequestFailed, {{"request_id", line}});
  CHECK(log.dropped().notable == 0);
  // When the reader resumes, it receives the failures and the number of dropped lines.
  const std::string last = "event=1226 name=GatewayRequestFailed level=warning request_id=19\n";
  const std::string text = pipe.readUntil(last);
  CHECK(text.find(last) != std::string::npos);
  CHECK(text.find("event=1006 name=LogLinesDropped") != std::string::npos);
  CHECK(text.find("notable=0") != std::string::npos);
}

TEST_CASE("lines of failures are bounded too, and counted when dropped", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  for (int line = 0; line < 20'000; ++line) {
    log.write(EventId::GatewayRequestFailed, {{"request_id", line}, {"text", kLongText}});
  }
  CHECK(log.dropped().notable > 0);
}

TEST_CASE("a closed reader stops the writer thread, not the process", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  pipe.closeReader();
  for (int line = 0; line < 100; ++line) {
    log.write(EventId::ProcessStarted, {{"name", line}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  SUCCEED("a broken pipe raised no signal");
}

TEST_CASE("recent lines can be queried by request id, within a bound", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedLogSettings settings = settingsFor(pipe);
  settings.recent_bytes = 4096;
  BoundedEventLog log(settings);
  log.write(EventId::GatewayRequestAdmitted, {{"request_id", "abc"}, {"route", "r"}});
  log.write(EventId::GatewayRequestAdmitted, {{"request_id", "abcd"}, {"route", "r"}});
  REQUIRE(log.recentLines("request_id=abc ").size() == 1);
  flood(log, 100);
  CHECK(log.recentLines("request_id=abc ").empty());
  CHECK(log.recentLines("request_id=99 ").size() == 1);
}
