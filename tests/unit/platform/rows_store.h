#pragma once
/// @file A store of the platform in a test's own loop: rows that the test writes, feeds that answer on a
/// change.

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

class RowsStore {
public:
  explicit RowsStore(boost::asio::io_context& context) : context_(context) {
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
  /// @param value as it stands in answers; need not be base64.
  void putEncoded(const std::string& table, const std::string& key, const std::string& value) {
    change({table, key, value, ++version_, false});
  }
  void remove(const std::string& table, const std::string& key) {
    change({table, key, "", ++version_, true});
  }

private:
  struct Row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
  };
  struct Held {
    std::string table;
    std::uint64_t after = 0;
    std::shared_ptr<http::ResponseWriter> writer;
  };

  void change(Row row) {
    log_.push_back(std::move(row));
    const std::list<Held> held = std::exchange(held_, {});
    for (const Held& call : held) answerFeed(call);
  }

  static boost::json::object json(const Row& row) {
    return {{"table", row.table}, {"part", ""},         {"key", row.key},
            {"value", row.value}, {"ver", row.version}, {"gone", row.gone}};
  }

  std::string body(const boost::json::array& rows) const {
    return boost::json::serialize(
        boost::json::object{{"rows", rows}, {"more", false}, {"ver", version_}, {"now_ms", 1}});
  }

  void answerFeed(const Held& call) {
    boost::json::array rows;
    for (const Row& row : log_) {
      if (row.table == call.table && row.version > call.after) rows.push_back(json(row));
    }
    if (rows.empty()) return held_.push_back(call);
    call.writer->respond(http::jsonResponse(200, body(rows)));
  }

  void serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
    const std::string table = request.query("table");
    if (request.path() == "/rows-feed") {
      const Held call{table, std::stoull(request.query("after")), writer};
      if (request.query("waitMs") != "0") return answerFeed(call);
      return writer->respond(http::jsonResponse(200, body({})));
    }
    std::map<std::string, Row> present;
    for (const Row& row : log_) {
      if (row.table == table) present[row.key] = row;
    }
    boost::json::array rows;
    for (const auto& [key, row] : present) {
      if (!row.gone) rows.push_back(json(row));
    }
    writer->respond(http::jsonResponse(200, body(rows)));
  }

  boost::asio::io_context& context_;
  std::unique_ptr<http::Server> server_;
  std::vector<Row> log_;
  std::list<Held> held_;
  std::uint64_t version_ = 1;
};

}  // namespace crankspur::platform
