#include "router_process/router_settings.h"

namespace crankspur {

namespace {

constexpr Range<std::int64_t> kIntervalRange{50, 3'600'000};
constexpr std::int64_t kMaxIndexEntries = 100'000'000;
constexpr std::int64_t kMaxTrafficThreads = 64;
constexpr std::int64_t kMaxTableCalls = 1'000'000;

}  // namespace

RouterSettings readRouterSettings(std::string_view text, const std::string& file,
                                  std::vector<SettingsProblem>& problems) {
  RouterSettings settings;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) return settings;
  readNodeSettings(*root, settings);
  readAddress(*root, "advertise", settings.advertise);
  readAddresses(*root, "peers", settings.peers);
  settings.traffic_threads =
      static_cast<std::uint32_t>(root->getInteger("traffic_threads", 2, {1, kMaxTrafficThreads}));
  settings.index_entries =
      static_cast<std::size_t>(root->getInteger("index_entries", 1'000'000, {1'000, kMaxIndexEntries}));
  settings.table_calls_per_second =
      static_cast<std::uint32_t>(root->getInteger("table_calls_per_second", 400, {1, kMaxTableCalls}));
  readInterval(*root, "machine_list_interval_ms", settings.machine_list_interval, kIntervalRange);
  readInterval(*root, "bundle_row_interval_ms", settings.bundle_row_interval, kIntervalRange);
  readInterval(*root, "drain_limit_ms", settings.drain_limit, kIntervalRange);
  root->reportUnknownKeys();
  return settings;
}

std::string checkRouterSettings(const RouterSettings& settings) {
  std::string reason = checkNodeSettings(settings);
  if (reason.empty()) reason = checkAddresses("peers", settings.peers);
  if (reason.empty() && settings.peers.empty() && settings.platform.empty()) {
    reason = "neither platform nor peers is set: no engine could be found";
  }
  return reason;
}

}  // namespace crankspur
