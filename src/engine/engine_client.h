#pragma once
/// @file Client of model engines: the wire form of docs/ARCHITECTURE.md "Model engine" on http::Client.
/// Answers are untrusted: what does not decode strictly is Malformed. Callbacks come on the client's
/// executor thread and never from inside the call that started them.

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

/// Receives what an engine says of a dispatch. Exactly one of BackendEnd, BackendRefused and BackendLost
/// comes, last. BackendLost::bytes_sent is false only if the connect failed.
using BackendHandler = std::function<void(const BackendEvent&)>;

/// A running completion; destroying it closes the connection without a further event.
class EngineStream {
public:
  virtual ~EngineStream() = default;
  /// Closes the connection; the handler is not called any more. The engine is not told: see
  /// EngineClient::cancel().
  virtual void close() = 0;
};

/// Limits and time-outs of the client.
struct EngineClientOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  /// Time without a byte after which a completion is lost. Queueing at the engine counts.
  Duration stream_idle_timeout = std::chrono::seconds(10);
  Duration call_timeout = std::chrono::seconds(2);        ///< Idle time of short calls.
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;  ///< Longest answer of a short call.
};

/// Calls engines by address ("IP:port"). Not thread-safe: use from its executor's thread.
class EngineClient {
public:
  virtual ~EngineClient() = default;

  /// Starts a completion.
  virtual std::shared_ptr<EngineStream> complete(const DispatchCompletion& dispatch,
                                                 BackendHandler handler) = 0;
  /// Reads a request that the engine runs or finished lately, from a token offset.
  virtual std::shared_ptr<EngineStream> resume(const std::string& address, const EngineResume& resume,
                                               BackendHandler handler) = 0;
  /// Tells the engine to stop the attempt. `done` is optional.
  virtual void cancel(const std::string& address, const std::string& request_id, std::uint32_t attempt,
                      std::function<void(std::error_code)> done = {}) = 0;
  /// Each `done` gets an empty error beside a checked value, or an error beside a default value.
  virtual void fetchInfo(const std::string& address,
                         std::function<void(std::error_code, const EngineDescription&)> done) = 0;
  /// The report's measured_at is `clock.now()` less the stated age.
  virtual void fetchLoad(const std::string& address,
                         std::function<void(std::error_code, const EngineLoadAnswer&)> done) = 0;
  /// Waits up to `wait` for events after `after`.
  virtual void pollCacheEvents(const std::string& address, std::uint64_t after, Duration wait,
                               std::function<void(std::error_code, const CacheEventsAnswer&)> done) = 0;
  /// The error is RateLimited when asked too soon; retry_after is then set.
  virtual void fetchDigest(const std::string& address,
                           std::function<void(std::error_code, const CacheDigestAnswer&)> done) = 0;
  /// The error is Stale when the engine has seen a higher token.
  virtual void sendOrder(const std::string& address, const EngineOrderCall& order,
                         std::function<void(std::error_code)> done) = 0;
};

/// @param client and `clock` must outlive the engine client.
std::unique_ptr<EngineClient> makeEngineClient(http::Client& client, const Clock& clock,
                                               EngineClientOptions options = {});

}  // namespace crankspur
