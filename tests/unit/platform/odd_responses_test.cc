/// @file Guards against a row of another writer that makes a complete response of the store unreadable: a key
/// that is not valid Unicode, a value that is not a string, very deep nesting. The gateway would never follow
/// the table again, since the store returns the row with each response.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "bundle/signing.h"
#include "http/client.h"
#include "http/server.h"
#include "json/json_reader.h"
#include "platform/row_splitter.h"
#include "platform/store_client.h"
#include "platform/table_feed.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// Store with one table, whose rows are texts that a test writes; they may be malformed.
class RawStore {
public:
  explicit RawStore(boost::asio::io_context& context) {
    std::error_code error;
    const auto handler = [this](const http::Request& request,
                                const std::shared_ptr<http::ResponseWriter>& writer) {
      serve(request, *writer);
    };
    server_ = http::listen(context.get_executor(), "127.0.0.1:0", handler, error);
    REQUIRE_FALSE(error);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void put(const std::string& text) { rows_.push_back(text); }
  void putSound(const std::string& key) {
    const std::string version = std::to_string(rows_.size() + 1);
    put(R"({"table":"t","part":"","key":")" + key + R"(","value":")" + encodeBase64("sound") + R"(","ver":)" +
        version + R"(,"gone":false})");
  }
  /// The next response is this text.
  void respondOnce(const std::string& body) { odd_bodies_.push_back(body); }
  bool oddBodiesSent() const { return odd_bodies_.empty(); }

private:
  void serve(const http::Request& request, http::ResponseWriter& writer) {
    if (!odd_bodies_.empty()) {
      writer.respond(http::jsonResponse(200, odd_bodies_.front()));
      return odd_bodies_.pop_front();
    }
    const bool feed = request.path() == "/rows-feed";
    const std::size_t after = feed ? std::stoull(request.query("after")) : 0;
    std::string list;
    for (std::size_t index = after; index < rows_.size(); ++index) {
      list += (list.empty() ? "" : ", ") + rows_[index];
    }
    writer.respond(http::jsonResponse(
        200, R"({"rows": [)" + list + R"(], "more": false, "ver": )" + std::to_string(rows_.size()) + "}"));
  }

  std::unique_ptr<http::Server> server_;
  std::vector<std::string> rows_;
  std::deque<std::string> odd_bodies_;
};

/// A feed of the store, and what it delivered.
struct RawFeed {
  TableFeedCallbacks callbacks() {
    TableFeedCallbacks result;
    result.on_row = [this](const RelayedRow& row) { delivered[row.key] = row; };
    result.on_full_read = [this](const std::vector<std::string>&) { ++full_reads; };
    result.on_contact = [](TimePoint) {};
    result.on_failure = [this] { ++failures; };
    result.on_silent_connection = [] {};
    return result;
  }

  void start() {
    client_of_store.setMalformedRowHandler(
        [this](const std::string& table, const std::string& problem) { rejected[table].push_back(problem); });
    feed.start();
  }

  boost::asio::io_context context;
  RawStore store{context};
  std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
  StoreClient client_of_store{*client, store.address()};
  std::map<std::string, RelayedRow> delivered;
  std::map<std::string, std::vector<std::string>> rejected;
  int full_reads = 0;
  int failures = 0;
  TableFeed feed{context.get_executor(), client_of_store, "t", 20ms, callbacks(), 1};
};

std::string rowWith(const std::string& key, const std::string& value, const std::string& version = "1") {
  return R"({"table":"t","part":"","key":)" + key + R"(,"value":)" + value + R"(,"ver":)" + version + "}";
}

std::string nestedArrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// Rows that cannot be delivered, since they are not valid JSON or lack a key.
std::vector<std::string> malformedRows() {
  return {rowWith(R"("\ud800")", R"("")"),
          rowWith(R"("\udc00\ud800")", R"("")"),
          rowWith("\"\xff\xfe\xc0\x80\"", R"("")"),
          rowWith("\"" + std::string(200, '\x80') + "\"", R"("")"),
          rowWith("\"" + std::string(1, '\x01') + "\"", R"("")"),
          rowWith(R"("\u12")", R"("")"),
          rowWith(R"("\q")", R"("")"),
          rowWith("5", R"("")"),
          rowWith("null", R"("")"),
          rowWith(R"("deep")", nestedArrays(100'000)),
          rowWith(R"("odd value")", "nul"),
          rowWith(R"("odd version")", R"("")", "18446744073709551616"),
          rowWith(R"("odd version")", R"("")", "-1"),
          rowWith(R"("odd version")", R"("")", "0.5"),
          rowWith(R"("odd version")", R"("")", R"("7")"),
          R"({"part":5,"value":""})",
          "{}",
          "[]",
          "[[],{\"rows\":[1]}]",
          "null",
          "7",
          R"("},{")"};
}

/// Rows that are delivered with an empty value.
std::vector<std::string> rowsWithoutValue() {
  return {rowWith(R"("odd")", nestedArrays(15)),
          rowWith(R"("odd")", "5"),
          rowWith(R"("odd")", "null"),
          rowWith(R"("odd")", "{}"),
          rowWith(R"("odd")", R"("no base64: \u0000")"),
          rowWith(R"("odd")", R"("\\")"),
          rowWith(R"("odd")", R"(["],[", "\"", {"a": "}"}])")};
}

}  // namespace

TEST_CASE("rows that are malformed are left out and reported, and the rows around them are delivered",
          "[odd_rows][table_feed]") {
  const std::vector<std::string> odd_rows = malformedRows();
  for (const bool before_first_read : {true, false}) {
    for (const std::string& row : odd_rows) {
      CAPTURE(row.substr(0, 100), before_first_read);
      RawFeed fixture;
      fixture.store.putSound("first");
      if (before_first_read) fixture.store.put(row);
      fixture.start();
      runUntil(fixture.context, [&] { return fixture.full_reads > 0 || fixture.failures > 0; });
      if (!before_first_read) fixture.store.put(row);
      fixture.store.putSound("last");
      runUntil(fixture.context, [&] { return fixture.delivered.contains("last") || fixture.failures > 0; });
      CHECK(fixture.failures == 0);
      CHECK(fixture.delivered.size() == 2);
      CHECK(fixture.rejected["t"].size() == 1);
      CHECK(fixture.delivered["first"].value == "sound");
    }
  }
}

TEST_CASE("rows whose value is not text in base64 are delivered with an empty value",
          "[odd_rows][table_feed]") {
  for (const std::string& row : rowsWithoutValue()) {
    CAPTURE(row);
    RawFeed fixture;
    fixture.store.put(row);
    fixture.store.putSound("last");
    fixture.start();
    runUntil(fixture.context, [&] { return fixture.full_reads > 0 || fixture.failures > 0; });
    CHECK(fixture.failures == 0);
    REQUIRE(fixture.delivered.contains("odd"));
    CHECK(fixture.delivered["odd"].value.empty());
    CHECK(fixture.delivered.contains("last"));
    CHECK(fixture.rejected.empty());
  }
}

TEST_CASE("keys with escapes, and versions at the limit of 64 bits, are delivered as they stand",
          "[odd_rows][table_feed]") {
  RawFeed fixture;
  fixture.store.put(rowWith(R"("\u0000\ud83d\ude00 \"]")", R"("")", "18446744073709551615"));
  fixture.store.putSound("last");
  fixture.start();
  runUntil(fixture.context, [&] { return fixture.full_reads > 0 || fixture.failures > 0; });
  CHECK(fixture.failures == 0);
  const std::string key = std::string(1, '\0') + "\xf0\x9f\x98\x80 \"]";
  REQUIRE(fixture.delivered.contains(key));
  CHECK(fixture.delivered[key].version == kMaxUnsigned64);
  fixture.store.putSound("later");
  runUntil(fixture.context, [&] { return fixture.delivered.contains("later"); });
}

TEST_CASE("a feed goes on after responses that are odd as a whole", "[odd_rows][table_feed]") {
  const std::string row = rowWith(R"("twice")", R"("")");
  const std::string body = GENERATE_COPY(
      as<std::string>{}, "", "{", "[]", "null", std::string(100'000, '['), "\xff", "{}", R"({"rows":[]})",
      R"({"rows":[],"more":true,"ver":1})", R"({"rows":[],"more":5,"ver":1})", R"({"rows":{},"ver":1})",
      R"({"rows":[],"ver":0})", R"({"rows":[],"ver":-1})", R"({"rows":[],"ver":"1"})",
      R"({"rows":[],"ver":18446744073709551616})", R"({"rows":[],"ver":1,"now_ms":1e999})",
      R"({"rows":[)" + row + "," + row + R"(],"more":false,"ver":1})");
  const bool before_first_read = GENERATE(true, false);
  CAPTURE(body.substr(0, 100), before_first_read);
  RawFeed fixture;
  fixture.store.putSound("first");
  fixture.store.putSound("second");
  if (before_first_read) fixture.store.respondOnce(body);
  fixture.start();
  runUntil(fixture.context, [&] { return fixture.full_reads > 0; });
  if (!before_first_read) fixture.store.respondOnce(body);
  runUntil(fixture.context, [&] { return fixture.store.oddBodiesSent(); });
  fixture.store.putSound("last");
  runUntil(fixture.context, [&] { return fixture.delivered.contains("last"); });
  CHECK(fixture.delivered.contains("second"));
  CHECK(fixture.rejected.empty());
}

TEST_CASE("a body is split into its rows and the rest", "[odd_rows]") {
  using Rows = std::vector<std::string_view>;
  const auto split = [](std::string_view body, const std::string& envelope, const Rows& rows) {
    const SplitBody result = splitRows(body);
    CHECK(result.envelope == envelope);
    CHECK(result.rows == rows);
  };
  split(R"({"rows":[],"ver":1})", R"({"rows":[],"ver":1})", {});
  split(R"({ "ver" : 1 , "rows" : [ {"a":[1,2]},3] })", R"({ "ver" : 1 , "rows" : [] })",
        {R"( {"a":[1,2]})", "3"});
  split(R"({"a":{"rows":[1]},"b":"\"rows\":[","rows":["]"]})",
        R"({"a":{"rows":[1]},"b":"\"rows\":[","rows":[]})", {R"("]")"});
  split(R"({"rows":[1,]})", R"({"rows":[]})", {"1", ""});
  split(R"({"rows":5})", R"({"rows":5})", {});
  for (const std::string body : {"", "{", "[", "{\"rows\"", "{\"rows\":", "{\"rows\" x", "\"", "\"\\"}) {
    split(body, body, {});
  }
  split(R"({"rows":[)", R"({"rows":[)", {});
  split(R"({"rows":["a)", R"({"rows":[)", {R"("a)"});
}

// Parsed JSON takes many times the size of its text: 16 MiB of small numbers exceeded the memory of a
// process.
TEST_CASE("a response of the store that is too large beside its rows is not parsed",
          "[odd_rows][table_feed]") {
  RawFeed fixture;
  std::string numbers = "0";
  for (int count = 0; count < 100'000; ++count) numbers += ",0";
  fixture.store.respondOnce("{\"rows\":[],\"more\":false,\"ver\":1,\"odd\":[" + numbers + "]}");
  fixture.store.putSound("first");
  fixture.start();
  runUntil(fixture.context, [&] { return fixture.full_reads > 0; });
  CHECK(fixture.failures == 1);
  CHECK(fixture.delivered.contains("first"));
}

TEST_CASE("a row that is too large is left out and reported", "[odd_rows][table_feed]") {
  RawFeed fixture;
  fixture.store.put(rowWith(R"("odd")", "\"" + std::string(3'000'000, 'x') + "\""));
  fixture.store.putSound("last");
  fixture.start();
  runUntil(fixture.context, [&] { return fixture.full_reads > 0 || fixture.failures > 0; });
  CHECK(fixture.failures == 0);
  CHECK(fixture.delivered.contains("last"));
  CHECK_FALSE(fixture.delivered.contains("odd"));
  CHECK(fixture.rejected["t"] == std::vector<std::string>{"the row is too large"});
}
