/// @file What a gateway makes of the entries in the table of runners. A runner may start again under its id:
/// by its birth alone it is known as another one, which holds and knows nothing of before. An entry may come
/// from a writer that is not the platform; it names no runner to use, and the others hold.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "platform/platform_translator.h"
#include "unit/platform/rows_store.h"
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

/// The platform side of a gateway before a store, and the runners that it tells of.
struct EntriesSite {
  EntriesSite() : store(context), translator(context.get_executor(), options(), log) {
    store.put("op", "config", kConfiguration);
  }

  TranslatorOptions options() const {
    TranslatorOptions made;
    made.store_address = store.address();
    return made;
  }

  void start() {
    gateway::PlatformCallbacks news;
    news.on_configuration = [this](const auto& configuration) { version = configuration->version; };
    news.on_weights = [](const auto&) {};
    news.on_backend = [this](const gateway::ListedBackend& listed) { listed_at[listed.address] = listed.id; };
    news.on_backend_removed = [this](const std::string& id) { forget(id); };
    news.on_full_list = [this](const std::vector<std::string>& ids) { ++whole_lists, whole_list = ids; };
    news.on_contact = [](TimePoint) {};
    news.on_trouble = [this] { ++troubles; };
    news.on_connections_silent = [] {};
    translator.start(std::move(news));
    until([this] { return whole_lists > 0 && version > 0; });
  }

  void forget(const std::string& id) {
    std::erase_if(listed_at, [&id](const auto& item) { return item.second == id; });
  }

  template <typename Condition>
  void until(Condition condition) {
    runUntil(context, condition);
  }
  /// Waits until everything written has been read: the last entry is a sound one of its own.
  void settle() {
    const std::string address = fmt::format("10.9.0.{}:1", ++settled);
    store.put("servers", "last-" + std::to_string(settled), entry(address));
    until([&] { return listed_at.contains(address); });
  }
  std::string at(const std::string& address) const {
    const auto found = listed_at.find(address);
    return found == listed_at.end() ? "" : found->second;
  }

  boost::asio::io_context context;
  RowsStore store;
  CountingLog log;
  PlatformTranslator translator;
  std::map<std::string, std::string> listed_at;  ///< Id by address.
  std::vector<std::string> whole_list;
  std::uint64_t version = 0;
  int whole_lists = 0;
  int troubles = 0;
  int settled = 0;
};

}  // namespace

TEST_CASE("a runner that starts again under its id is another back end", "[runner_entries]") {
  EntriesSite site;
  site.store.put("servers", "r", entry("10.0.0.1:1"));
  site.start();
  site.settle();
  const std::string before = site.at("10.0.0.1:1");
  REQUIRE_FALSE(before.empty());
  site.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":1000,"later":1)"));
  site.settle();
  CHECK(site.at("10.0.0.1:1") == before);
  site.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":2000)"));
  site.settle();
  const std::string after = site.at("10.0.0.1:1");
  CHECK_FALSE(after.empty());
  CHECK(after != before);
  site.store.remove("servers", "r");
  site.settle();
  CHECK(site.at("10.0.0.1:1").empty());
}

TEST_CASE("a birth before the one known is another start too", "[runner_entries]") {
  EntriesSite site;
  site.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":2000)"));
  site.start();
  site.settle();
  const std::string before = site.at("10.0.0.1:1");
  site.store.put("servers", "r", entry("10.0.0.1:1", R"(,"born":1000)"));
  site.settle();
  CHECK_FALSE(site.at("10.0.0.1:1").empty());
  CHECK(site.at("10.0.0.1:1") != before);
}

TEST_CASE("an entry of another writer names no runner, and the others hold", "[runner_entries]") {
  const std::string bad = GENERATE(
      as<std::string>{}, "", "{", "[]", "\xff\xfe", R"({"service":"lm"})",
      entry("10.0.0.2:1", R"(,"born":"1000")"), entry("10.0.0.2:1", R"(,"born":1000.5)"),
      entry("10.0.0.2:1", ""), entry("10.0.0.2:1", R"(,"born":1000)", "lm", "resting"),
      entry("10.0.0.2:1", R"(,"born":1000)", "lm", ""), entry("10.0.0.2:1", R"(,"born":1000)", "unheard"),
      entry("not an address"), entry("10.0.0.1:1", R"(,"born":9000)", "unheard"),
      R"({"service":"lm","address":"10.0.0.2:1","zone":"z","version":"v1","slots":"4","state":"ready",)"
      R"("coldRemainingMs":0,"sequence":1,"born":1000})");
  INFO(bad);
  EntriesSite site;
  site.store.put("servers", "r1", entry("10.0.0.1:1"));
  site.start();
  site.settle();
  const std::string sound = site.at("10.0.0.1:1");
  SECTION("under an id of its own") {
    site.store.put("servers", "r2", bad);
    site.settle();
    CHECK(site.at("10.0.0.2:1").empty());
    CHECK(site.at("10.0.0.1:1") == sound);
  }
  SECTION("under an id that is in use: until a sound one comes") {
    site.store.put("servers", "r1", bad);
    site.settle();
    CHECK(site.listed_at.size() == 2);  // Those of settle().
    site.store.put("servers", "r1", entry("10.0.0.1:1"));
    site.settle();
    CHECK(site.at("10.0.0.1:1") == sound);
  }
  CHECK(site.log.lines[EventId::PlatformDocumentRefused] >= 1);
}

TEST_CASE("a row whose value cannot be decoded does not end the feed", "[runner_entries]") {
  EntriesSite site;
  site.store.putEncoded("servers", "r2", "?");
  site.store.put("servers", "r1", entry("10.0.0.1:1"));
  site.start();
  site.settle();
  CHECK_FALSE(site.at("10.0.0.1:1").empty());
  CHECK(site.troubles == 0);
}

TEST_CASE("a service that the configuration comes to name has its runners then", "[runner_entries]") {
  EntriesSite site;
  site.store.put("servers", "r1", entry("10.0.0.1:1", R"(,"born":1000)", "new"));
  site.start();
  site.settle();
  CHECK(site.at("10.0.0.1:1").empty());
  site.store.put("op", "config",
                 R"({"version":2,"routes":[],"services":[{"name":"lm"},{"name":"new"}],"tenants":[]})");
  site.until([&] { return !site.at("10.0.0.1:1").empty(); });
}

TEST_CASE("where no runner states its birth, ids alone tell them apart", "[runner_entries]") {
  EntriesSite site;
  site.store.put("servers", "r1", entry("10.0.0.1:1", ""));
  site.store.put("servers", "r2", entry("10.0.0.2:1", ""));
  site.store.put("servers", "r3", entry("10.0.0.3:1", ""));
  site.start();
  site.until([&] { return site.listed_at.size() == 3; });
  CHECK(site.at("10.0.0.1:1") == "r1");
}

TEST_CASE("a runner's name holds its id and tells its starts apart", "[runner_entries]") {
  CHECK(runnerName("r-1", 0) == "r-1");
  CHECK(runnerName("r-1", 5) != runnerName("r-1", 6));
  for (const std::string id : {"r-1", "r#1", "", "#"}) {
    for (const std::uint64_t born : {0ULL, 1700000000123ULL}) CHECK(runnerIdOf(runnerName(id, born)) == id);
  }
}
