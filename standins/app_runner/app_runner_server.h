#pragma once
/// @file Serves an AppRunnerModel over HTTP; see docs/ARCHITECTURE.md "Application runner".

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"
#include "standins/app_runner/app_runner_model.h"

namespace crankspur::standin {

/// Faults that tests inject.
enum class RunnerAction { None, Crash, Freeze, Thaw, Leave };

/// HTTP server of one runner. Runs on a single executor thread.
class AppRunnerServer {
public:
  AppRunnerServer(const boost::asio::any_io_executor& executor, AppRunnerModel& model, const Clock& clock)
      : executor_(executor), model_(model), clock_(clock), timer_(executor), idle_timer_(executor) {}

  /// Listens on "IP:port".
  std::error_code start(const std::string& address);
  std::uint16_t port() const { return server_->port(); }
  /// Refuses new operations; calls `on_idle` once the last response is sent.
  void stop(std::function<void()> on_idle);

private:
  using Writer = std::shared_ptr<http::ResponseWriter>;
  struct BufferedRequest {
    http::Request request;
    Writer writer;
  };

  void handle(const http::Request& request, const Writer& writer);
  void dispatch(const http::Request& request, const Writer& writer);
  void execute(const http::Request& request, const Writer& writer);
  void control(const http::Request& request, const Writer& writer);
  void apply(RunnerAction action);
  std::string encodeRunner() const;
  std::string encodeExecutions() const;
  void processOutputs();
  void respond(const RunnerOutput& output);
  void checkIdle();

  boost::asio::any_io_executor executor_;
  AppRunnerModel& model_;
  const Clock& clock_;
  std::unique_ptr<http::Server> server_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer idle_timer_;
  std::map<RunnerCallId, Writer> calls_;
  std::vector<BufferedRequest> buffered_;  ///< Received while the runner was frozen.
  RunnerCallId last_call_ = 0;
  std::function<void()> on_idle_;
};

}  // namespace crankspur::standin
