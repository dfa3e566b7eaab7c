#include "platform/table_feed.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "bundle/signing.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/discovery_service.h"
#include "platform/store_client.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

/// Fake store with one table; `mode` controls its responses.
struct FakeStore {
  enum class Mode { Normal, Unresponsive, Rejecting, HistoryCompacted };

  explicit FakeStore(boost::asio::io_context& context) {
    std::error_code error;
    server = http::listen(
        context.get_executor(), "127.0.0.1:0",
        [this](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
          ++calls;
          serve(request, *writer);
          if (mode == Mode::Unresponsive) held_writers.push_back(writer);
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
    removed[key] = version;
  }

  void serve(const http::Request& request, http::ResponseWriter& writer) {
    if (mode == Mode::Unresponsive) return;
    if (mode == Mode::Rejecting) return writer.respond({503, {}, ""});
    const bool feed = request.path() == "/rows-feed";
    if (feed && std::exchange(mode, Mode::Normal) == Mode::HistoryCompacted)
      return writer.respond({410, {}, ""});
    const std::uint64_t after = feed ? std::stoull(request.query("after")) : 0;
    std::string list;
    for (const auto& [key, text] : rows) {
      if (changed[key] > after) list += (list.empty() ? "" : ",") + text;
    }
    for (const auto& [key, at] : removed) {
      if (feed && at > after) list += (list.empty() ? "" : ",") + (R"({"key":")" + key + R"(","gone":true})");
    }
    writer.respond(http::jsonResponse(
        200, "{\"rows\":[" + list + "],\"more\":false,\"ver\":" + std::to_string(version) + "}"));
  }

  std::unique_ptr<http::Server> server;
  Mode mode = Mode::Normal;
  std::uint64_t version = 10;
  std::map<std::string, std::string> rows;
  std::map<std::string, std::uint64_t> changed;
  std::map<std::string, std::uint64_t> removed;
  std::vector<std::shared_ptr<http::ResponseWriter>> held_writers;
  int calls = 0;
};

/// A feed of the store, and what it delivered.
struct Fixture {
  Fixture()
      : client(http::makeClient(context.get_executor())),
        calls(*client, "127.0.0.1:" + std::to_string(store.server->port())),
        feed(context.get_executor(), calls, "t", 20ms, callbacks(), 1) {}

  TableFeedCallbacks callbacks() {
    TableFeedCallbacks result;
    result.on_row = [this](const RelayedRow& row) {
      if (row.gone) {
        delivered.erase(row.key);
      } else {
        delivered[row.key] = row.value;
      }
    };
    result.on_full_read = [this](const std::vector<std::string>& keys) {
      ++full_reads;
      std::erase_if(delivered, [&keys](const auto& item) {
        return std::find(keys.begin(), keys.end(), item.first) == keys.end();
      });
    };
    result.on_contact = [this](TimePoint as_of) { contact = as_of; };
    result.on_failure = [this] { ++failures; };
    result.on_silent_connection = [] {};
    return result;
  }

  template <typename Condition>
  void runUntil(Condition condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < limit) context.run_one_for(100ms);
    REQUIRE(condition());
  }

  boost::asio::io_context context;
  FakeStore store{context};
  std::unique_ptr<http::Client> client;
  StoreClient calls;
  std::map<std::string, std::string> delivered;
  int full_reads = 0;
  int failures = 0;
  TimePoint contact{};
  TableFeed feed;
};

}  // namespace

TEST_CASE("a feed delivers the table, then its changes and removals", "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  CHECK(fixture.delivered == std::map<std::string, std::string>{{"a", "1"}});
  fixture.store.put("b", "2");
  fixture.runUntil([&] { return fixture.delivered.contains("b"); });
  fixture.store.remove("a");
  fixture.runUntil([&] { return !fixture.delivered.contains("a"); });
  CHECK(fixture.failures == 0);
}

TEST_CASE("a feed reads the complete table again if the history was compacted", "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  // The feed no longer contains the changes in the gap.
  fixture.store.put("b", "2");
  fixture.store.rows.erase("a");
  fixture.store.mode = FakeStore::Mode::HistoryCompacted;
  fixture.runUntil([&] { return fixture.full_reads == 2; });
  CHECK(fixture.delivered == std::map<std::string, std::string>{{"b", "2"}});
}

// A compacted history counted as a failure of the platform. Back ends whose entries had disappeared by the
// complete read that follows stayed in use for 2.8 s, as if the platform had been unreachable.
TEST_CASE("a compacted history is not reported as a failure of the platform", "[table_feed][departures]") {
  Fixture fixture;
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  fixture.store.mode = FakeStore::Mode::HistoryCompacted;
  fixture.runUntil([&] { return fixture.full_reads == 2; });
  CHECK(fixture.failures == 0);
}

TEST_CASE("a feed recovers from rejected and unanswered calls and confirms nothing in the meantime",
          "[table_feed]") {
  Fixture fixture;
  fixture.store.put("a", "1");
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  const auto mode = GENERATE(FakeStore::Mode::Rejecting, FakeStore::Mode::Unresponsive);
  fixture.store.mode = mode;
  fixture.runUntil([&] { return fixture.failures > 0; });
  const TimePoint contact = fixture.contact;
  fixture.store.put("b", "2");
  fixture.runUntil([&] { return fixture.failures > 1; });
  CHECK(fixture.contact == contact);
  CHECK_FALSE(fixture.delivered.contains("b"));
  fixture.store.mode = FakeStore::Mode::Normal;
  fixture.runUntil([&] { return fixture.delivered.contains("b"); });
  CHECK(fixture.contact > contact);
}

TEST_CASE("a conditional write distinguishes done, conflict and unknown", "[table_feed]") {
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
    std::optional<gateway::TableResponse> response;
    store.write("t", "k", "value", 3,
                [&response](gateway::TableResponse received) { response = std::move(received); });
    while (!response) context.run_one_for(100ms);
    return *response;
  };
  CHECK(write().outcome == gateway::TableOutcome::Done);
  CHECK(seen.body.text().find(R"("ver":3)") != std::string::npos);
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
  DiscoverySources sources;
  sources.ready = [&ready] { return ready; };
  std::string zone;
  sources.client_addresses = [&](const std::string& client_zone) {
    zone = client_zone;
    return addresses;
  };
  const DiscoveryService service(context.get_executor(), sources, nullptr);
  http::Request request;
  request.target = "/readyz";
  CHECK(service.handle(request).status == 503);
  ready = true;
  CHECK(service.handle(request).status == 200);
  request.target = "/lookup?name=h&region=r&zone=z";
  CHECK(service.handle(request).status == 503);
  addresses.assign(80, "10.0.0.1:1");
  const http::Response response = service.handle(request);
  CHECK(response.status == 200);
  CHECK(response.body.find(R"("ttlS":2)") != std::string::npos);
  CHECK(std::count(response.body.begin(), response.body.end(), '1') == 64 * 3);
  CHECK(zone == "z");
  request.target = "/other";
  CHECK(service.handle(request).status == 404);
}

TEST_CASE("a feed with a batch delay reads changes in quick succession with one call", "[table_feed]") {
  Fixture fixture;
  fixture.feed.setBatchDelay(300ms);
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  fixture.store.put("a", "1");
  fixture.runUntil([&] { return fixture.delivered.contains("a"); });
  const int calls = fixture.store.calls;
  // Without the delay, each of these changes would cause a call.
  for (int change = 0; change < 5; ++change) {
    fixture.store.put("b", std::to_string(change));
    fixture.context.run_for(20ms);
  }
  fixture.runUntil([&] { return fixture.delivered["b"] == "4"; });
  CHECK(fixture.store.calls <= calls + 2);
}

TEST_CASE("refresh() replaces a pending call immediately", "[table_feed]") {
  Fixture fixture;
  fixture.feed.start();
  fixture.runUntil([&] { return fixture.full_reads == 1; });
  fixture.store.mode = FakeStore::Mode::Unresponsive;
  fixture.store.held_writers.clear();
  fixture.runUntil([&] { return !fixture.store.held_writers.empty(); });
  fixture.store.mode = FakeStore::Mode::Normal;
  fixture.store.put("a", "1");
  fixture.feed.refresh();
  const auto began = std::chrono::steady_clock::now();
  fixture.runUntil([&] { return fixture.delivered.contains("a"); });
  // The pending call would time out only after 1.2 s.
  CHECK(std::chrono::steady_clock::now() - began < 1s);
  // Its later failure is ignored.
  const int failures = fixture.failures;
  fixture.store.held_writers.clear();
  fixture.context.run_for(1500ms);
  CHECK(fixture.failures == failures);
}

namespace {

/// Source whose responses are sent by the test, and a feed that has completely read the table from it.
struct FakeSource : gateway::TableSource {
  explicit FakeSource(boost::asio::io_context& context)
      : feed(context.get_executor(), *this, "t", 100ms, callbacks(), 1) {
    feed.start();
    gateway::TableResponse full_read = responseAt(10);
    std::exchange(read_done, nullptr)(full_read);
  }

  void read(const std::string&, const std::string&, gateway::TableCallback done) override {
    read_done = std::move(done);
  }
  void waitForChanges(const std::string&, std::uint64_t, Duration wait,
                      gateway::TableCallback done) override {
    waits.push_back(wait);
    calls.push_back(std::move(done));
  }
  void onLate(const std::string&) override { ++late_calls; }

  static gateway::TableResponse responseAt(std::uint64_t version) {
    gateway::TableResponse response;
    response.outcome = gateway::TableOutcome::Done;
    response.version = version;
    return response;
  }
  TableFeedCallbacks callbacks() {
    TableFeedCallbacks result;
    result.on_row = [](const RelayedRow&) {};
    result.on_full_read = [](const std::vector<std::string>&) {};
    result.on_contact = [this](TimePoint) { ++contacts; };
    result.on_failure = [this] { ++failures; };
    result.on_outage = [this] { ++outages; };
    result.on_silent_connection = [this] { ++silent_connections; };
    return result;
  }

  gateway::TableCallback read_done;
  std::vector<gateway::TableCallback> calls;
  std::vector<Duration> waits;
  int late_calls = 0;
  int contacts = 0;
  int failures = 0;
  int outages = 0;
  int silent_connections = 0;
  TableFeed feed;
};

}  // namespace

TEST_CASE("a late response triggers a call on another connection, without a wait, and a third one at most",
          "[table_feed][silent_connections]") {
  boost::asio::io_context context;
  FakeSource source(context);
  REQUIRE(source.calls.size() == 1);
  // A response is late 0.6 s after the call was sent: a wait of 0.1 s plus 0.5 s.
  context.run_for(300ms);
  CHECK(source.late_calls == 0);
  crankspur::runUntil(context, [&] { return source.late_calls == 1; });
  REQUIRE(source.calls.size() == 2);
  CHECK(source.waits[1] == Duration(0));
  // The second call is late 0.5 s after it was sent.
  context.run_for(300ms);
  CHECK(source.calls.size() == 2);

  SECTION("the second call gets a response: the connection of the first was silent") {
    source.calls[1](FakeSource::responseAt(10));
    CHECK(source.silent_connections == 1);
    CHECK(source.calls.size() == 3);
    CHECK(source.waits[2] == 100ms);
    // The outcome of the first call is ignored.
    source.calls[0]({});
    CHECK(source.failures == 0);
    CHECK(source.calls.size() == 3);
  }
  SECTION("the first call gets a response after all: the store is slow") {
    source.calls[0](FakeSource::responseAt(10));
    CHECK(source.silent_connections == 0);
    CHECK(source.contacts == 2);
    CHECK(source.calls.size() == 3);
  }
  SECTION("one call fails: the other one may still get a response") {
    source.calls[0]({});
    CHECK(source.failures == 0);
    source.calls[1](FakeSource::responseAt(10));
    CHECK(source.contacts == 2);
    CHECK(source.silent_connections == 0);
  }
  SECTION("the second call is late as well") {
    crankspur::runUntil(context, [&] { return source.calls.size() == 3; });
    CHECK(source.late_calls == 2);
    CHECK(source.waits[2] == Duration(0));
    context.restart();
    context.run_for(1500ms);
    CHECK(source.calls.size() == 3);
    source.calls[2](FakeSource::responseAt(10));
    CHECK(source.silent_connections == 1);
    CHECK(source.failures == 0);
  }
  SECTION("both calls fail: the store is unavailable") {
    source.calls[0]({});
    source.calls[1]({});
    CHECK(source.failures == 1);
    context.restart();
    context.run_for(200ms);
    CHECK(source.calls.size() == 3);
  }
}

// Each broken connection started the grace period of back ends whose entries disappear, so that those that
// had left without an announcement stayed in use although the store responded to the next call.
TEST_CASE("calls that fail in succession are an outage, a single one is not", "[table_feed][departures]") {
  boost::asio::io_context context;
  FakeSource source(context);
  source.calls[0]({});
  CHECK(source.failures == 1);
  CHECK(source.outages == 0);
  crankspur::runUntil(context, [&] { return source.calls.size() == 2; });

  SECTION("the next call fails as well") {
    source.calls[1]({});
    CHECK(source.outages == 1);
  }
  SECTION("the next call gets a response, and a later one fails") {
    source.calls[1](FakeSource::responseAt(10));
    source.calls[2]({});
    CHECK(source.failures == 2);
    CHECK(source.outages == 0);
  }
  SECTION("the history is compacted") {
    gateway::TableResponse compacted;
    compacted.outcome = gateway::TableOutcome::HistoryCompacted;
    source.calls[1](compacted);
    CHECK(source.outages == 0);
  }
}

// The feed waited for the timeout of its last call and a backoff before the next call, up to 2 s. A gateway
// that the store did not respond to for a while read the list that much later than the others once it was
// back.
TEST_CASE("while the store is silent a call is sent every 0.5 s, with three pending at most",
          "[table_feed][departures]") {
  constexpr Duration kCallTimeout = 1200ms;
  boost::asio::io_context context;
  FakeSource source(context);
  std::vector<TimePoint> sent_at;
  SteadyClock clock;
  const TimePoint end = clock.now() + 4s;
  std::size_t timed_out = 0;
  while (clock.now() < end) {
    context.restart();
    context.run_for(10ms);
    while (sent_at.size() < source.calls.size()) sent_at.push_back(clock.now());
    const bool due = timed_out < sent_at.size() && clock.now() - sent_at[timed_out] > kCallTimeout;
    if (due) source.calls[timed_out++]({});
    CHECK(source.calls.size() - timed_out <= 3);
  }
  for (std::size_t index = 2; index < sent_at.size(); ++index) {
    CHECK(sent_at[index] - sent_at[index - 1] < 700ms);
  }
  CHECK(source.outages > 0);
  source.calls.back()(FakeSource::responseAt(10));
  CHECK(source.contacts == 2);
}

TEST_CASE("a call and its second one on another connection that both fail are an outage",
          "[table_feed][departures]") {
  boost::asio::io_context context;
  FakeSource source(context);
  crankspur::runUntil(context, [&] { return source.calls.size() == 2; });
  source.calls[0]({});
  CHECK(source.outages == 0);
  source.calls[1]({});
  CHECK(source.outages == 1);
}

// Gateways that resume streams confirm the list up to twice a second while the store does not respond in
// time, and each time abandoned the call that a slow store was about to respond to: they followed no list.
TEST_CASE("a confirmation leaves a call to a slow store pending and sends its own after the response",
          "[table_feed]") {
  boost::asio::io_context context;
  FakeSource source(context);
  source.feed.confirm();
  REQUIRE(source.calls.size() == 2);
  CHECK(source.waits[1] == Duration(0));
  context.run_for(1ms);
  source.feed.confirm();
  REQUIRE(source.calls.size() == 2);
  source.calls[1](FakeSource::responseAt(11));
  CHECK(source.feed.version() == 11);
  REQUIRE(source.calls.size() == 3);
  CHECK(source.waits[2] == Duration(0));
  source.calls[2](FakeSource::responseAt(12));
  CHECK(source.feed.version() == 12);
  REQUIRE(source.calls.size() == 4);
  CHECK(source.waits[3] == 100ms);
}

// It repeated the call for changes, whose history is gone, so that a full read that takes longer than the
// time between two confirmations was never completed.
TEST_CASE("a feed whose history was compacted reads the table in full although the list is to be confirmed",
          "[table_feed]") {
  boost::asio::io_context context;
  FakeSource source(context);
  gateway::TableResponse compacted;
  compacted.outcome = gateway::TableOutcome::HistoryCompacted;
  source.calls[0](compacted);
  source.feed.confirm();
  CHECK(source.calls.size() == 1);
  REQUIRE(source.read_done);
  const gateway::TableCallback first_read = std::exchange(source.read_done, nullptr);
  source.feed.confirm();
  CHECK_FALSE(source.read_done);
  first_read(FakeSource::responseAt(20));
  CHECK(source.feed.version() == 20);
}
