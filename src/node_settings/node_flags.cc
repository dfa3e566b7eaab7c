#include "node_settings/node_flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "settings file (TOML); flags override it");
ABSL_FLAG(std::string, name, "", "node name, unique in the fleet");
ABSL_FLAG(std::string, zone, "", "zone of the node");
ABSL_FLAG(std::string, region, "", "region of the node");
ABSL_FLAG(std::string, listen, "", "IP:port for clients of the node; port 0 lets the system choose");
ABSL_FLAG(std::string, admin, "", "IP:port for /healthz, /metrics, /status and, at routers, /explain");
ABSL_FLAG(std::string, platform, "", "IP:port of the platform's services");
ABSL_FLAG(std::vector<std::string>, author_keys, {},
          "public keys of bundle authors, base64, comma-separated");
ABSL_FLAG(std::vector<std::string>, approver_keys, {},
          "public keys of bundle approvers, base64, comma-separated");
ABSL_FLAG(std::string, log_format, "", "key_value or json");

namespace crankspur {

std::string applyNodeFlags(NodeSettings& settings) {
  overrideIfSet(settings.name, absl::GetFlag(FLAGS_name));
  overrideIfSet(settings.zone, absl::GetFlag(FLAGS_zone));
  overrideIfSet(settings.region, absl::GetFlag(FLAGS_region));
  overrideIfSet(settings.listen, absl::GetFlag(FLAGS_listen));
  overrideIfSet(settings.admin, absl::GetFlag(FLAGS_admin));
  overrideIfSet(settings.platform, absl::GetFlag(FLAGS_platform));
  overrideIfSet(settings.trusted_keys.authors, absl::GetFlag(FLAGS_author_keys));
  overrideIfSet(settings.trusted_keys.approvers, absl::GetFlag(FLAGS_approver_keys));
  const std::string name = absl::GetFlag(FLAGS_log_format);
  if (name.empty()) return {};
  const std::optional<LogFormat> format = parseLogFormat(name);
  if (!format) return "--log_format must be key_value or json";
  settings.log_format = *format;
  return {};
}

std::string settingsPath() {
  return absl::GetFlag(FLAGS_settings);
}

std::optional<std::string> readSettingsFile(const std::string& path, EventLog& log) {
  std::optional<std::string> text = readFile(path);
  if (!text) log.write(EventId::SettingsRefused, {{"file", path}, {"reason", "cannot be read"}});
  return text;
}

}  // namespace crankspur
