/// @file Guards against a table that another writer makes so large that the gateways on standby, which read
/// it from another gateway in one message, reject each message and never follow the table.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_control/table_relay.h"
#include "http/client.h"
#include "platform/table_feed.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kPageBytes = std::size_t{1024} * 1024;
/// Rows of 64 KB that fit in one message.
constexpr std::size_t kRowsOfOneMessage = 100;
constexpr char kTable[] = "servers";

/// Store in memory that returns a table in pages, as the platform's store does.
class PagedStore : public gateway::TableSource {
public:
  explicit PagedStore(boost::asio::io_context& context) : context_(context) {}

  void put(const std::string& key, const std::string& value) { rows_[key] = {key, value, ++version_, false}; }

  void read(const std::string&, const std::string& from, gateway::TableCallback done) override {
    ++calls;
    gateway::TableResponse page = response();
    std::size_t bytes = 0;
    auto row = rows_.lower_bound(from);
    for (; row != rows_.end() && bytes < kPageBytes; ++row) {
      bytes += row->second.value.size();
      page.rows.push_back(row->second);
    }
    page.more = row != rows_.end();
    respond(std::move(page), std::move(done));
  }
  void waitForChanges(const std::string&, std::uint64_t version, Duration,
                      gateway::TableCallback done) override {
    ++calls;
    respond(changesAfter(version), std::move(done));
  }
  void onLate(const std::string&) override {}

  gateway::TableResponse changesAfter(std::uint64_t version) const {
    gateway::TableResponse changes = response();
    for (const auto& [key, row] : rows_) {
      if (row.version > version) changes.rows.push_back(row);
    }
    return changes;
  }

  std::size_t calls = 0;

private:
  void respond(gateway::TableResponse result, gateway::TableCallback done) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, 5ms);
    timer->async_wait([timer, result = std::move(result), done = std::move(done)](boost::system::error_code) {
      done(result);
    });
  }
  gateway::TableResponse response() const {
    return {gateway::TableOutcome::Done, {}, false, version_, 1, {}};
  }

  boost::asio::io_context& context_;
  std::map<std::string, RelayedRow> rows_;
  std::uint64_t version_ = 1;
};

/// A gateway that serves its copy of the table, and one on standby that follows the table.
struct ReaderAndStandby {
  ReaderAndStandby() {
    REQUIRE_FALSE(reader.listen("127.0.0.1:0"));
    standby.setReaders({"127.0.0.1:" + std::to_string(reader.port())});
  }

  /// The reader reads the complete store.
  void updateReader() {
    std::vector<std::string> keys;
    const gateway::TableResponse all = store.changesAfter(0);
    for (const RelayedRow& row : all.rows) {
      reader.onRow(kTable, row);
      keys.push_back(row.key);
    }
    reader.onFullRead(kTable, keys);
    reader.onContact(kTable, all.version, clock.now());
  }

  TableFeedCallbacks callbacks() {
    TableFeedCallbacks result;
    result.on_row = [this](const RelayedRow& row) { delivered[row.key] = row.value.size(); };
    result.on_full_read = [this](const std::vector<std::string>&) { ++full_reads; };
    result.on_contact = [](TimePoint) {};
    result.on_failure = [this] { ++failures; };
    result.on_silent_connection = [] {};
    return result;
  }

  boost::asio::io_context context;
  SteadyClock clock;
  std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
  PagedStore store{context};
  gateway::TableRelay reader{context.get_executor(), *client, store, 1};
  gateway::TableRelay standby{context.get_executor(), *client, store, 2};
  std::map<std::string, std::size_t> delivered;
  int full_reads = 0;
  int failures = 0;
  TableFeed feed{context.get_executor(), standby, kTable, 50ms, callbacks(), 1};
};

}  // namespace

TEST_CASE("a gateway on standby follows a table with large rows, and reads the store if they fit no message",
          "[odd_rows][table_relay]") {
  const std::size_t rows = GENERATE(as<std::size_t>{}, kRowsOfOneMessage, 200, 2'000);
  CAPTURE(rows);
  ReaderAndStandby pair;
  const std::string value(std::size_t{64} * 1024, 'x');
  for (std::size_t row = 0; row < rows; ++row) pair.store.put("odd " + std::to_string(row), value);
  pair.updateReader();
  pair.feed.start();
  runUntil(pair.context, [&] { return pair.full_reads > 0; });
  CHECK(pair.delivered.size() == rows);
  pair.store.put("later", "1");
  pair.updateReader();
  runUntil(pair.context, [&] { return pair.delivered.contains("later"); });
  if (rows == kRowsOfOneMessage) CHECK(pair.store.calls == 0);
}
