/// @file crankspur_scale: grows a fleet of hollow nodes and prints what control costs each of them.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include "tools/scale/hollow_fleet.h"

ABSL_FLAG(std::vector<std::string>, nodes, (std::vector<std::string>{"10", "40", "120", "340"}),
          "fleet sizes to run, smallest first");
ABSL_FLAG(double, loss, 0.05, "probability that a message between nodes is lost, 0 to 0.9");
ABSL_FLAG(std::uint32_t, bundle_bytes, 4096, "bytes of one bundle update as a node pulls it");
ABSL_FLAG(std::uint32_t, seconds, 60, "virtual seconds of steady state to measure");
ABSL_FLAG(std::uint32_t, part_seconds, 0,
          "virtual seconds for which the first of four regions is cut off at the end; 0: not");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of every random choice");

namespace {

using crankspur::Duration;
using crankspur::toSeconds;
using crankspur::scale::FleetOptions;
using crankspur::scale::HollowFleet;
using crankspur::scale::Traffic;

constexpr int kUsageError = 2;
constexpr std::uint32_t kMostNodes = 2000;
constexpr Duration kLimit = std::chrono::minutes(5);
constexpr int kBundles = 5;

double processorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t residentBytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Cuts a region off, heals the cut, and prints how long it takes until all know all again.
void measureCut(HollowFleet& fleet, std::uint32_t nodes, std::uint32_t part_seconds) {
  fleet.partRegion(true);
  const Duration noticed = fleet.runUntil([&fleet] { return fleet.sidesAgree(); }, kLimit);
  fleet.run(std::chrono::seconds(part_seconds) - noticed);
  fleet.takeTraffic();
  fleet.partRegion(false);
  const Duration rejoined = fleet.runUntil([&fleet] { return fleet.everyoneAgrees(); }, kLimit);
  const Traffic traffic = fleet.takeTraffic();
  fmt::print("cut,{},{},{},{:.2f},{:.2f},{:.0f},{}\n", nodes, fleet.regionSize(), part_seconds,
             toSeconds(noticed), toSeconds(rejoined),
             static_cast<double>(traffic.gossip_bytes) / nodes / toSeconds(rejoined),
             traffic.most_sent_by_node);
}

void measure(const FleetOptions& options, std::uint32_t seconds, std::uint32_t part_seconds) {
  const std::size_t resident_before = residentBytes();
  HollowFleet fleet(options);
  const Duration join = fleet.runUntil([&fleet] { return fleet.everyoneAgrees(); }, kLimit);
  const Traffic joining = fleet.takeTraffic();
  const std::size_t resident = residentBytes() - std::min(resident_before, residentBytes());
  fleet.run(std::chrono::seconds(30));
  fleet.takeTraffic();
  const double processor_before = processorSeconds();
  fleet.run(std::chrono::seconds(seconds));
  const double node_seconds = static_cast<double>(options.nodes) * seconds;
  const double processor = (processorSeconds() - processor_before) / node_seconds;
  const Traffic steady = fleet.takeTraffic();
  Duration slowest_bundle{0};
  for (std::uint64_t version = 1; version <= kBundles; ++version) {
    fleet.rollBundle(static_cast<std::uint32_t>(version % options.nodes), version);
    const auto held = [&fleet, version] { return fleet.allHold(version); };
    slowest_bundle = std::max(slowest_bundle, fleet.runUntil(held, kLimit));
  }
  if (part_seconds > 0) {
    measureCut(fleet, options.nodes, part_seconds);
    return;
  }
  fleet.kill(options.nodes - 1);
  const Duration death = fleet.runUntil([&fleet] { return fleet.everyoneAgrees(); }, kLimit);
  fmt::print("{},{:.2f},{:.1f},{:.0f},{:.4f},{},{:.2f},{:.2f},{:.0f},{}\n", options.nodes, toSeconds(join),
             static_cast<double>(steady.gossip_messages) / node_seconds,
             static_cast<double>(steady.gossip_bytes) / node_seconds, processor * 100,
             resident / options.nodes, toSeconds(slowest_bundle), toSeconds(death),
             static_cast<double>(joining.gossip_bytes) / options.nodes / toSeconds(join),
             joining.most_sent_by_node);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs fleets of hollow nodes (product membership and codec, virtual clock, no sockets) and prints one "
      "CSV row "
      "a size.");
  absl::ParseCommandLine(argc, argv);
  FleetOptions options;
  options.message_loss = absl::GetFlag(FLAGS_loss);
  options.bundle_bytes = absl::GetFlag(FLAGS_bundle_bytes);
  options.seed = absl::GetFlag(FLAGS_seed);
  if (options.message_loss < 0 || options.message_loss > 0.9) {
    fmt::print(stderr, "--loss must be 0 to 0.9\n");
    return kUsageError;
  }
  fmt::print(
      "nodes,join_s,messages_per_node_s,bytes_per_node_s,processor_percent,resident_bytes_per_node,"
      "slowest_bundle_s,death_known_s,"
      "join_bytes_per_node_s,join_most_bytes_in_a_second\n");
  const std::uint32_t part_seconds = absl::GetFlag(FLAGS_part_seconds);
  if (part_seconds > 0) {
    fmt::print("cut,nodes,cut_off,parted_s,noticed_s,rejoined_s,bytes_per_node_s,most_bytes_in_a_second\n");
  }
  for (const std::string& text : absl::GetFlag(FLAGS_nodes)) {
    options.nodes = static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
    if (options.nodes < 2 || options.nodes > kMostNodes) {
      fmt::print(stderr, "--nodes takes numbers from 2 to {}, not '{}'\n", kMostNodes, text);
      return kUsageError;
    }
    measure(options, absl::GetFlag(FLAGS_seconds), part_seconds);
  }
  return 0;
}
