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

/// A pipe of which one end is the log's descriptor.
class LogPipe {
public:
  LogPipe() { REQUIRE(::pipe(ends_.data()) == 0); }
  ~LogPipe() {
    closeReader();
    ::close(ends_[1]);
  }
  int writer() const { return ends_[1]; }
  void closeReader() {
    if (ends_[0] >= 0) ::close(ends_[0]);
    ends_[0] = -1;
  }
  /// @return everything that waits in the pipe.
  std::string readAll() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    while (true) {
      const ssize_t bytes = ::read(ends_[0], buffer.data(), buffer.size());
      if (bytes <= 0) return text;
      text.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
  }
  /// Reads until `text` has come.
  std::string readUntil(const std::string& text) {
    std::string all;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (all.find(text) == std::string::npos && std::chrono::steady_clock::now() < end) {
      all += readAll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return all;
  }

private:
  std::array<int, 2> ends_{-1, -1};
};

BoundedLogSettings settingsFor(const LogPipe& pipe) {
  BoundedLogSettings settings;
  settings.process.assign(1, 'p');
  settings.descriptor = pipe.writer();
  settings.batching = std::chrono::milliseconds(1);
  settings.last_flush = std::chrono::milliseconds(50);
  return settings;
}

/// Fills the pipe and the queue behind it with lines of requests that went well.
void flood(BoundedEventLog& log, int lines) {
  for (int line = 0; line < lines; ++line) {
    log.write(EventId::GatewayRequestAnswered, {{"request_id", line}, {"text", kLongText}});
  }
}

}  // namespace

TEST_CASE("a bounded log writes its lines in order, all of them when somebody reads", "[base][bounded_log]") {
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

TEST_CASE("a bounded log never waits for a reader and ends without one", "[base][bounded_log]") {
  LogPipe pipe;
  const auto began = std::chrono::steady_clock::now();
  {
    BoundedEventLog log(settingsFor(pipe));
    flood(log, 20'000);
    CHECK(log.dropped().routine > 0);
  }
  // 20,000 lines of 300 bytes; a blocked write would never return.
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(20));
}

TEST_CASE("a full queue drops lines of requests that went well before failures", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  flood(log, 20'000);
  REQUIRE(log.dropped().routine > 0);
  for (int line = 0; line < 20; ++line) log.write(EventId::GatewayRequestFailed, {{"request_id", line}});
  CHECK(log.dropped().notable == 0);
  // The reader comes back: the failures and the count of what is missing are there.
  const std::string last = "event=1226 name=GatewayRequestFailed level=warning request_id=19\n";
  const std::string text = pipe.readUntil(last);
  CHECK(text.find(last) != std::string::npos);
  CHECK(text.find("event=1006 name=LogLinesDropped") != std::string::npos);
  CHECK(text.find("notable=0") != std::string::npos);
}

TEST_CASE("even failures are bounded, and counted", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  for (int line = 0; line < 20'000; ++line) {
    log.write(EventId::GatewayRequestFailed, {{"request_id", line}, {"text", kLongText}});
  }
  CHECK(log.dropped().notable > 0);
}

TEST_CASE("a reader that is gone ends the writing, not the process", "[base][bounded_log]") {
  LogPipe pipe;
  BoundedEventLog log(settingsFor(pipe));
  pipe.closeReader();
  for (int line = 0; line < 100; ++line) {
    log.write(EventId::ProcessStarted, {{"name", line}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  SUCCEED("a broken pipe raised no signal");
}

TEST_CASE("lines of late can be asked for by a request's id, within a bound", "[base][bounded_log]") {
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
