#include "node_settings/node_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sidecar/sidecar_settings.h"

using namespace crankspur;

namespace {

NodeSettings validSettings() {
  NodeSettings settings;
  settings.name = "n";
  settings.zone = "z";
  settings.region = "r";
  settings.listen = "127.0.0.1:0";
  settings.trusted_keys = {{"a"}, {"b"}};
  return settings;
}

}  // namespace

TEST_CASE("valid settings of a node are accepted", "[node_settings]") {
  CHECK(checkNodeSettings(validSettings()).empty());
}

TEST_CASE("the reason names each invalid setting", "[node_settings]") {
  const auto reasonAfter = [](auto modify) {
    NodeSettings settings = validSettings();
    modify(settings);
    return checkNodeSettings(settings);
  };
  const auto startsWith = [](const std::string& reason, const std::string& key) {
    return reason.substr(0, key.size()) == key;
  };
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.name.clear(); }), "name"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.zone.clear(); }), "zone"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.region.clear(); }), "region"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.listen = "nowhere"; }), "listen"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.admin = "127.0.0.1"; }), "admin"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.platform = "127.0.0.1:70000"; }), "platform"));
  CHECK(startsWith(reasonAfter([](NodeSettings& s) { s.trusted_keys.approvers.clear(); }), "trusted_keys"));
  CHECK(startsWith(checkAddresses("routers", {"127.0.0.1:1", "host:2"}), "routers"));
  CHECK(checkAddresses("routers", {"127.0.0.1:1", "[::1]:2"}).empty());
}

TEST_CASE("invalid addresses in a sidecar's settings file are reported with their line", "[node_settings]") {
  std::vector<SettingsProblem> problems;
  readSidecarSettings("listen = \"nowhere\"\nadmin = \"x\"\nrouters = [\"y\"]\nlog_format = \"xml\"\n",
                      "f.toml", problems);
  std::vector<std::uint32_t> lines;
  for (const SettingsProblem& problem : problems) lines.push_back(problem.line);
  std::sort(lines.begin(), lines.end());
  CHECK(lines == std::vector<std::uint32_t>{1, 2, 3, 4});
}
