#include "gateway_control/node_settings.h"

#include "base/endpoint.h"

namespace crankspur::gateway {

namespace {

constexpr Range<double> kMilliseconds{1, 3'600'000};
constexpr Range<double> kSeconds{0.001, 3'600};
/// Shorter than the time between reports of use, a window would be empty.
constexpr Duration kMinQuotaWindow = std::chrono::seconds(1);
constexpr Range<double> kRatio{0.0, 100.0};
constexpr Range<double> kSlack{0.0, 1e9};
constexpr Range<double> kProcessor{0.001, 1024.0};
constexpr Range<double> kMegabits{0.1, 1e7};
constexpr Range<double> kMegabytes{16, 1e6};
constexpr Range<std::int64_t> kGateways{1, 10'000};

/// Reads a value that only tunes the gateway: a value that is no number or out of range is reported and
/// replaced by the default, since it is no reason not to start.
double readTuning(TomlTable& root, const std::string& key, double fallback, Range<double> range,
                  std::vector<SettingsProblem>& problems) {
  const std::size_t known = problems.size();
  const double value = root.getNumber(key, fallback, range);
  for (std::size_t index = known; index < problems.size(); ++index) problems[index].tolerated = true;
  return value;
}

/// A file that is being written may end anywhere. Its first lines can name the key of the last one.
void checkLastKey(TomlTable& root) {
  const std::string last_key = root.getString("last_key", "");
  if (last_key.empty()) return;
  if (!root.has(last_key)) return root.report("last_key", "the file is cut off: it has no " + last_key);
  root.getBool(last_key, true);
}

/// Also reports a key that is present but empty, which is what a template produces for a field without a
/// value.
std::string requireText(TomlTable& root, const std::string& key) {
  std::string value = root.requireString(key);
  if (value.empty() && root.has(key)) root.report(key, "must not be empty");
  return value;
}

void readAddress(TomlTable& root, const std::string& key, bool required, std::string& value) {
  value = required ? requireText(root, key) : root.getString(key, value);
  if (value.empty()) return;
  boost::system::error_code error;
  parseEndpoint(value, error);
  if (error) root.report(key, "must be IP:port");
}

Duration milliseconds(double count) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

/// Fractions are accepted, since a platform may state any number.
void readDuration(TomlTable& root, const std::string& key, Duration& value) {
  value = milliseconds(root.getNumber(key, toMilliseconds(value), kMilliseconds));
}

/// Reads `name`_s or `name`_ms.
void readSecondsOrMilliseconds(TomlTable& root, const std::string& name, Duration& value) {
  if (!root.has(name + "_s")) return readDuration(root, name + "_ms", value);
  value = milliseconds(root.getNumber(name + "_s", toSeconds(value), kSeconds) * 1000);
}

void readLogLevel(TomlTable& root, LogLevel& value) {
  const std::string level = root.getString("log_level", "info");
  if (level == "debug") {
    value = LogLevel::Debug;
  } else if (level == "warning") {
    value = LogLevel::Warning;
  } else if (level == "error") {
    value = LogLevel::Error;
  } else if (level != "info") {
    root.report("log_level", "must be debug, info, warning or error");
  }
}

void readSeeds(TomlTable& root, std::vector<std::string>& seeds) {
  seeds = root.getStrings("seeds");
  for (const std::string& seed : seeds) {
    boost::system::error_code error;
    parseEndpoint(seed, error);
    if (error) root.report("seeds", "must be a list of IP:port");
  }
}

void readQuotaTolerance(TomlTable& root, QuotaTolerance& tolerance) {
  readSecondsOrMilliseconds(root, "quota_window", tolerance.window);
  if (tolerance.window < kMinQuotaWindow) {
    root.report(root.has("quota_window_s") ? "quota_window_s" : "quota_window_ms",
                "must be at least a second");
  }
  tolerance.overshoot = root.getNumber("quota_overshoot", tolerance.overshoot, kRatio);
  tolerance.slack = root.getNumber("quota_slack", tolerance.slack, kSlack);
}

void readMachine(TomlTable& root, NodeSettings& settings, std::vector<SettingsProblem>& problems) {
  const auto read = [&](const std::string& key, double& value, Range<double> range) {
    value = readTuning(root, key, value, range, problems);
  };
  read("processor_share", settings.processor_share, kProcessor);
  read("processor_speed", settings.processor_speed, kProcessor);
  read("memory_limit_mb", settings.memory_limit_mb, kMegabytes);
  read("link_megabits_per_second", settings.link_megabits_per_second, kMegabits);
  settings.serving_least_in_zone = static_cast<std::uint32_t>(
      root.getInteger("serving_least_in_zone", settings.serving_least_in_zone, kGateways));
  settings.serving_all_up_to =
      static_cast<std::uint32_t>(root.getInteger("serving_all_up_to", settings.serving_all_up_to, kGateways));
}

}  // namespace

NodeSettings readNodeSettings(std::string_view text, const std::string& file,
                              std::vector<SettingsProblem>& problems) {
  NodeSettings settings;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) return settings;
  checkLastKey(*root);
  settings.name = requireText(*root, "name");
  settings.zone = requireText(*root, "zone");
  settings.region = root->getString("region", "");
  readAddress(*root, "front", true, settings.front);
  readAddress(*root, "readiness", false, settings.readiness);
  readAddress(*root, "directory", false, settings.directory);
  readAddress(*root, "metrics", false, settings.metrics);
  readAddress(*root, "gossip", true, settings.gossip);
  readAddress(*root, "platform", true, settings.platform);
  readSeeds(*root, settings.seeds);
  settings.retry_budget.ratio = root->getNumber("retry_budget_ratio", settings.retry_budget.ratio, kRatio);
  settings.retry_budget.slack = root->getNumber("retry_budget_slack", settings.retry_budget.slack, kSlack);
  readSecondsOrMilliseconds(*root, "retry_budget_window", settings.retry_budget.window);
  readQuotaTolerance(*root, settings.quota_tolerance);
  if (root->has("key_validity_ms")) {
    Duration validity{0};
    readDuration(*root, "key_validity_ms", validity);
    settings.key_validity = validity;
  }
  readDuration(*root, "weights_limit_ms", settings.weights_limit);
  readDuration(*root, "order_rest_ms", settings.order_rest);
  readDuration(*root, "departure_limit_ms", settings.departure_limit);
  settings.parallel_weight_loads =
      static_cast<std::uint32_t>(root->getInteger("parallel_weight_loads", 2, {1, 1000}));
  readSecondsOrMilliseconds(*root, "drain_limit", settings.drain_limit);
  readDuration(*root, "directory_lifetime_ms", settings.directory_lifetime);
  readMachine(*root, settings, problems);
  readLogLevel(*root, settings.log_level);
  root->reportUnknownKeys();
  return settings;
}

}  // namespace crankspur::gateway
