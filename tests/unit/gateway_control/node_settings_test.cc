#include "gateway_control/node_settings.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

constexpr char kValid[] = R"(
name = "n1"
zone = "z1"
front = "10.0.0.1:8000"
gossip = "10.0.0.1:7000"
platform = "10.9.0.1:80"
seeds = ["10.0.0.2:8003"]
key_validity_ms = 5000
weights_limit_ms = 9000
)";

}  // namespace

TEST_CASE("node settings are read, with defaults for missing keys", "[node_settings]") {
  std::vector<SettingsProblem> problems;
  const NodeSettings settings = readNodeSettings(kValid, "node.toml", problems);
  CHECK(problems.empty());
  CHECK(settings.front == "10.0.0.1:8000");
  CHECK(settings.seeds == std::vector<std::string>{"10.0.0.2:8003"});
  CHECK(settings.key_validity == Duration(5s));
  CHECK(settings.weights_limit == Duration(9s));
  CHECK(settings.directory.empty());
  CHECK(settings.departure_limit == Duration(2s));
  const std::string text = std::string(kValid) + "departure_limit_ms = 3000";
  CHECK(readNodeSettings(text, "node.toml", problems).departure_limit == Duration(3s));
}

TEST_CASE("the capacity of a machine and the size of the serving set are settings", "[node_settings]") {
  std::vector<SettingsProblem> problems;
  const NodeSettings usual = readNodeSettings(kValid, "node.toml", problems);
  CHECK(usual.processor_share == 1);
  CHECK(usual.serving_least_in_zone == 2);
  CHECK(usual.serving_all_up_to == 12);
  const std::string text = std::string(kValid) +
                           "processor_share = 0.12\nprocessor_speed = 2\nlink_megabits_per_second = 20\n"
                           "serving_least_in_zone = 3\nserving_all_up_to = 5\n";
  const NodeSettings stated = readNodeSettings(text, "node.toml", problems);
  CHECK(problems.empty());
  CHECK(stated.processor_share == 0.12);
  CHECK(stated.processor_speed == 2);
  CHECK(stated.link_megabits_per_second == 20);
  CHECK(stated.serving_least_in_zone == 3);
  CHECK(stated.serving_all_up_to == 5);
  readNodeSettings(std::string(kValid) + "processor_share = 0", "node.toml", problems);
  CHECK(problems.at(0).key == "processor_share");
}

// Guards against gateways that do not start, or take 2.5 ms for 2.5 s, where the platform states fractions.
TEST_CASE("durations may have fractions and may be stated in seconds", "[node_settings]") {
  std::vector<SettingsProblem> problems;
  const std::string text = std::string(kValid) + "drain_limit_s = 2.5\nquota_window_s = 1.5\n" +
                           "retry_budget_window_ms = 1500.5\nmemory_limit_mb = 87.5\n";
  const NodeSettings settings = readNodeSettings(text, "node.toml", problems);
  CHECK(problems.empty());
  CHECK(settings.drain_limit == Duration(2500ms));
  CHECK(settings.quota_tolerance.window == Duration(1500ms));
  CHECK(settings.retry_budget.window == Duration(1500ms) + 500us);
  CHECK(settings.memory_limit_mb == 87.5);
}

// Guards against gateways that do not start for the sake of a value that only tunes them.
TEST_CASE("an odd value that only tunes the gateway is tolerated and replaced by the default",
          "[node_settings]") {
  const std::string key =
      GENERATE("processor_share", "processor_speed", "memory_limit_mb", "link_megabits_per_second");
  const std::string value = GENERATE("0", "-1", "\"much\"", "1e300");
  std::vector<SettingsProblem> problems;
  const NodeSettings settings = readNodeSettings(kValid + key + " = " + value, "node.toml", problems);
  INFO(key << " = " << value);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].key == key);
  CHECK(problems[0].tolerated);
  CHECK(settings.processor_share == 1);
  CHECK(settings.memory_limit_mb == 1024);
}

// Guards against gateways that run with defaults in place of the settings that a file being written does not
// have yet.
TEST_CASE("settings that are cut off at any byte are rejected if they name their last key",
          "[node_settings]") {
  const std::string text = std::string("last_key = \"complete\"") + kValid + "complete = true";
  for (std::size_t bytes = 0; bytes < text.size(); ++bytes) {
    std::vector<SettingsProblem> problems;
    readNodeSettings(std::string_view(text).substr(0, bytes), "node.toml", problems);
    INFO("bytes " << bytes);
    REQUIRE_FALSE(problems.empty());
    CHECK_FALSE(problems[0].tolerated);
  }
  std::vector<SettingsProblem> problems;
  readNodeSettings(text, "node.toml", problems);
  CHECK(problems.empty());
}

TEST_CASE("invalid node settings are reported with key and line", "[node_settings]") {
  const auto problemsOf = [](const std::string& added) {
    std::vector<SettingsProblem> problems;
    readNodeSettings(kValid + added, "node.toml", problems);
    return problems;
  };
  CHECK(problemsOf("log_level = \"loud\"").at(0).key == "log_level");
  CHECK(problemsOf("directory = \"nowhere\"").at(0).key == "directory");
  CHECK(problemsOf("retry_budget_ratio = -1").at(0).line == 10);
  CHECK(problemsOf("quota_window_ms = 0").at(0).key == "quota_window_ms");
  CHECK(problemsOf("quota_overshoot = -0.1").at(0).key == "quota_overshoot");
  CHECK(problemsOf("quota_slack = -1").at(0).key == "quota_slack");
  CHECK(problemsOf("colour = 1").at(0).key == "colour");
  std::vector<SettingsProblem> problems;
  readNodeSettings("name = \"n1\"", "node.toml", problems);
  CHECK(problems.size() == 4);
}

TEST_CASE("node settings: a required key that is empty is rejected", "[node_settings]") {
  for (const std::string key : {"name", "zone", "front", "gossip", "platform"}) {
    std::string text;
    for (const std::string required : {"name", "zone", "front", "gossip", "platform"}) {
      text += required + (required == key ? " = \"\"\n" : " = \"127.0.0.1:1\"\n");
    }
    std::vector<SettingsProblem> problems;
    readNodeSettings(text, "node.toml", problems);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == key);
    CHECK(problems[0].reason == "must not be empty");
  }
}
