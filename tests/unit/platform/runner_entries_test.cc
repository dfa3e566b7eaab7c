/// @file Tests how a gateway interprets the table of runners. A runner may restart with the same id: only its
/// start time tells the new start from the previous one, whose cache and state are lost. An entry may come
/// from a writer other than the platform; it must be rejected without affecting other entries.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "platform/platform_translator.h"
#include "unit/platform/fake_platform_store.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;

namespace {

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[],"services":[{"name":"lm"},{"name":"app"}],"tenants":[]})";

std::string entry(const std::string& address, const std::string& more = R"(,"born":1000)",
                  const std::string& service = "lm", const std::string& state = "ready") {
  return fmt::format(
      R"({{"service":"{}","address":"{}","zone":"z","version":"v1","slots":4,"state":"{}","coldRemainingMs":0,)"
      R"("sequence":1{}}})",
      service, address, state, more);
}

class CountingLog : public EventLog {
public:
  void write(EventId event, const std::vector<LogField>&) override { ++lines[event]; }
  std::map<EventId, int> lines;
};

/// A platform translator connected to a fake store, and the runners that it reports.
struct EntriesFixture {
  EntriesFixture() : store(context), translator(context.get_executor(), options(), log) {
    store.put("op", "config", kConfiguration);
  }

  TranslatorOptions options() const {
    TranslatorOptions result;
    result.store_address = store.address();
    return result;
  }

  void start() {
    gateway::PlatformCallbacks callbacks;
    callbacks.on_configuration = [this](const auto& configuration) { version = configuration->version; };
    callbacks.on_weights = [](const auto&) {};
    callbacks.on_backend = [this](const gateway::ListedBackend& listed) {
      listed_at[listed.address] = listed.id;
      versions[listed.id] = listed.entry_version;
    };
    callbacks.on_backend_removed = [this](const std::string& id) { removeListed(id); };
    callbacks.on_full_list = [this](const std::vector<std::string>& ids) { ++full_lists, full_list = ids; };
    callbacks.on_contact = [](TimePoint) {};
    callbacks.on_list_contact = [](TimePoint) {};
    callbacks.on_list_outage = [] {};
    callbacks.on_failure = [this] { ++failures; };
    callbacks.on_connections_silent = [] {};
    translator.start(std::move(callbacks));
    until([this] { return full_lists > 0 && version > 0; });
  }

  void removeListed(const std::string& id) {
    std::erase_if(listed_at, [&id](const auto& item) { return item.second == id; });
  }

  template <typename Condition>
  void until(Condition condition) {
    runUntil(context, condition);
  }
  /// Waits until everything written so far has been read: writes one more valid entry and waits for it.
  void waitUntilRead() {
    const std::string address = fmt::format("10.9.0.{}:1", ++entries_written);
    store.put("servers", "last-" + std::to_string(entries_written), entry(address));
    until([&] { return listed_at.contains(address); });
  }
  std::string at(const std::string& address) const {
    const auto found = listed_at.find(address);
    return found == listed_at.end() ? "" : found->second;
  }

  boost::asio::io_context context;
  FakePlatformStore store;
  CountingLog log;
  PlatformTranslator translator;
  std::map<std::string, std::string> listed_at;   ///< Ids by address.
  std::map<std::string, std::uint64_t> versions;  ///< Of the entries, by id.
  std::vector<std::string> full_list;
  std::uint64_t version = 0;
  int full_lists = 0;
  int failures = 0;
  int entries_written = 0;
};

}  // namespace

TEST_CASE("a runner that restarts with the same id is a new back end", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "r", entry("10.0.0.1:1"));
  fixture.start();
  fixture.waitUntilRead();
  const std::string before = fixture.at("10.0.0.1:1");
  REQUIRE_FALSE(before.empty());
  fixture.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":1000,"later":1)"));
  fixture.waitUntilRead();
  CHECK(fixture.at("10.0.0.1:1") == before);
  fixture.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":2000)"));
  fixture.waitUntilRead();
  const std::string after = fixture.at("10.0.0.1:1");
  CHECK_FALSE(after.empty());
  CHECK(after != before);
  fixture.store.remove("servers", "r");
  fixture.waitUntilRead();
  CHECK(fixture.at("10.0.0.1:1").empty());
}

TEST_CASE("an entry with an earlier start time is a new start, too", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":2000)"));
  fixture.start();
  fixture.waitUntilRead();
  const std::string before = fixture.at("10.0.0.1:1");
  fixture.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":1000)"));
  fixture.waitUntilRead();
  CHECK_FALSE(fixture.at("10.0.0.1:1").empty());
  CHECK(fixture.at("10.0.0.1:1") != before);
}

TEST_CASE("an entry of another writer is rejected and does not affect other entries", "[runner_entries]") {
  const std::string invalid_entry = GENERATE(
      as<std::string>{}, "", "{", "[]", "\xff\xfe", R"({"service":"lm"})",
      entry("10.0.0.2:1", R"(,"born":"1000")"), entry("10.0.0.2:1", R"(,"born":1000.5)"),
      entry("10.0.0.2:1", ""), entry("10.0.0.2:1", R"(,"born":1000)", "lm", "resting"),
      entry("10.0.0.2:1", R"(,"born":1000)", "lm", ""), entry("10.0.0.2:1", R"(,"born":1000)", "unheard"),
      entry("not an address"), entry("10.0.0.1:1", R"(,"born":9000)", "unheard"),
      R"({"service":"lm","address":"10.0.0.2:1","zone":"z","version":"v1","slots":"4","state":"ready",)"
      R"("coldRemainingMs":0,"sequence":1,"born":1000})");
  INFO(invalid_entry);
  EntriesFixture fixture;
  fixture.store.put("servers", "r1", entry("10.0.0.1:1"));
  fixture.start();
  fixture.waitUntilRead();
  const std::string valid_id = fixture.at("10.0.0.1:1");
  SECTION("under a new id") {
    fixture.store.put("servers", "r2", invalid_entry);
    fixture.waitUntilRead();
    CHECK(fixture.at("10.0.0.2:1").empty());
    CHECK(fixture.at("10.0.0.1:1") == valid_id);
  }
  SECTION("under an id that is in use, until a valid entry is written") {
    fixture.store.put("servers", "r1", invalid_entry);
    fixture.waitUntilRead();
    CHECK(fixture.listed_at.size() == 2);  // Entries written by waitUntilRead().
    fixture.store.put("servers", "r1", entry("10.0.0.1:1"));
    fixture.waitUntilRead();
    CHECK(fixture.at("10.0.0.1:1") == valid_id);
  }
  CHECK(fixture.log.lines[EventId::PlatformDocumentRefused] >= 1);
}

TEST_CASE("a row whose value cannot be decoded does not end the feed", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.putEncoded("servers", "r2", "?");
  fixture.store.put("servers", "r1", entry("10.0.0.1:1"));
  fixture.start();
  fixture.waitUntilRead();
  CHECK_FALSE(fixture.at("10.0.0.1:1").empty());
  CHECK(fixture.failures == 0);
}

TEST_CASE("a row whose key is not valid Unicode is logged and does not end the feed", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "\xff\xfe", entry("10.0.0.2:1"));
  fixture.store.put("servers", "r1", entry("10.0.0.1:1"));
  fixture.start();
  fixture.waitUntilRead();
  CHECK_FALSE(fixture.at("10.0.0.1:1").empty());
  CHECK(fixture.failures == 0);
  CHECK(fixture.log.lines[EventId::PlatformDocumentRefused] >= 1);
}

TEST_CASE("runners of a service are used once the configuration contains the service", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "r1", entry("10.0.0.1:1", R"(,"born":1000)", "new"));
  fixture.start();
  fixture.waitUntilRead();
  CHECK(fixture.at("10.0.0.1:1").empty());
  fixture.store.put("op", "config",
                    R"({"version":2,"routes":[],"services":[{"name":"lm"},{"name":"new"}],"tenants":[]})");
  fixture.until([&] { return !fixture.at("10.0.0.1:1").empty(); });
}

TEST_CASE("if no runner states its start time, the id alone is the name", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "r1", entry("10.0.0.1:1", ""));
  fixture.store.put("servers", "r2", entry("10.0.0.2:1", ""));
  fixture.store.put("servers", "r3", entry("10.0.0.3:1", ""));
  fixture.start();
  fixture.until([&] { return fixture.listed_at.size() == 3; });
  CHECK(fixture.at("10.0.0.1:1") == "r1");
}

TEST_CASE("a runner's name contains its id and differs between starts", "[runner_entries]") {
  CHECK(runnerName("r-1", 0) == "r-1");
  CHECK(runnerName("r-1", 5) != runnerName("r-1", 6));
  for (const std::string id : {"r-1", "r#1", "", "#"}) {
    for (const std::uint64_t born : {0ULL, 1700000000123ULL}) CHECK(runnerIdOf(runnerName(id, born)) == id);
  }
}

// The complete table is sorted by key. The version of a row tells which of two runners at one address was
// listed later.
TEST_CASE("the entry of a runner carries the version of its row", "[runner_entries]") {
  EntriesFixture fixture;
  fixture.store.put("servers", "z-ended", entry("10.0.0.1:80", ""));
  fixture.store.put("servers", "a-restarted", entry("10.0.0.1:80", ""));
  fixture.start();
  REQUIRE(fixture.versions.size() == 2);
  CHECK(fixture.versions["z-ended"] > 0);
  CHECK(fixture.versions["a-restarted"] > fixture.versions["z-ended"]);
}
