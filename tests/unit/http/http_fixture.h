#pragma once
/// @file A server and a client in one io_context.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/server.h"
#include "unit/run_until.h"

namespace crankspur::http {

struct Outcome {
  std::error_code error;
  SendState state = SendState::NotSent;
  Response response;
};

struct HttpFixture {
  explicit HttpFixture(RequestHandler handler, ServerLimits limits = {}) {
    std::error_code error;
    server = listen(context.get_executor(), "127.0.0.1:0", std::move(handler), error, limits);
    REQUIRE_FALSE(error);
    client = makeClient(context.get_executor());
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }

  void runUntil(const std::function<bool()>& condition) { crankspur::runUntil(context, condition); }

  Outcome run(Request request) { return run(std::move(request), address()); }

  Outcome run(Request request, const std::string& target) {
    Outcome outcome;
    bool done = false;
    ExchangeCallbacks callbacks;
    callbacks.on_done = [&](std::error_code error, SendState state, Response response) {
      outcome = {error, state, std::move(response)};
      done = true;
    };
    client->start(target, std::move(request), callbacks);
    runUntil([&] { return done; });
    return outcome;
  }

  boost::asio::io_context context{1};
  std::unique_ptr<Server> server;
  std::unique_ptr<Client> client;
};

}  // namespace crankspur::http
