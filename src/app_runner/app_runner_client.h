#pragma once
/// @file Client of application runners: the wire form of docs/ARCHITECTURE.md "Application runner" on
/// http::Client. Callbacks come on the client's executor thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "base/time.h"
#include "http/client.h"
#include "router/request_router.h"

namespace crankspur {

/// Answer of GET /v1/runner.
struct RunnerDescription {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  std::vector<std::string> operations;
};

/// Decodes an untrusted answer of GET /v1/runner; Malformed when it does not decode.
std::error_code decodeRunnerDescription(std::string_view json, RunnerDescription& out);
/// Decodes the result text of an untrusted answer of POST /v1/execute.
std::error_code decodeExecution(std::string_view json, std::string& result);
/// @return body of POST /v1/execute.
std::string encodeExecution(const SubmitRequest& request);

/// A running operation; destroying it closes the connection without a further event.
class RunnerCall {
public:
  virtual ~RunnerCall() = default;
  virtual void close() = 0;
};

/// Limits and time-outs of the client.
struct AppRunnerClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(10);
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
};

/// Calls application runners by address ("IP:port"). Not thread-safe.
class AppRunnerClient {
public:
  virtual ~AppRunnerClient() = default;
  /// Runs an operation once. A success gives BackendAccepted, one BackendPiece at offset 0 with the result as
  /// its text (token_count countTokens of it), and BackendEnd with finish_reason "done"; else one of
  /// BackendRefused and BackendLost. Never retries.
  virtual std::shared_ptr<RunnerCall> execute(const DispatchOperation& dispatch,
                                              std::function<void(const BackendEvent&)> handler) = 0;
  virtual void fetchInfo(const std::string& address,
                         std::function<void(std::error_code, const RunnerDescription&)> done) = 0;
};

/// @param client must outlive the runner client.
std::unique_ptr<AppRunnerClient> makeAppRunnerClient(http::Client& client,
                                                     AppRunnerClientOptions options = {});

}  // namespace crankspur
