#include "router_process/router_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace crankspur;

TEST_CASE("the example settings of the router are valid", "[router_settings]") {
  const std::string path = std::string(CRANKSPUR_SOURCE_DIR) + "/examples/router.toml";
  const auto text = readFile(path);
  REQUIRE(text);
  std::vector<SettingsProblem> problems;
  const RouterSettings settings = readRouterSettings(*text, path, problems);
  for (const SettingsProblem& problem : problems) FAIL_CHECK(problem.toString());
  CHECK(checkRouterSettings(settings) == "");
}

TEST_CASE("unknown keys and invalid values are reported with file and line", "[router_settings]") {
  std::vector<SettingsProblem> problems;
  readRouterSettings("name = \"r\"\nlisten = \"nowhere\"\nspeed = 3\ntraffic_threads = 0\n", "f.toml",
                     problems);
  REQUIRE(problems.size() == 3);
  std::vector<std::uint32_t> lines;
  for (const SettingsProblem& problem : problems) {
    CHECK(problem.file == "f.toml");
    lines.push_back(problem.line);
  }
  std::sort(lines.begin(), lines.end());
  CHECK(lines == std::vector<std::uint32_t>{2, 3, 4});
}

TEST_CASE("settings without required values are refused", "[router_settings]") {
  RouterSettings settings;
  settings.name = "r";
  settings.zone = "z";
  settings.region = "g";
  settings.platform = "127.0.0.1:9000";
  CHECK(checkRouterSettings(settings).find("trusted_keys") != std::string::npos);
  settings.trusted_keys = {{"a"}, {"b"}};
  CHECK(checkRouterSettings(settings).empty());
  settings.platform.clear();
  CHECK_FALSE(checkRouterSettings(settings).empty());
}
