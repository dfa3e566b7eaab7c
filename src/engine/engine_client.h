#pragma once
/// @file Client of model engines: speaks the protocol of docs/ARCHITECTURE.md "Model engine" over
/// http::Client. Responses are untrusted and decoded strictly; an invalid one is Malformed. Callbacks run on
/// the client's executor thread and never from inside the call that started them.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "base/time.h"
#include "engine/engine_messages.h"
#include "http/client.h"
#include "router/request_router.h"

namespace crankspur {

/// Receives the events of a dispatch. The last event is exactly one of BackendEnd, BackendRefused and
/// BackendLost. BackendLost::bytes_sent is false only if the connect failed.
using BackendHandler = std::function<void(const BackendEvent&)>;

/// A running completion. Destruction closes the connection; the handler is not called again.
class EngineStream {
public:
  virtual ~EngineStream() = default;
  /// Closes the connection; the handler is not called again. Does not cancel the attempt at the engine: see
  /// EngineClient::cancel().
  virtual void close() = 0;
};

/// Limits and timeouts of the client.
struct EngineClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// Maximum time without a byte before a completion counts as lost. Includes queueing at the engine.
  Duration stream_idle_timeout = std::chrono::seconds(10);
  Duration call_timeout = std::chrono::seconds(2);        ///< Idle timeout of all other calls.
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;  ///< Maximum response body of these calls.
};

/// Calls engines by address ("IP:port"). Not thread-safe: use only from the executor's thread.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  /// Starts a completion.
  virtual std::shared_ptr<EngineStream> complete(const DispatchCompletion& dispatch,
                                                 BackendHandler handler) = 0;
  /// Streams a request that the engine is running or finished recently, from a token offset.
  virtual std::shared_ptr<EngineStream> resume(const std::string& address, const EngineResumeRequest& resume,
                                               BackendHandler handler) = 0;
  /// Requests that the engine stop the attempt. `done` is optional.
  virtual void cancel(const std::string& address, const std::string& request_id, std::uint32_t attempt,
                      std::function<void(std::error_code)> done = {}) = 0;
  /// Fetches the engine's description. This and the following calls pass `done` either no error with a
  /// validated value or an error with a default value.
  virtual void fetchInfo(const std::string& address,
                         std::function<void(std::error_code, const EngineDescription&)> done) = 0;
  /// The report's measured_at is `clock.now()` minus the age stated by the engine.
  virtual void fetchLoad(const std::string& address,
                         std::function<void(std::error_code, const EngineLoadResponse&)> done) = 0;
  /// Long poll: waits up to `wait` for events with a sequence number above `after`.
  virtual void pollCacheEvents(const std::string& address, std::uint64_t after, Duration wait,
                               std::function<void(std::error_code, const CacheEventsResponse&)> done) = 0;
  /// The error is RateLimited when digests are requested too often; retry_after is then set.
  virtual void fetchDigest(const std::string& address,
                           std::function<void(std::error_code, const CacheDigestResponse&)> done) = 0;
  /// The error is Stale when the engine has already received a higher fencing token.
  virtual void sendOrder(const std::string& address, const EngineOrderRequest& order,
                         std::function<void(std::error_code)> done) = 0;
};

/// @param client and `clock` must outlive the engine client.
std::unique_ptr<EngineClient> makeEngineClient(http::Client& client, const Clock& clock,
                                               EngineClientOptions options = {});

}  // namespace crankspur
