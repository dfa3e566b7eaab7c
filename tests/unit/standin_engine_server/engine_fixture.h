#pragma once
/// @file An EngineServer and the EngineClient of the router on one io_context.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine_client.h"
#include "standins/engine_server/engine_server.h"
#include "unit/run_until.h"

namespace crankspur::standin {

struct EngineFixture {
  explicit EngineFixture(EngineTimings timings = fastTimings(), EngineServerOptions server_options = {})
      : model(options(), timings, 5, clock.now()),
        server(context.get_executor(), model, clock, log, std::move(server_options)),
        http_client(http::makeClient(context.get_executor())),
        client(makeEngineClient(*http_client, clock)) {
    REQUIRE_FALSE(server.start("127.0.0.1:0"));
  }

  static EngineOptions options() {
    EngineOptions options;
    options.name = "e1";
    options.models = {{"small", "w1", {"holiday"}}};
    return options;
  }

  static EngineTimings fastTimings() {
    EngineTimings timings;
    timings.prefill_tokens_per_second = 1e6;
    timings.prefill_chunk_base = std::chrono::milliseconds(1);
    timings.decode_step_base = std::chrono::milliseconds(1);
    timings.event_delay = std::chrono::milliseconds(5);
    return timings;
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

  DispatchCompletion dispatch(const std::string& id, std::uint32_t max_tokens = 20) const {
    DispatchCompletion dispatch;
    dispatch.address = address();
    dispatch.expected_incarnation = model.incarnation();
    dispatch.request.request_id = id;
    dispatch.request.tenant = "parts";
    dispatch.request.model = "small";
    dispatch.request.prompt = std::string(6400, 'p');
    dispatch.request.max_tokens = max_tokens;
    return dispatch;
  }

  void runUntil(const std::function<bool()>& condition) { crankspur::runUntil(context, condition); }

  boost::asio::io_context context{1};
  SteadyClock clock;
  NullEventLog log;
  EngineModel model;
  EngineServer server;
  std::unique_ptr<http::Client> http_client;
  std::unique_ptr<EngineClient> client;
};

/// Records the events of a dispatch.
struct EventRecorder {
  std::vector<BackendEvent> events;
  std::string text;

  BackendHandler handler() {
    return [this](const BackendEvent& event) {
      events.push_back(event);
      if (const auto* piece = std::get_if<BackendPiece>(&event)) text += piece->text;
    };
  }
  bool ended() const {
    if (events.empty()) return false;
    const BackendEvent& last = events.back();
    return std::holds_alternative<BackendEnd>(last) || std::holds_alternative<BackendRefused>(last) ||
           std::holds_alternative<BackendLost>(last);
  }
};

}  // namespace crankspur::standin
