#include "gateway_control/table_relay.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

/// A store that counts the calls and responds immediately or not at all.
struct FakeStore : TableSource {
  void read(const std::string&, const std::string&, TableCallback) override { ++calls; }
  void waitForChanges(const std::string&, std::uint64_t version, Duration, TableCallback done) override {
    ++calls;
    if (responds_immediately) done({TableOutcome::Done, {}, false, version, 0, {}});
  }
  void onLate(const std::string&) override { ++late; }
  bool responds_immediately = false;
  int calls = 0;
  int late = 0;
};

/// Two gateways on one event loop: one that reads the store and one on standby that reads from it.
struct ReaderAndStandby {
  ReaderAndStandby() {
    REQUIRE_FALSE(reader.listen("127.0.0.1:0"));
    reader_address = "127.0.0.1:" + std::to_string(reader.port());
    standby.setReaders({reader_address});
    reader.onRow("op", {"config", "one", 5, false});
    reader.onFullRead("op", {"config"});
    reader.onContact("op", 7, clock.now());
  }

  void wait(std::uint64_t after, Duration time) {
    result.reset();
    standby.waitForChanges("op", after, time,
                           [this](TableResponse response) { result = std::move(response); });
  }

  template <typename Condition>
  void runUntil(Condition condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < limit) context.run_one_for(50ms);
    REQUIRE(condition());
  }
  void runFor(Duration time) { context.run_for(std::chrono::microseconds(time)); }

  boost::asio::io_context context;
  SteadyClock clock;
  std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
  FakeStore store;
  TableRelay reader{context.get_executor(), *client, store, 1};
  TableRelay standby{context.get_executor(), *client, store, 2};
  std::string reader_address;
  std::optional<TableResponse> result;
};

}  // namespace

TEST_CASE("a gateway on standby reads the table from a serving gateway", "[table_relay]") {
  ReaderAndStandby pair;
  pair.standby.read("op", "", [&pair](TableResponse response) { pair.result = std::move(response); });
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome == TableOutcome::Done);
  CHECK(pair.result->version == 7);
  REQUIRE(pair.result->rows.size() == 1);
  CHECK(pair.result->rows[0].value == "one");
  REQUIRE(pair.result->as_of);
  CHECK(*pair.result->as_of <= pair.clock.now());
  CHECK(pair.store.calls == 0);
}

TEST_CASE("a request is held until the reader has changes or a more recent contact", "[table_relay]") {
  ReaderAndStandby pair;
  pair.wait(7, 5s);
  pair.runFor(100ms);
  CHECK_FALSE(pair.result);
  pair.reader.onRow("op", {"config", "two", 9, false});
  pair.reader.onContact("op", 9, pair.clock.now());
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->version == 9);
  CHECK(pair.result->rows.at(0).value == "two");
  pair.wait(9, 5s);
  pair.runFor(100ms);
  const TimePoint contact = pair.clock.now();
  pair.reader.onContact("op", 9, contact);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->rows.empty());
  CHECK(*pair.result->as_of <= contact);
  CHECK(contact - *pair.result->as_of < 1s);
}

TEST_CASE("the age of the reader's contact is forwarded to the requester", "[table_relay]") {
  ReaderAndStandby pair;
  const TimePoint contact = pair.clock.now() - 2s;
  TableRelay old{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(old.listen("127.0.0.1:0"));
  old.onFullRead("op", {});
  old.onContact("op", 8, contact);
  pair.standby.setReaders({"127.0.0.1:" + std::to_string(old.port())});
  pair.wait(8, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome == TableOutcome::Done);
  CHECK(*pair.result->as_of <= contact);
}

TEST_CASE("a reader whose contact is too old is replaced by the next one", "[table_relay]") {
  ReaderAndStandby pair;
  TableRelay lost{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(lost.listen("127.0.0.1:0"));
  lost.onFullRead("op", {});
  lost.onContact("op", 8, pair.clock.now() - 10s);
  pair.standby.setReaders({"127.0.0.1:" + std::to_string(lost.port()), pair.reader_address});
  pair.wait(6, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome != TableOutcome::Done);
  pair.wait(6, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome == TableOutcome::HistoryCompacted);
  CHECK(pair.store.calls == 0);
}

TEST_CASE("a reader that loses the store responds immediately, and the platform is read instead",
          "[table_relay]") {
  ReaderAndStandby pair;
  pair.wait(7, 5s);
  pair.runFor(100ms);
  pair.reader.onUnavailable("op");
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome != TableOutcome::Done);
  pair.wait(7, 5s);
  CHECK(pair.store.calls == 1);
  pair.wait(7, 5s);
  REQUIRE(pair.result);
  CHECK(pair.result->outcome == TableOutcome::Rejected);
  CHECK(pair.store.calls == 1);
}

TEST_CASE("a reader that lost the store holds no request until it has contact again", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.onUnavailable("op");
  pair.wait(7, 5s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome != TableOutcome::Done);
  ReaderAndStandby recovered;
  recovered.reader.onUnavailable("op");
  recovered.reader.onContact("op", 7, recovered.clock.now());
  recovered.wait(7, 0s);
  recovered.runUntil([&] { return recovered.result.has_value(); });
  CHECK(recovered.result->outcome == TableOutcome::Done);
}

// With a third of the machines cut off from the store, including the readers of a zone, gateways of the zone
// that could reach the store read it once and then not again for seconds, in neither feed of the two tables.
// After 6 s without contact they refused callers because of an old configuration (404) and outdated keys.
TEST_CASE("gateways whose readers are cut off keep reading a store that responds to them", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.onUnavailable("op");
  pair.wait(7, 5s);
  pair.runUntil([&] { return pair.result.has_value(); });
  pair.store.responds_immediately = true;
  for (int call = 1; call <= 3; ++call) {
    pair.wait(7, 5s);
    REQUIRE(pair.result);
    CHECK(pair.result->outcome == TableOutcome::Done);
    CHECK(pair.store.calls == call);
  }
}

TEST_CASE("a gateway that does not read the store itself rejects requests", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.setReaders({"127.0.0.1:9"});
  pair.wait(7, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome == TableOutcome::Rejected);
}

TEST_CASE("a request whose client disconnected is dropped", "[table_relay]") {
  ReaderAndStandby pair;
  {
    const std::unique_ptr<http::Client> passing = http::makeClient(pair.context.get_executor());
    http::Request request;
    request.target = "/table?name=op&after=7&wait_ms=5000";
    const auto exchange = passing->start(pair.reader_address, request, {}, {});
    pair.runFor(100ms);
    exchange->cancel();
    pair.runFor(100ms);
  }
  pair.reader.onContact("op", 7, pair.clock.now());
  pair.wait(7, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->outcome == TableOutcome::Done);
}

TEST_CASE("after a late response the next call goes to another reader, on a new connection",
          "[table_relay]") {
  ReaderAndStandby pair;
  TableRelay other{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(other.listen("127.0.0.1:0"));
  other.onFullRead("op", {});
  other.onContact("op", 7, pair.clock.now());
  other.onContact("op", 9, pair.clock.now());
  pair.standby.setReaders({pair.reader_address, "127.0.0.1:" + std::to_string(other.port())});
  pair.wait(7, 5s);
  pair.runFor(50ms);
  CHECK_FALSE(pair.result);
  pair.standby.onLate("op");
  pair.wait(7, 0s);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->version == 9);
  CHECK(pair.store.late == 0);
}

TEST_CASE("after a late response the store itself is called on a new connection", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.waitForChanges("op", 7, 5s, [](const TableResponse&) {});
  CHECK(pair.store.late == 0);
  pair.reader.onLate("op");
  CHECK(pair.store.late == 1);
}

// What another gateway passes on may be seconds old, which does not show what the platform states now.
TEST_CASE("a gateway on standby reads the platform itself once if it has to", "[table_relay]") {
  ReaderAndStandby pair;
  pair.store.responds_immediately = true;
  pair.standby.readPlatformNext("op");
  pair.wait(7, 0ms);
  REQUIRE(pair.result);
  CHECK_FALSE(pair.result->as_of);
  CHECK(pair.store.calls == 1);
  pair.wait(7, 0ms);
  pair.runUntil([&] { return pair.result.has_value(); });
  CHECK(pair.result->as_of);
  CHECK(pair.store.calls == 1);
}
