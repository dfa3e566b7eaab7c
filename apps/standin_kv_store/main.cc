/// @file Stand-in for the KV-cache store. Prints "listening PORT".

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

#include "base/event_log.h"
#include "command_line/command_line.h"
#include "standins/kv_store/kv_store_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port to listen on; port 0 lets the system choose");
ABSL_FLAG(std::uint32_t, capacity_blocks, 1'000'000,
          "maximum number of blocks; the least recently used are evicted first");

namespace {

using namespace crankspur;
using namespace crankspur::standin;

constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

}  // namespace

int main(int argc, char** argv) {
  parseCommandLine(
      "standin_kv_store",
      "Stands in for a KV-cache store in tests: POST /v1/kv/put and /v1/kv/get. Prints \"listening "
      "PORT\".",
      argc, argv);

  StderrEventLog log("standin_kv_store", LogFormat::KeyValue, LogLevel::Info);
  const std::uint32_t capacity = absl::GetFlag(FLAGS_capacity_blocks);
  if (capacity == 0) {
    log.write(EventId::SettingsRefused, {{"key", "capacity_blocks"}, {"reason", "must be above 0"}});
    return kExitUsage;
  }
  boost::asio::io_context context(1);
  KvStoreModel model(capacity, static_cast<std::uint64_t>(::getpid()));
  std::error_code error;
  const auto server = serveKvStore(context.get_executor(), absl::GetFlag(FLAGS_listen), model, error);
  if (error) {
    log.write(EventId::SettingsRefused,
              {{"key", "listen"}, {"value", absl::GetFlag(FLAGS_listen)}, {"reason", error.message()}});
    return kExitCannotListen;
  }
  fmt::print("listening {}\n", server->port());
  std::fflush(stdout);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
