/// @file Guards against a row of another writer in the platform's store that ends a gateway, or keeps it from
/// following its tables: very deep nesting, numbers that are too large, addresses that name no port. The
/// readers reject it, and use the rows before and after it.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "bundle/signing.h"
#include "gateway_control/build_record.h"
#include "gateway_control/fleet_view.h"
#include "gateway_control/origin_record.h"
#include "platform/runner_directory.h"
#include "platform/store_documents.h"
#include "table_service/row_codec.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

std::string repeated(const std::string& text, std::size_t times) {
  std::string result;
  for (std::size_t index = 0; index < times; ++index) result += text;
  return result;
}

std::string nestedObjects(std::size_t depth) {
  return repeated("{\"a\":", depth) + "1" + std::string(depth, '}');
}

std::string nestedArrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// Values that a reader may not expect in the place of any field.
std::vector<std::string> oddValues() {
  return {nestedObjects(20'000),
          nestedArrays(100'000),
          std::string(400, '9'),
          "1e999",
          "-1e999",
          "1e99999999999",
          "1e308",
          "-1",
          "-9223372036854775808",
          "9223372036854775807",
          "9223372036854775808",
          "18446744073709551615",
          "18446744073709551616",
          "4294967295",
          "4294967296",
          "0.5",
          "null",
          "true",
          "[]",
          "{}",
          "\"\"",
          "\"" + std::string(100'000, 'x') + "\"",
          R"("\u0000")",
          R"("\n\r\t")",
          R"("255.255.255.255:1")",
          R"("127.0.0.1:0")",
          R"("127.0.0.1:65536")",
          R"("127.0.0.1:99999")",
          R"("127.0.0.1:-1")",
          R"("127.0.0.1:")",
          R"("[::1]:80")",
          R"("host:80")",
          R"([{"name":1}])",
          R"([{"name":"m","version":18446744073709551615,"adapters":[]}])"};
}

/// Texts that are no object at all.
std::vector<std::string> oddTexts() {
  return {"",   "{",        std::string(200'000, '['), nestedObjects(20'000), "nul",  "\"text\"",   "1e999",
          "[]", "{\"a\":}", std::string(3, '\0'),      "\xff\xfe\xfd",        "{}{}", "\"\\ud800\""};
}

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string objectOf(const Fields& fields) {
  std::string text;
  for (const auto& [name, value] : fields) text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
  return text + "}";
}

/// @return the texts in which one field has an odd value, or stands twice.
std::vector<std::string> oddVariants(const Fields& fields) {
  std::vector<std::string> texts = oddTexts();
  for (std::size_t index = 0; index < fields.size(); ++index) {
    for (const std::string& value : oddValues()) {
      Fields changed = fields;
      changed[index].second = value;
      texts.push_back(objectOf(changed));
      changed = fields;
      changed.emplace_back(fields[index].first, value);
      texts.push_back(objectOf(changed));
    }
  }
  return texts;
}

const Fields kRunner = {{"service", "\"app\""},   {"address", "\"127.0.0.1:80\""},
                        {"zone", "\"a\""},        {"version", "\"v1\""},
                        {"slots", "6"},           {"state", "\"ready\""},
                        {"coldRemainingMs", "0"}, {"sequence", "1"},
                        {"models", "[]"},         {"born", "1"}};

/// The list of runners of one gateway, and the back ends that it makes of it.
struct Directory {
  Directory() { directory.onServices({"app"}); }

  RunnerDirectoryCallbacks callbacks() {
    RunnerDirectoryCallbacks result;
    result.on_runner = [this](const gateway::ListedBackend& listed) { fleet.onListed(listed, now); };
    result.on_removed = [this](const std::string& name) { fleet.onRemoved(name, now); };
    result.on_rejected = [this](const std::string&, const std::string& problem) {
      ++rejected;
      longest_problem = std::max(longest_problem, problem.size());
    };
    return result;
  }

  bool hasLive(const std::string& name) {
    for (const gateway::Backend& backend : fleet.backends(now)) {
      if (backend.view.name == name && backend.view.state == EngineState::Live) return true;
    }
    return false;
  }

  TimePoint now = kStart;
  gateway::FleetView fleet{2s};
  std::size_t rejected = 0;
  std::size_t longest_problem = 0;
  RunnerDirectory directory{callbacks()};
};

std::string runnerAt(int number) {
  Fields fields = kRunner;
  fields[1].second = "\"127.0.1.1:" + std::to_string(1'000 + number) + "\"";
  return objectOf(fields);
}

}  // namespace

TEST_CASE("odd entries among those of the runners are rejected, and later ones are used", "[odd_rows]") {
  Directory list;
  const std::vector<std::string> texts = oddVariants(kRunner);
  std::uint64_t version = 0;
  list.directory.onRow({"sound", runnerAt(0), ++version, false});
  for (std::size_t index = 0; index < texts.size(); ++index) {
    list.now += 10ms;
    list.directory.onRow({"odd " + std::to_string(index), texts[index], ++version, false});
    const std::string name = "later " + std::to_string(index);
    list.directory.onRow({name, runnerAt(1 + static_cast<int>(index)), ++version, false});
    CHECK(list.hasLive(name + "#1"));
  }
  CHECK(list.hasLive("sound#1"));
  CHECK(list.rejected > texts.size() / 2);
  CHECK(list.longest_problem < 200);
  list.directory.onFullRead({"sound"});
}

TEST_CASE("an entry that becomes odd takes the runner out of use, and back in use once it is sound",
          "[odd_rows]") {
  Directory list;
  list.directory.onRow({"runner", runnerAt(0), 1, false});
  REQUIRE(list.hasLive("runner#1"));
  list.directory.onRow({"runner", nestedArrays(100'000), 2, false});
  CHECK_FALSE(list.hasLive("runner#1"));
  list.directory.onRow({"runner", runnerAt(0), 3, false});
  CHECK(list.hasLive("runner#1"));
}

TEST_CASE("rows that come twice, out of order or for unknown keys leave the list as the last ones say",
          "[odd_rows]") {
  Directory list;
  list.directory.onRow({"unknown", "", 9, true});
  list.directory.onRow({"runner", runnerAt(0), 5, false});
  list.directory.onRow({"runner", runnerAt(0), 5, false});
  list.directory.onRow({"runner", runnerAt(0), 4, false});
  CHECK(list.hasLive("runner#1"));
  list.directory.onRow({"runner", "", 6, true});
  list.directory.onRow({"runner", "", 6, true});
  CHECK_FALSE(list.hasLive("runner#1"));
}

TEST_CASE("odd documents of the operator are rejected with a problem or read within bounds", "[odd_rows]") {
  const Fields route = {{"name", "\"r\""},     {"host", "\"h\""},      {"pathPrefix", "\"/a/\""},
                        {"kind", "\"safe\""},  {"service", "\"app\""}, {"timeoutMs", "5000"},
                        {"maxAttempts", "2"},  {"priority", "1"},      {"targetLatencyMs", "600"},
                        {"gapTargetMs", "500"}};
  const auto configurationOf = [](const std::string& text) {
    return R"({"version":1,"services":[{"name":"app"}],"routes":[)" + text + "]}";
  };
  REQUIRE(readConfiguration(configurationOf(objectOf(route))).value);
  for (const std::string& text : oddVariants(route)) {
    const auto parsed = readConfiguration(configurationOf(text));
    CHECK(parsed.value.has_value() == parsed.problem.empty());
    if (!parsed.value || parsed.value->routes.empty()) continue;
    CHECK(parsed.value->routes[0].timeout >= Duration(0));
    CHECK(kStart + parsed.value->routes[0].timeout > kStart - 1s);
  }
  for (const std::string& text : oddVariants({{"model", "\"m\""}, {"version", "2"}})) {
    const auto parsed = readNamedWeights(text);
    CHECK(parsed.value.has_value() == parsed.problem.empty());
  }
}

TEST_CASE("odd rows in the place of the program's own records are read as empty ones", "[odd_rows]") {
  const Fields record = {{"written_ms", "5"}, {"text", "\"" + encodeBase64("text") + "\""}};
  for (const std::string& text : oddVariants(record)) {
    const gateway::StoredRecord stored = readStoredRecord({"record/x", text, 7, false}, 1'000'000);
    CHECK(stored.row_version == 7);
    CHECK(stored.age >= Duration(0));
    CHECK(stored.age <= 1'000s);
  }
  for (const std::string& text : oddVariants({{"builds", "[]"}})) {
    gateway::BuildRecord builds(1, kStart);
    builds.onRead(gateway::StoredRecord{text, 3, 0s}, kStart);
    CHECK(builds.isKnown());
    CHECK(builds.before().empty());
    gateway::OriginRecord origins("gateway", kStart);
    CHECK(origins.onRead(gateway::StoredRecord{text, 3, 0s}, kStart).empty());
    CHECK(origins.isReady(kStart));
  }
}

TEST_CASE("odd lease rows are rejected or read as they stand", "[odd_rows]") {
  const Fields lease = {
      {"holder", "\"h\""}, {"token", "4"}, {"renewal", "2"}, {"sent_ms", "5"}, {"writer", "1"}};
  REQUIRE(decodeLeaseRow({"k", 1, objectOf(lease)}));
  for (const std::string& text : oddVariants(lease)) {
    const std::optional<LeaseRow> row = decodeLeaseRow({"k", 1, text});
    if (row) CHECK(row->row_version == 1);
  }
}
