#include "router_process/router_settings.h"

#include "base/endpoint.h"

namespace crankspur {

namespace {

constexpr Range<std::int64_t> kIntervalRange{50, 3'600'000};
constexpr std::int64_t kMaximumIndexEntries = 100'000'000;
constexpr std::int64_t kMaximumTrafficThreads = 64;
constexpr std::int64_t kMaximumTableCalls = 1'000'000;

void readLog(TomlTable& root, RouterSettings& settings) {
  const std::string format = root.getString("log_format", "key_value");
  if (format == "json") {
    settings.log_format = LogFormat::Json;
  } else if (format != "key_value") {
    root.report("log_format", "must be key_value or json");
  }
  const std::string level = root.getString("log_level", "info");
  if (level == "debug") {
    settings.log_level = LogLevel::Debug;
  } else if (level == "warning") {
    settings.log_level = LogLevel::Warning;
  } else if (level == "error") {
    settings.log_level = LogLevel::Error;
  } else if (level != "info") {
    root.report("log_level", "must be debug, info, warning or error");
  }
}

void readInterval(TomlTable& root, const std::string& key, Duration& value) {
  const auto fallback = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  value = std::chrono::milliseconds(root.getInteger(key, fallback, kIntervalRange));
}

bool isAddress(const std::string& address) {
  boost::system::error_code error;
  parseEndpoint(address, error);
  return !error;
}

void readAddress(TomlTable& root, const std::string& key, std::string& value) {
  value = root.getString(key, value);
  if (!value.empty() && !isAddress(value)) root.report(key, "must be IP:port");
}

}  // namespace

RouterSettings readRouterSettings(std::string_view text, const std::string& file,
                                  std::vector<SettingsProblem>& problems) {
  RouterSettings settings;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) return settings;
  settings.name = root->getString("name", "");
  settings.zone = root->getString("zone", "");
  settings.region = root->getString("region", "");
  readAddress(*root, "listen", settings.listen);
  readAddress(*root, "admin", settings.admin);
  readAddress(*root, "advertise", settings.advertise);
  readAddress(*root, "platform", settings.platform);
  settings.peers = root->getStrings("peers");
  for (const std::string& peer : settings.peers) {
    if (!isAddress(peer)) root->report("peers", "must be a list of IP:port");
  }
  settings.traffic_threads =
      static_cast<std::uint32_t>(root->getInteger("traffic_threads", 2, {1, kMaximumTrafficThreads}));
  settings.index_entries =
      static_cast<std::size_t>(root->getInteger("index_entries", 1'000'000, {1'000, kMaximumIndexEntries}));
  settings.table_calls_per_second =
      static_cast<std::uint32_t>(root->getInteger("table_calls_per_second", 400, {1, kMaximumTableCalls}));
  readInterval(*root, "machine_list_interval_ms", settings.machine_list_interval);
  readInterval(*root, "bundle_row_interval_ms", settings.bundle_row_interval);
  readInterval(*root, "drain_limit_ms", settings.drain_limit);
  const auto keys = root->getTable("trusted_keys");
  settings.trusted_keys.authors = keys->getStrings("authors");
  settings.trusted_keys.approvers = keys->getStrings("approvers");
  readLog(*root, settings);
  root->finish();
  return settings;
}

std::string checkRouterSettings(const RouterSettings& settings) {
  if (settings.name.empty()) return "name is missing: set it in the settings file or with --name";
  if (settings.zone.empty()) return "zone is missing: set it in the settings file or with --zone";
  if (settings.region.empty()) return "region is missing: set it in the settings file or with --region";
  for (const std::string& address : {settings.listen, settings.admin}) {
    if (!isAddress(address)) return "\"" + address + "\" is not IP:port";
  }
  if (!settings.platform.empty() && !isAddress(settings.platform)) return "platform must be IP:port";
  if (settings.peers.empty() && settings.platform.empty()) {
    return "neither platform nor peers is set: no engine could be found";
  }
  if (settings.trusted_keys.authors.empty() || settings.trusted_keys.approvers.empty()) {
    return "trusted_keys must name at least one author and one approver";
  }
  return {};
}

}  // namespace crankspur
