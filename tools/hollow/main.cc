/// @file crankspur_hollow: many hollow routers in one process, for the scale run (tools/scale/measure.sh).

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <vector>

#include "tools/hollow/hollow_node.h"

ABSL_FLAG(std::uint32_t, nodes, 10, "hollow routers in this process, 1 to 400");
ABSL_FLAG(std::uint32_t, first, 0, "number of the first one in the fleet; sets names, zones and regions");
ABSL_FLAG(std::uint32_t, regions, 4, "regions of the fleet");
ABSL_FLAG(std::uint32_t, zones, 11, "zones of the fleet, at least as many as regions");
ABSL_FLAG(std::string, platform, "", "IP:port of the platform; empty: none");
ABSL_FLAG(std::vector<std::string>, peers, {}, "routers to connect to at start, IP:port, comma-separated");
ABSL_FLAG(std::vector<std::string>, author_keys, {}, "public keys of bundle authors, base64");
ABSL_FLAG(std::vector<std::string>, approver_keys, {}, "public keys of bundle approvers, base64");
ABSL_FLAG(std::uint32_t, seconds, 600, "the process ends by itself after this time, 1 to 3600");

namespace {

using namespace crankspur;
using crankspur::scale::HollowNode;

constexpr int kUsageError = 2;
constexpr int kCannotListen = 3;
constexpr std::uint32_t kMostNodes = 400;
constexpr std::uint32_t kMostSeconds = 3600;
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

std::uint64_t wallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

RouterSettings settingsOf(std::uint32_t number) {
  const std::uint32_t regions = absl::GetFlag(FLAGS_regions);
  const std::uint32_t region = number % regions;
  const std::uint32_t all_zones = absl::GetFlag(FLAGS_zones);
  const std::uint32_t zones = all_zones / regions + (region < all_zones % regions ? 1 : 0);
  RouterSettings settings;
  settings.name = fmt::format("hollow-{:03}", number);
  settings.region = fmt::format("region-{}", region);
  settings.zone = fmt::format("zone-{}-{}", region, number / regions % zones);
  settings.listen = "127.0.0.1:0";
  settings.platform = absl::GetFlag(FLAGS_platform);
  settings.peers = absl::GetFlag(FLAGS_peers);
  settings.trusted_keys.authors = absl::GetFlag(FLAGS_author_keys);
  settings.trusted_keys.approvers = absl::GetFlag(FLAGS_approver_keys);
  return settings;
}

/// The nodes of this process, and what they report together.
class HollowProcess {
public:
  explicit HollowProcess(std::uint32_t seconds)
      : signals_(context_, SIGTERM, SIGINT), end_(context_), check_(context_) {
    end_.expires_after(std::chrono::seconds(seconds));
  }

  /// @return whether every node could listen.
  bool listen(std::uint32_t first, std::uint32_t count) {
    for (std::uint32_t index = 0; index < count; ++index) {
      nodes_.push_back(std::make_unique<HollowNode>(context_, settingsOf(first + index), wallMilliseconds()));
      if (nodes_.back()->listen()) return false;
    }
    return true;
  }

  void run() {
    const auto stop = [this](auto&&...) { context_.stop(); };
    signals_.async_wait(stop);
    end_.async_wait(stop);
    for (const auto& node : nodes_) node->start();
    check();
    context_.run();
  }

private:
  /// Prints a line when what all nodes agree on has changed, and the sums every tenth time.
  void check() {
    std::uint32_t fewest = ~0U;
    std::uint32_t most = 0;
    std::uint64_t bundle = ~std::uint64_t{0};
    std::uint32_t engines = 0;
    for (const auto& node : nodes_) {
      fewest = std::min(fewest, node->log().members());
      most = std::max(most, node->log().members());
      bundle = std::min(bundle, node->log().bundleVersion());
      engines = std::max(engines, node->log().liveEngines());
    }
    const std::string seen = fmt::format("{} {} {} {}", fewest, most, bundle, engines);
    if (seen != std::exchange(seen_, seen)) print("seen " + seen);
    if (++checks_ % 10 == 0) printCounts();
    check_.expires_after(kCheckInterval);
    check_.async_wait([this](boost::system::error_code error) {
      if (!error) check();
    });
  }

  void printCounts() const {
    PeerFrontCounts sum;
    for (const auto& node : nodes_) {
      const PeerFrontCounts counts = node->counts();
      sum.routers += counts.routers;
      sum.control_bytes_sent += counts.control_bytes_sent;
      sum.control_bytes_received += counts.control_bytes_received;
    }
    print(fmt::format("counts {} {} {}", sum.control_bytes_sent, sum.control_bytes_received, sum.routers));
  }

  static void print(const std::string& text) {
    fmt::print("{} {}\n", wallMilliseconds(), text);
    std::fflush(stdout);
  }

  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer end_;
  boost::asio::steady_timer check_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::string seen_;
  std::uint64_t checks_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs hollow routers (the router's control code on real sockets, no traffic). Prints \"listening "
      "NODES\", "
      "then lines of the wall clock in ms and \"seen FEWEST_MEMBERS MOST_MEMBERS OLDEST_BUNDLE "
      "MOST_LIVE_ENGINES\" "
      "at each change and \"counts SENT_BYTES RECEIVED_BYTES CONNECTIONS\" every second. Ends by itself.");
  absl::ParseCommandLine(argc, argv);
  const std::uint32_t nodes = absl::GetFlag(FLAGS_nodes);
  const std::uint32_t seconds = absl::GetFlag(FLAGS_seconds);
  const std::uint32_t regions = absl::GetFlag(FLAGS_regions);
  const bool usable = nodes >= 1 && nodes <= kMostNodes && seconds >= 1 && seconds <= kMostSeconds &&
                      regions >= 1 && absl::GetFlag(FLAGS_zones) >= regions;
  if (!usable) {
    fmt::print(stderr, "--nodes, --seconds, --regions or --zones is out of range; see --help\n");
    return kUsageError;
  }
  HollowProcess process(seconds);
  if (!process.listen(absl::GetFlag(FLAGS_first), nodes)) {
    fmt::print(stderr, "a port cannot be bound\n");
    return kCannotListen;
  }
  fmt::print("listening {}\n", nodes);
  std::fflush(stdout);
  process.run();
  return 0;
}
