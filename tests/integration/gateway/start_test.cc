/// @file Starts of the gateway program, at which signals, the settings file and addresses may be late or
/// early.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

#include "integration/process.h"

using namespace crankspur::testing;

namespace {

constexpr std::uint16_t kFront = 7001;
constexpr std::uint16_t kReadiness = 7002;
constexpr std::uint16_t kDirectory = 7003;
constexpr std::uint16_t kMetrics = 7004;
constexpr std::uint16_t kGossip = 7005;
constexpr std::chrono::microseconds kReloadInterval{200};

/// Loopback address that no other test process uses, so that its ports are free.
std::string ownHost() {
  const int id = ::getpid();
  return "127." + std::to_string(100 + (id >> 16) % 100) + "." + std::to_string(id >> 8 & 255) + "." +
         std::to_string(1 + id % 254);
}

std::string at(std::uint16_t port) {
  return ownHost() + ":" + std::to_string(port);
}

/// @return settings of a gateway whose platform cannot be reached.
std::string settingsText() {
  return "name = \"g\"\nzone = \"z\"\nplatform = \"" + at(1) + "\"\nfront = \"" + at(kFront) +
         "\"\nreadiness = \"" + at(kReadiness) + "\"\ndirectory = \"" + at(kDirectory) + "\"\nmetrics = \"" +
         at(kMetrics) + "\"\ngossip = \"" + at(kGossip) + "\"\n";
}

/// A socket bound to a port of ownHost(), listening if it is a TCP socket.
class HeldPort {
public:
  HeldPort(std::uint16_t port, int type) : descriptor_(::socket(AF_INET, type, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ownHost().c_str(), &address.sin_addr);
    bound_ = ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    if (type == SOCK_STREAM) ::listen(descriptor_, 1);
  }
  ~HeldPort() { ::close(descriptor_); }
  HeldPort(const HeldPort&) = delete;
  HeldPort& operator=(const HeldPort&) = delete;
  bool bound() const { return bound_; }

private:
  int descriptor_;
  bool bound_ = false;
};

/// The gateway program with the settings file of the test.
class Start {
public:
  Process& run(std::vector<std::string> flags = {}) {
    flags.push_back("--settings=" + path());
    process_ = std::make_unique<Process>("crankspur_gateway", flags, folder_ + "/log");
    return *process_;
  }
  std::string path() const { return folder_ + "/settings.toml"; }
  /// @return whether the readiness address responds before the process ends, within 20 s.
  bool responds(std::uint16_t port = kReadiness) {
    return eventually([&] { return !process_->running() || isListening(port); }, std::chrono::seconds(20)) &&
           process_->running();
  }
  /// @return whether the process survives for `time`.
  bool survives(std::chrono::milliseconds time) {
    return !eventually([&] { return !process_->running(); }, time);
  }

private:
  static bool isListening(std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ownHost().c_str(), &address.sin_addr);
    const bool connected =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return connected;
  }

  std::string folder_ = makeScratchFolder();
  std::unique_ptr<Process> process_;
};

/// A named pipe as the settings file: the program that reads it waits until the test provides the text.
class SettingsPipe {
public:
  explicit SettingsPipe(const std::string& path) : path_(path) {
    ::signal(SIGPIPE, SIG_IGN);  // The reader may have ended.
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  }
  /// Waits until a program reads, calls `action`, and then provides the text.
  template <typename Action>
  void writeAfter(Action action, const std::string& text) {
    const int descriptor = ::open(path_.c_str(), O_WRONLY);
    action();
    CHECK(::write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(descriptor);
  }
  /// Replaces the pipe by a regular file.
  void becomeFile(const std::string& text) {
    const std::string file = path_ + ".new";
    writeText(file, text);
    std::filesystem::rename(file, path_);
  }

private:
  std::string path_;
};

}  // namespace

// Guards against processes that end when the platform tells them of changed settings before they have
// installed their signal handlers: the default action of SIGHUP is to end the process.
TEST_CASE("a gateway survives a reload that is requested before it has read its settings",
          "[gateway][start]") {
  Start start;
  SettingsPipe pipe(start.path());
  Process& process = start.run();
  pipe.writeAfter(
      [&] {
        process.signal(SIGHUP);
        CHECK(start.survives(std::chrono::milliseconds(100)));
        pipe.becomeFile(settingsText());
      },
      settingsText());
  CHECK(start.responds());
  process.signal(SIGTERM);
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}

// Guards against the same before the program has created its handlers: --check creates none, so that only the
// mask that is set before `main` keeps the signal from ending the process.
TEST_CASE("a signal before the handlers of a gateway exist does not end it", "[gateway][start]") {
  const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
  Start start;
  SettingsPipe pipe(start.path());
  Process& process = start.run({"--check"});
  pipe.writeAfter(
      [&] {
        process.signal(number);
        CHECK(start.survives(std::chrono::milliseconds(100)));
      },
      settingsText());
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}

// Guards against processes that end by the signal itself when they are told to stop while they start.
TEST_CASE("a gateway that is stopped before it has read its settings ends with status 0",
          "[gateway][start]") {
  Start start;
  SettingsPipe pipe(start.path());
  Process& process = start.run();
  pipe.writeAfter(
      [&] {
        process.signal(SIGTERM);
        CHECK(start.survives(std::chrono::milliseconds(100)));
        pipe.becomeFile("");
      },
      "");
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}

// Guards against processes that end because their settings file is being written when they start: it is
// absent, empty or cut off at any byte for a moment.
TEST_CASE("a gateway waits for a settings file that is being written", "[gateway][start]") {
  Start start;
  const std::string text = settingsText();
  const std::string early = GENERATE_COPY(
      std::string("absent"), std::string(), text.substr(0, 30), text.substr(0, text.find("gossip")),
      text.substr(0, text.size() - 3), "last_key = \"complete\"\n" + text);
  INFO("at the start: " << early);
  if (early != "absent") writeText(start.path(), early);
  start.run();
  CHECK(start.survives(std::chrono::milliseconds(300)));
  writeText(start.path(), text);
  CHECK(start.responds());
}

// Guards against processes that end because another socket holds one of their addresses for a moment: that of
// a process that is still ending, or a connection that was given the port as its local one.
TEST_CASE("a gateway waits for an address that another socket holds", "[gateway][start]") {
  Start start;
  writeText(start.path(), settingsText());
  const std::uint16_t port = GENERATE(kFront, kReadiness, kDirectory, kMetrics, kGossip);
  const int type = GENERATE(SOCK_STREAM, SOCK_DGRAM);
  if (type == SOCK_DGRAM && port != kGossip) return;
  INFO("port " << port << " type " << type);
  {
    const HeldPort held(port, type);
    REQUIRE(held.bound());
    start.run();
    CHECK(start.survives(std::chrono::milliseconds(700)));
  }
  CHECK(start.responds(port));
  CHECK(start.responds(kReadiness));
}

// Guards against gateways that serve nobody for want of metrics: the metrics port is the same for all
// deployments of a machine.
TEST_CASE("a gateway serves while another process holds its metrics address", "[gateway][start]") {
  Start start;
  writeText(start.path(), settingsText());
  const HeldPort held(kMetrics, SOCK_STREAM);
  REQUIRE(held.bound());
  Process& process = start.run();
  CHECK(start.responds(kReadiness));
  CHECK(start.responds(kFront));
  process.signal(SIGTERM);
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}

// Guards against processes that end by a signal, or do not end at all, when they are stopped while they wait
// for an address.
TEST_CASE("a gateway that is stopped while it waits for an address ends with status 0", "[gateway][start]") {
  Start start;
  writeText(start.path(), settingsText());
  const HeldPort held(kFront, SOCK_STREAM);
  REQUIRE(held.bound());
  Process& process = start.run();
  CHECK(start.responds(kReadiness));
  process.signal(SIGHUP);
  CHECK(start.survives(std::chrono::milliseconds(100)));
  process.signal(SIGTERM);
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}

// Guards against processes that end by a signal while they are being destroyed: the handlers must stay until
// the end.
TEST_CASE("a gateway that gets reload requests until its end ends with status 0", "[gateway][start]") {
  Start start;
  writeText(start.path(), settingsText());
  Process& process = start.run();
  REQUIRE(start.responds());
  process.signal(SIGTERM);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (process.running() && std::chrono::steady_clock::now() < end) {
    process.signal(SIGHUP);
    std::this_thread::sleep_for(kReloadInterval);
  }
  CHECK(process.wait(std::chrono::seconds(1)) == 0);
}

// Guards against processes that end by a signal which means nothing to them: its default action is to end the
// process.
TEST_CASE("a gateway survives signals that mean nothing to it", "[gateway][start]") {
  const int number = GENERATE(SIGPIPE, SIGALRM, SIGUSR1, SIGUSR2);
  INFO("signal " << number);
  Start start;
  writeText(start.path(), settingsText());
  Process& process = start.run();
  REQUIRE(start.responds());
  process.signal(number);
  CHECK(start.survives(std::chrono::milliseconds(100)));
  process.signal(SIGTERM);
  CHECK(process.wait(std::chrono::seconds(20)) == 0);
}
