#pragma once
/// @file Fake of the platform's store on the event loop of a test. Its tables are empty and never change:
/// feed requests get a response at the end of their wait, reads immediately.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "http/server.h"

namespace crankspur::platform {

/// Store whose tables never change.
class IdlePlatformStore {
public:
  explicit IdlePlatformStore(boost::asio::io_context& context) : context_(context) {
    std::error_code error;
    const auto handler = [this](const http::Request& request,
                                const std::shared_ptr<http::ResponseWriter>& writer) {
      serve(request, writer);
    };
    server_ = http::listen(context.get_executor(), "127.0.0.1:0", handler, error);
    REQUIRE_FALSE(error);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

private:
  void serve(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
    const std::string body = R"({"rows":[],"more":false,"ver":10,"now_ms":1})";
    const std::string wait = request.query("waitMs");
    if (request.path() != "/rows-feed" || wait == "0") return writer->respond(http::jsonResponse(200, body));
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(std::stoul(wait)));
    timer->async_wait(
        [timer, writer, body](boost::system::error_code) { writer->respond(http::jsonResponse(200, body)); });
  }

  boost::asio::io_context& context_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur::platform
