#include "node_settings/node_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "sidecar/sidecar_settings.h"

using namespace crankspur;

namespace {

NodeSettings wholeSettings() {
  NodeSettings settings;
  settings.name = "n";
  settings.zone = "z";
  settings.region = "r";
  settings.listen = "127.0.0.1:0";
  settings.trusted_keys = {{"a"}, {"b"}};
  return settings;
}

}  // namespace

TEST_CASE("whole settings of a node pass", "[node_settings]") {
  CHECK(checkNodeSettings(wholeSettings()).empty());
}

TEST_CASE("each value that a flag may have spoilt is named", "[node_settings]") {
  const auto reasonWith = [](auto change) {
    NodeSettings settings = wholeSettings();
    change(settings);
    return checkNodeSettings(settings);
  };
  const auto starts = [](const std::string& reason, const std::string& key) {
    return reason.substr(0, key.size()) == key;
  };
  CHECK(starts(reasonWith([](NodeSettings& s) { s.name.clear(); }), "name"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.zone.clear(); }), "zone"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.region.clear(); }), "region"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.listen = "nowhere"; }), "listen"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.admin = "127.0.0.1"; }), "admin"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.platform = "127.0.0.1:70000"; }), "platform"));
  CHECK(starts(reasonWith([](NodeSettings& s) { s.trusted_keys.approvers.clear(); }), "trusted_keys"));
  CHECK(starts(checkAddresses("routers", {"127.0.0.1:1", "host:2"}), "routers"));
  CHECK(checkAddresses("routers", {"127.0.0.1:1", "[::1]:2"}).empty());
}

TEST_CASE("bad addresses in a sidecar's file are reported with their place", "[node_settings]") {
  std::vector<SettingsProblem> problems;
  readSidecarSettings("listen = \"nowhere\"\nadmin = \"x\"\nrouters = [\"y\"]\nlog_format = \"xml\"\n",
                      "f.toml", problems);
  std::vector<std::uint32_t> lines;
  for (const SettingsProblem& problem : problems) lines.push_back(problem.line);
  std::sort(lines.begin(), lines.end());
  CHECK(lines == std::vector<std::uint32_t>{1, 2, 3, 4});
}
