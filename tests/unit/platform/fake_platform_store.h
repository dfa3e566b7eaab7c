#pragma once
/// @file Fake of the platform's store on the event loop of a test. The test writes the rows; feed requests
/// are held until there is a change or their wait is over.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bundle/signing.h"
#include "http/server.h"

namespace crankspur::platform {

/// Store with rows written by a test.
class FakePlatformStore {
public:
  explicit FakePlatformStore(boost::asio::io_context& context) : context_(context) {
    std::error_code error;
    const auto handler = [this](const http::Request& request,
                                const std::shared_ptr<http::ResponseWriter>& writer) {
      serve(request, writer);
    };
    server_ = http::listen(context.get_executor(), "127.0.0.1:0", handler, error);
    REQUIRE_FALSE(error);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

  void put(const std::string& table, const std::string& key, const std::string& document) {
    putEncoded(table, key, encodeBase64(document));
  }
  /// @param value as contained in responses; may be invalid base64.
  void putEncoded(const std::string& table, const std::string& key, const std::string& value) {
    appendRow({table, key, value, ++version_, false});
  }
  void remove(const std::string& table, const std::string& key) {
    appendRow({table, key, "", ++version_, true});
  }

private:
  struct Row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct HeldCall {
    std::string table;
    std::uint64_t after = 0;
    std::shared_ptr<http::ResponseWriter> writer;
    std::shared_ptr<boost::asio::steady_timer> timer;  ///< Ends the wait.
  };

  void appendRow(Row row) {
    log_.push_back(std::move(row));
    const std::list<HeldCall> held_calls = std::exchange(held_calls_, {});
    for (const HeldCall& call : held_calls) respondToFeed(call);
  }

  static boost::json::object toJson(const Row& row) {
    return {{"table", row.table}, {"part", ""},         {"key", row.key},
            {"value", row.value}, {"ver", row.version}, {"gone", row.removed}};
  }

  std::string body(const boost::json::array& rows) const {
    return boost::json::serialize(
        boost::json::object{{"rows", rows}, {"more", false}, {"ver", version_}, {"now_ms", 1}});
  }

  void respondToFeed(const HeldCall& call) {
    boost::json::array rows;
    for (const Row& row : log_) {
      if (row.table == call.table && row.version > call.after) rows.push_back(toJson(row));
    }
    if (rows.empty()) return held_calls_.push_back(call);
    call.timer->cancel();
    call.writer->respond(http::jsonResponse(200, body(rows)));
  }

  void hold(const HeldCall& call) {
    call.timer->async_wait([this, call](boost::system::error_code error) {
      if (error) return;
      held_calls_.remove_if([&call](const HeldCall& held) { return held.writer == call.writer; });
      call.writer->respond(http::jsonResponse(200, body({})));
    });
    respondToFeed(call);
  }

  void serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
    const std::string table = request.query("table");
    if (request.path() == "/rows-feed") {
      const std::chrono::milliseconds wait(std::stoul(request.query("waitMs")));
      const auto timer = std::make_shared<boost::asio::steady_timer>(context_, wait);
      return hold({table, std::stoull(request.query("after")), writer, timer});
    }
    std::map<std::string, Row> current_rows;
    for (const Row& row : log_) {
      if (row.table == table) current_rows[row.key] = row;
    }
    boost::json::array rows;
    for (const auto& [key, row] : current_rows) {
      if (!row.removed) rows.push_back(toJson(row));
    }
    writer->respond(http::jsonResponse(200, body(rows)));
  }

  boost::asio::io_context& context_;
  std::unique_ptr<http::Server> server_;
  std::vector<Row> log_;
  std::list<HeldCall> held_calls_;
  std::uint64_t version_ = 1;
};

}  // namespace crankspur::platform
