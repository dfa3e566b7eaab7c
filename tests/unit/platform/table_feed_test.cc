#include "platform/table_feed.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "bundle/signing.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/entry_service.h"
#include "platform/store_client.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// A store of one table that answers as a script says.
struct Store {
  enum class Mode { Sound, Silent, Refusing, HistoryCompacted };

  explicit Store(boost::asio::io_context& context) {
    std::error_code error;
    server = http::listen(
        context.get_executor(), "127.0.0.1:0",
        [this](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
          ++calls;
          serve(request, *writer);
          if (mode == Mode::Silent) kept.push_back(writer);
        },
        error);
    REQUIRE_FALSE(error);
  }

  void put(const std::string& key, const std::string& value) {
    ++version;
    rows[key] = R"({"table":"t","part":"","key":")" + key + R"(","value":")" + encodeBase64(value) +
                R"(","ver":)" + std::to_string(version) + "}";
    changed[key] = version;
  }
  void remove(const std::string& key) {
    ++version;
    rows.erase(key);
    gone[key] = version;
  }

  void serve(const http::Request& request, http::ResponseWriter& writer) {
    if (mode == Mode::Silent) return;
    if (mode == Mode::Refusing) return writer.respond({503, {}, ""});
    const bool feed = request.path() == "/rows-feed";
    if (feed && std::exchange(mode, Mode::Sound) == Mode::HistoryCompacted)
      return writer.respond({410, {}, ""});
    const std::uint64_t after = feed ? std::stoull(request.query("after")) : 0;
    std::string list;
    for (const auto& [key, text] : rows) {
      if (changed[key] > after) list += (list.empty() ? "" : ",") + text;
    }
    for (const auto& [key, at] : gone) {
      if (feed && at > after) list += (list.empty() ? "" : ",") + (R"({"key":")" + key + R"(","gone":true})");
    }
    writer.respond(http::jsonResponse(
        200, "{\"rows\":[" + list + "],\"more\":false,\"ver\":" + std::to_string(version) + "}"));
  }

  std::unique_ptr<http::Server> server;
  Mode mode = Mode::Sound;
  std::uint64_t version = 10;
  std::map<std::string, std::string> rows;
  std::map<std::string, std::uint64_t> changed;
  std::map<std::string, std::uint64_t> gone;
  std::vector<std::shared_ptr<http::ResponseWriter>> kept;
  int calls = 0;
};

/// A feed of the store, and what it told.
struct Fixture {
  Fixture()
      : client(http::makeClient(context.get_executor())),
        calls(*client, "127.0.0.1:" + std::to_string(store.server->port())),
        feed(context.get_executor(), calls, "t", 20ms, callbacks(), 1) {}

  TableFeedCallbacks callbacks() {
    TableFeedCallbacks result;
    result.on_row = [this](const RelayedRow& row) {
      if (row.gone) {
        told.erase(row.key);
      } else {
        told[row.key] = row.value;
      }
    };
    result.on_whole = [this](const std::vector<std::string>& keys) {
      ++wholes;
      std::erase_if(told, [&keys](const auto& item) {
        return std::find(keys.begin(), keys.end(), item.first) == keys.end();
      });
    };
    result.on_contact = [this](TimePoint as_of) { contact = as_of; };
    result.on_trouble = [this] { ++troubles; };
    return result;
  }

  template <typename Condition>
  void runUntil(Condition condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < limit) context.run_one_for(100ms);
    REQUIRE(condition());
  }

  boost::asio::io_context context;
  Store store{context};
  std::unique_ptr<http::Client> client;
  StoreClient calls;
  std::map<std::string, std::string> told;
  int wholes = 0;
  int troubles = 0;
  TimePoint contact{};
  TableFeed feed;
};

}  // namespace

TEST_CASE("a feed tells the table, then its changes and removals", "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.wholes == 1; });
  CHECK(fixture.told == std::map<std::string, std::string>{{"a", "1"}});
  fixture.store.put("b", "2");
  fixture.runUntil([&] { return fixture.told.contains("b"); });
  fixture.store.remove("a");
  fixture.runUntil([&] { return !fixture.told.contains("a"); });
  CHECK(fixture.troubles == 0);
}

TEST_CASE("a feed reads everything again once history is gone", "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.wholes == 1; });
  // What happened in the gap is not in the feed any more.
  fixture.store.put("b", "2");
  fixture.store.rows.erase("a");
  fixture.store.mode = Store::Mode::HistoryCompacted;
  fixture.runUntil([&] { return fixture.wholes == 2; });
  CHECK(fixture.told == std::map<std::string, std::string>{{"b", "2"}});
}

TEST_CASE("a feed outlasts refusals and silence, and vouches for nothing meanwhile", "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.wholes == 1; });
  const auto mode = GENERATE(Store::Mode::Refusing, Store::Mode::Silent);
  fixture.store.mode = mode;
  fixture.runUntil([&] { return fixture.troubles > 0; });
  const TimePoint contact = fixture.contact;
  fixture.store.put("b", "2");
  fixture.runUntil([&] { return fixture.troubles > 1; });
  CHECK(fixture.contact == contact);
  CHECK_FALSE(fixture.told.contains("b"));
  fixture.store.mode = Store::Mode::Sound;
  fixture.runUntil([&] { return fixture.told.contains("b"); });
  CHECK(fixture.contact > contact);
}

TEST_CASE("a write under a condition tells done, conflict and unknown apart", "[table_feed]") {
  boost::asio::io_context context;
  std::error_code error;
  int status = 200;
  std::string body = R"({"ver":7,"now_ms":1})";
  http::Request seen;
  const auto server = http::listen(
      context.get_executor(), "127.0.0.1:0",
      [&](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        seen = request;
        writer->respond(http::jsonResponse(status, body));
      },
      error);
  REQUIRE_FALSE(error);
  const auto client = http::makeClient(context.get_executor());
  StoreClient store(*client, "127.0.0.1:" + std::to_string(server->port()));
  const auto write = [&] {
    std::optional<gateway::TableResponse> answer;
    store.write("t", "k", "value", 3, [&answer](gateway::TableResponse given) { answer = std::move(given); });
    while (!answer) context.run_one_for(100ms);
    return *answer;
  };
  CHECK(write().outcome == gateway::TableOutcome::Done);
  CHECK(seen.body.find(R"("ver":3)") != std::string::npos);
  status = 412;
  body = R"({"ver":8,"rows":[{"key":"k","value":"","ver":5}]})";
  const gateway::TableResponse conflict = write();
  CHECK(conflict.outcome == gateway::TableOutcome::Conflict);
  CHECK(conflict.rows.at(0).version == 5);
  status = 503;
  CHECK(write().outcome == gateway::TableOutcome::Rejected);
  status = 200;
  body = "broken";
  CHECK(write().outcome == gateway::TableOutcome::Unknown);
}

TEST_CASE("the directory lists the gateways and readiness follows the process", "[entry_service]") {
  boost::asio::io_context context;
  bool ready = false;
  std::vector<std::string> addresses;
  EntrySources sources;
  sources.ready = [&ready] { return ready; };
  std::string zone;
  sources.client_addresses = [&](const std::string& asked) {
    zone = asked;
    return addresses;
  };
  const EntryService service(context.get_executor(), sources);
  http::Request question;
  question.target = "/readyz";
  CHECK(service.answer(question).status == 503);
  ready = true;
  CHECK(service.answer(question).status == 200);
  question.target = "/lookup?name=h&region=r&zone=z";
  CHECK(service.answer(question).status == 503);
  addresses.assign(80, "10.0.0.1:1");
  const http::Response answer = service.answer(question);
  CHECK(answer.status == 200);
  CHECK(answer.body.find(R"("ttlS":2)") != std::string::npos);
  CHECK(std::count(answer.body.begin(), answer.body.end(), '1') == 64 * 3);
  CHECK(zone == "z");
  question.target = "/other";
  CHECK(service.answer(question).status == 404);
}

TEST_CASE("a paced feed gathers changes that come together into one call", "[table_feed]") {
  Fixture fixture;
  fixture.feed.setPause(300ms);
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.wholes == 1; });
  fixture.store.put("a", "1");
  fixture.runUntil([&] { return fixture.told.contains("a"); });
  const int calls = fixture.store.calls;
  // Each of these would be a call of its own without the pause.
  for (int change = 0; change < 5; ++change) {
    fixture.store.put("b", std::to_string(change));
    fixture.context.run_for(20ms);
  }
  fixture.runUntil([&] { return fixture.told["b"] == "4"; });
  CHECK(fixture.store.calls <= calls + 2);
}

TEST_CASE("a feed that hangs is asked anew at once when the store is known to answer again", "[table_feed]") {
  Fixture fixture;
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.wholes == 1; });
  fixture.store.mode = Store::Mode::Silent;
  fixture.store.kept.clear();
  fixture.runUntil([&] { return !fixture.store.kept.empty(); });
  fixture.store.mode = Store::Mode::Sound;
  fixture.store.put("a", "1");
  fixture.feed.askAnew();
  const auto began = std::chrono::steady_clock::now();
  fixture.runUntil([&] { return fixture.told.contains("a"); });
  // The hanging call would be given up after 1.2 s only.
  CHECK(std::chrono::steady_clock::now() - began < 1s);
  // Its end, which comes later, changes nothing.
  const int troubles = fixture.troubles;
  fixture.store.kept.clear();
  fixture.context.run_for(1500ms);
  CHECK(fixture.troubles == troubles);
}

namespace {

/// A source whose answers the test gives, and a feed of it that has read the table.
struct Calls : gateway::TableSource {
  explicit Calls(boost::asio::io_context& context)
      : feed(context.get_executor(), *this, "t", 100ms, news(), 1) {
    feed.start();
    gateway::TableResponse whole = answerAt(10);
    std::exchange(read_done, nullptr)(whole);
  }

  void read(const std::string&, const std::string&, gateway::TableCallback done) override {
    read_done = std::move(done);
  }
  void waitForChanges(const std::string&, std::uint64_t, Duration wait,
                      gateway::TableCallback done) override {
    waits.push_back(wait);
    calls.push_back(std::move(done));
  }
  void onLate(const std::string&) override { ++late; }

  static gateway::TableResponse answerAt(std::uint64_t version) {
    gateway::TableResponse answer;
    answer.outcome = gateway::TableOutcome::Done;
    answer.version = version;
    return answer;
  }
  TableFeedCallbacks news() {
    TableFeedCallbacks result;
    result.on_row = [](const RelayedRow&) {};
    result.on_whole = [](const std::vector<std::string>&) {};
    result.on_contact = [this](TimePoint) { ++contacts; };
    result.on_trouble = [this] { ++troubles; };
    result.on_silent_connection = [this] { ++silent_connections; };
    return result;
  }

  gateway::TableCallback read_done;
  std::vector<gateway::TableCallback> calls;
  std::vector<Duration> waits;
  int late = 0;
  int contacts = 0;
  int troubles = 0;
  int silent_connections = 0;
  TableFeed feed;
};

}  // namespace

TEST_CASE("a late answer is joined by one call by another way, without a wait",
          "[table_feed][silent_connections]") {
  boost::asio::io_context context;
  Calls source(context);
  REQUIRE(source.calls.size() == 1);
  // Late is 0.6 s after the sending: a wait of 0.1 s and 0.5 s more.
  context.run_for(300ms);
  CHECK(source.late == 0);
  crankspur::runUntil(context, [&] { return source.late == 1; });
  REQUIRE(source.calls.size() == 2);
  CHECK(source.waits[1] == Duration(0));
  context.run_for(1s);
  CHECK(source.calls.size() == 2);

  SECTION("the second call is answered: the connection of the first was silent") {
    source.calls[1](Calls::answerAt(10));
    CHECK(source.silent_connections == 1);
    CHECK(source.calls.size() == 3);
    CHECK(source.waits[2] == 100ms);
    // What becomes of the first one changes nothing.
    source.calls[0]({});
    CHECK(source.troubles == 0);
    CHECK(source.calls.size() == 3);
  }
  SECTION("the first call is answered after all: the store is slow") {
    source.calls[0](Calls::answerAt(10));
    CHECK(source.silent_connections == 0);
    CHECK(source.contacts == 2);
    CHECK(source.calls.size() == 3);
  }
  SECTION("one call fails: the other one may be answered yet") {
    source.calls[0]({});
    CHECK(source.troubles == 0);
    source.calls[1](Calls::answerAt(10));
    CHECK(source.contacts == 2);
    CHECK(source.silent_connections == 0);
  }
  SECTION("both fail: the store is in trouble") {
    source.calls[0]({});
    source.calls[1]({});
    CHECK(source.troubles == 1);
    context.restart();
    context.run_for(200ms);
    CHECK(source.calls.size() == 3);
  }
}
