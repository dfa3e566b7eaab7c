#include "sidecar/sidecar_settings.h"

namespace crankspur {

namespace {

constexpr std::int64_t kMegabyte = std::int64_t{1} << 20U;

void readLog(TomlTable& root, SidecarSettings& settings) {
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

void readLimits(TomlTable& limits, SidecarSettings& settings) {
  const auto readSize = [&limits](const char* key, std::size_t& value, std::int64_t highest) {
    value = static_cast<std::size_t>(limits.getInteger(key, static_cast<std::int64_t>(value), {1, highest}));
  };
  readSize("max_requests", settings.max_requests, 1'000'000);
  readSize("connections", settings.connections, 1'000'000);
  readSize("slow_caller_bytes", settings.slow_caller_bytes, 256 * kMegabyte);
  // A submit must fit into one frame with its prompt.
  readSize("request_bytes", settings.request_bytes, 6 * kMegabyte);
  settings.default_deadline =
      std::chrono::milliseconds(limits.getInteger("default_deadline_ms", 60'000, {1, 3'600'000}));
}

}  // namespace

SidecarSettings readSidecarSettings(std::string_view text, const std::string& file,
                                    std::vector<SettingsProblem>& problems) {
  SidecarSettings settings;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) return settings;
  settings.name = root->getString("name", "");
  settings.zone = root->getString("zone", "");
  settings.region = root->getString("region", "");
  settings.listen = root->getString("listen", settings.listen);
  settings.admin = root->getString("admin", settings.admin);
  settings.routers = root->getStrings("routers");
  settings.platform = root->getString("platform", "");
  settings.machine_list_interval =
      std::chrono::milliseconds(root->getInteger("machine_list_interval_ms", 10'000, {100, 3'600'000}));
  const auto keys = root->getTable("trusted_keys");
  settings.trusted_keys.authors = keys->getStrings("authors");
  settings.trusted_keys.approvers = keys->getStrings("approvers");
  readLog(*root, settings);
  readLimits(*root->getTable("limits"), settings);
  root->finish();
  return settings;
}

std::string checkSidecarSettings(const SidecarSettings& settings) {
  if (settings.name.empty()) return "name is missing: set it in the settings file or with --name";
  if (settings.zone.empty()) return "zone is missing: set it in the settings file or with --zone";
  if (settings.region.empty()) return "region is missing: set it in the settings file or with --region";
  if (settings.routers.empty() && settings.platform.empty()) {
    return "neither routers nor platform is set: no router could be found";
  }
  if (settings.trusted_keys.authors.empty() || settings.trusted_keys.approvers.empty()) {
    return "trusted_keys must name at least one author and one approver";
  }
  return {};
}

}  // namespace crankspur
