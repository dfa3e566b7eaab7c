#pragma once
/// @file Client of application runners: speaks the protocol of docs/ARCHITECTURE.md "Application runner" over
/// http::Client. Callbacks run on the client's executor thread.

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

/// Response to GET /v1/runner.
struct RunnerDescription {
  std::string name;
  std::uint64_t incarnation = 0;
  bool leaving = false;
  std::vector<std::string> operations;
};

/// Decodes an untrusted response to GET /v1/runner.
/// @return Malformed when the response is invalid.
std::error_code decodeRunnerDescription(std::string_view json, RunnerDescription& out);
/// Decodes the result text of an untrusted response to POST /v1/execute.
/// @return Malformed when the response is invalid.
std::error_code decodeExecuteResponse(std::string_view json, std::string& result);
/// @return the body of POST /v1/execute.
std::string encodeExecuteRequest(const SubmitRequest& request);

/// A running operation. Destruction closes the connection; the handler is not called again.
class RunnerCall {
public:
  virtual ~RunnerCall() = default;
  /// Closes the connection; the handler is not called again.
  virtual void close() = 0;
};

/// Limits and timeouts of the client.
struct AppRunnerClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(10);
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;  ///< Maximum size of a response body.
};

/// Calls application runners by address ("IP:port"). Not thread-safe.
class AppRunnerClient {
public:
  virtual ~AppRunnerClient() = default;
  /// Runs an operation once and never retries. On success the handler receives BackendAccepted, then one
  /// BackendPiece at offset 0 whose text is the result and whose token_count is countTokens() of it (none for
  /// an empty result), then BackendEnd with finish_reason "done". Otherwise it receives either BackendRefused
  /// or BackendLost.
  virtual std::shared_ptr<RunnerCall> execute(const DispatchOperation& dispatch,
                                              std::function<void(const BackendEvent&)> handler) = 0;
  /// Fetches the runner's description. An error comes with a default value.
  virtual void fetchInfo(const std::string& address,
                         std::function<void(std::error_code, const RunnerDescription&)> done) = 0;
};

/// @param client must outlive the runner client.
std::unique_ptr<AppRunnerClient> makeAppRunnerClient(http::Client& client,
                                                     AppRunnerClientOptions options = {});

}  // namespace crankspur
