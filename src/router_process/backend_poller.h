#pragma once
/// @file Runs the polls of engines and runners that the engine table schedules. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "app_runner/app_runner_client.h"
#include "engine/engine_client.h"
#include "http/client.h"
#include "router/engine_table.h"

namespace crankspur {

/// Polls back ends and passes their responses to the engine table.
class BackendPoller {
public:
  /// @param engine_table must outlive the poller.
  /// @param on_change called after each response or failure.
  BackendPoller(const boost::asio::any_io_executor& executor, EngineTable& engine_table,
                std::function<void()> on_change);
  /// Starts the polls.
  void start(const std::vector<BackendPoll>& polls);
  /// @return the client for other calls to engines on this thread.
  EngineClient& engines() { return *engines_; }

private:
  void pollEngine(const BackendPoll& poll);
  void pollLoad(const BackendPoll& poll);
  void pollRunner(const BackendPoll& poll);
  void reportFailure(const std::string& name, std::error_code error);

  SteadyClock clock_;
  EngineTable& engine_table_;
  std::function<void()> on_change_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<EngineClient> engines_;
  std::unique_ptr<AppRunnerClient> runners_;
};

}  // namespace crankspur
