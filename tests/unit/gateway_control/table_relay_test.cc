#include "gateway_control/table_relay.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace crankspur;
using namespace crankspur::gateway;
using namespace std::chrono_literals;

namespace {

/// A store that counts the calls and keeps the answers open, or gives them.
struct FakeStore : TableSource {
  void read(const std::string&, const std::string&, TableCallback) override { ++calls; }
  void waitForChanges(const std::string&, std::uint64_t version, Duration, TableCallback done) override {
    ++calls;
    if (answers_at_once) done({TableOutcome::Done, {}, false, version, 0, {}});
  }
  void onLate(const std::string&) override { ++late; }
  bool answers_at_once = false;
  int calls = 0;
  int late = 0;
};

/// Two gateways on one loop: one that reads the store, and one that asks it.
struct ReaderAndStandby {
  ReaderAndStandby() {
    REQUIRE_FALSE(reader.listen("127.0.0.1:0"));
    reader_address = "127.0.0.1:" + std::to_string(reader.port());
    standby.setReaders({reader_address});
    reader.onRow("op", {"config", "one", 5, false});
    reader.onWhole("op", {"config"});
    reader.onContact("op", 7, clock.now());
  }

  void wait(std::uint64_t after, Duration time) {
    answer.reset();
    standby.waitForChanges("op", after, time,
                           [this](TableResponse response) { answer = std::move(response); });
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
  std::optional<TableResponse> answer;
};

}  // namespace

TEST_CASE("a gateway that stands by reads the table from one that serves", "[table_relay]") {
  ReaderAndStandby pair;
  pair.standby.read("op", "", [&pair](TableResponse response) { pair.answer = std::move(response); });
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome == TableOutcome::Done);
  CHECK(pair.answer->version == 7);
  REQUIRE(pair.answer->rows.size() == 1);
  CHECK(pair.answer->rows[0].value == "one");
  REQUIRE(pair.answer->as_of);
  CHECK(*pair.answer->as_of <= pair.clock.now());
  CHECK(pair.store.calls == 0);
}

TEST_CASE("a question is held until the reader has news or a newer contact", "[table_relay]") {
  ReaderAndStandby pair;
  pair.wait(7, 5s);
  pair.runFor(100ms);
  CHECK_FALSE(pair.answer);
  pair.reader.onRow("op", {"config", "two", 9, false});
  pair.reader.onContact("op", 9, pair.clock.now());
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->version == 9);
  CHECK(pair.answer->rows.at(0).value == "two");
  pair.wait(9, 5s);
  pair.runFor(100ms);
  const TimePoint contact = pair.clock.now();
  pair.reader.onContact("op", 9, contact);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->rows.empty());
  CHECK(*pair.answer->as_of <= contact);
  CHECK(contact - *pair.answer->as_of < 1s);
}

TEST_CASE("a contact that is old at the reader is as old at those that ask it", "[table_relay]") {
  ReaderAndStandby pair;
  const TimePoint contact = pair.clock.now() - 2s;
  TableRelay old{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(old.listen("127.0.0.1:0"));
  old.onWhole("op", {});
  old.onContact("op", 8, contact);
  pair.standby.setReaders({"127.0.0.1:" + std::to_string(old.port())});
  pair.wait(8, 0s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome == TableOutcome::Done);
  CHECK(*pair.answer->as_of <= contact);
}

TEST_CASE("a reader whose contact is too old is left for the next one", "[table_relay]") {
  ReaderAndStandby pair;
  TableRelay lost{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(lost.listen("127.0.0.1:0"));
  lost.onWhole("op", {});
  lost.onContact("op", 8, pair.clock.now() - 10s);
  pair.standby.setReaders({"127.0.0.1:" + std::to_string(lost.port()), pair.reader_address});
  pair.wait(6, 0s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome != TableOutcome::Done);
  pair.wait(6, 0s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome == TableOutcome::HistoryCompacted);
  CHECK(pair.store.calls == 0);
}

TEST_CASE("a reader in trouble tells so at once, and the platform is asked itself", "[table_relay]") {
  ReaderAndStandby pair;
  pair.wait(7, 5s);
  pair.runFor(100ms);
  pair.reader.onUnavailable("op");
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome != TableOutcome::Done);
  pair.wait(7, 5s);
  CHECK(pair.store.calls == 1);
  pair.wait(7, 5s);
  REQUIRE(pair.answer);
  CHECK(pair.answer->outcome == TableOutcome::Rejected);
  CHECK(pair.store.calls == 1);
}

TEST_CASE("a reader in trouble holds no question until it has its own contact again", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.onUnavailable("op");
  pair.wait(7, 5s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome != TableOutcome::Done);
  ReaderAndStandby sound;
  sound.reader.onUnavailable("op");
  sound.reader.onContact("op", 7, sound.clock.now());
  sound.wait(7, 0s);
  sound.runUntil([&] { return sound.answer.has_value(); });
  CHECK(sound.answer->outcome == TableOutcome::Done);
}

// A third of the machines were cut off from the store, the readers of a zone among them. Gateways of the zone
// that could reach it themselves asked it once, were answered, and then neither of the two tables' feeds
// asked again for seconds: 6 s without contact, callers refused by an old configuration (404) and for
// outdated keys.
TEST_CASE("gateways whose readers are cut off go on with a store that answers them", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.onUnavailable("op");
  pair.wait(7, 5s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  pair.store.answers_at_once = true;
  for (int call = 1; call <= 3; ++call) {
    pair.wait(7, 5s);
    REQUIRE(pair.answer);
    CHECK(pair.answer->outcome == TableOutcome::Done);
    CHECK(pair.store.calls == call);
  }
}

TEST_CASE("a gateway that does not read the store itself answers nobody", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.setReaders({"127.0.0.1:9"});
  pair.wait(7, 0s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome == TableOutcome::Rejected);
}

TEST_CASE("a question whose asker is gone is dropped", "[table_relay]") {
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
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->outcome == TableOutcome::Done);
}

TEST_CASE("after a late answer the next call goes to another reader, on a new connection", "[table_relay]") {
  ReaderAndStandby pair;
  TableRelay other{pair.context.get_executor(), *pair.client, pair.store, 3};
  REQUIRE_FALSE(other.listen("127.0.0.1:0"));
  other.onWhole("op", {});
  other.onContact("op", 7, pair.clock.now());
  other.onContact("op", 9, pair.clock.now());
  pair.standby.setReaders({pair.reader_address, "127.0.0.1:" + std::to_string(other.port())});
  pair.wait(7, 5s);
  pair.runFor(50ms);
  CHECK_FALSE(pair.answer);
  pair.standby.onLate("op");
  pair.wait(7, 0s);
  pair.runUntil([&] { return pair.answer.has_value(); });
  CHECK(pair.answer->version == 9);
  CHECK(pair.store.late == 0);
}

TEST_CASE("the store itself is asked on a new connection after a late answer", "[table_relay]") {
  ReaderAndStandby pair;
  pair.reader.waitForChanges("op", 7, 5s, [](const TableResponse&) {});
  CHECK(pair.store.late == 0);
  pair.reader.onLate("op");
  CHECK(pair.store.late == 1);
}
