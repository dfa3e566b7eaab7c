#include "sidecar/sidecar_settings.h"

namespace crankspur {

namespace {

constexpr std::int64_t kMebibyte = std::int64_t{1} << 20U;

void readLimits(TomlTable& limits, SidecarSettings& settings) {
  const auto readSize = [&limits](const char* key, std::size_t& value, std::int64_t maximum) {
    value = static_cast<std::size_t>(limits.getInteger(key, static_cast<std::int64_t>(value), {1, maximum}));
  };
  readSize("max_requests", settings.max_requests, 1'000'000);
  readSize("connections", settings.connections, 1'000'000);
  readSize("slow_caller_bytes", settings.slow_caller_bytes, 256 * kMebibyte);
  // A SubmitRequest with its prompt must fit into one frame.
  readSize("request_bytes", settings.request_bytes, 6 * kMebibyte);
  settings.default_deadline =
      std::chrono::milliseconds(limits.getInteger("default_deadline_ms", 60'000, {1, 3'600'000}));
}

}  // namespace

SidecarSettings readSidecarSettings(std::string_view text, const std::string& file,
                                    std::vector<SettingsProblem>& problems) {
  SidecarSettings settings;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) return settings;
  readNodeSettings(*root, settings);
  readAddresses(*root, "routers", settings.routers);
  readInterval(*root, "machine_list_interval_ms", settings.machine_list_interval, {100, 3'600'000});
  readLimits(*root->getTable("limits"), settings);
  root->reportUnknownKeys();
  return settings;
}

std::string checkSidecarSettings(const SidecarSettings& settings) {
  std::string reason = checkNodeSettings(settings);
  if (reason.empty()) reason = checkAddresses("routers", settings.routers);
  if (reason.empty() && settings.routers.empty() && settings.platform.empty()) {
    reason = "neither routers nor platform is set: no router could be found";
  }
  return reason;
}

}  // namespace crankspur
