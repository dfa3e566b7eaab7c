#pragma once
/// @file Traffic side of a gateway: the HTTP server for clients, the HTTP exchanges with back ends, and one
/// traffic thread that runs the decision code of gateway/. The control side publishes snapshots to it and
/// receives its observations through callbacks.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "base/byte_budget.h"
#include "base/time.h"
#include "gateway/cached_parts.h"
#include "gateway/dialect.h"
#include "gateway/drain_policy.h"
#include "gateway/gateway.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/load_meter.h"
#include "http/server.h"

namespace crankspur::gateway {

/// Construction parameters of a gateway process.
struct GatewayProcessSettings {
  std::string listen_address;  ///< "IP:port" for clients; port 0 lets the system choose.
  std::string node_name;
  std::uint64_t random_seed = 1;
  /// For the bytes held for clients: bodies, heads and responses that are not read; null: no limit.
  std::shared_ptr<ByteBudget> budget;
  GatewaySettings decisions;
};

/// Observations of the traffic side. All callbacks run on the traffic thread; implementations must post to
/// their own thread.
struct TrafficCallbacks {
  /// A connection could not be established, or several exchanges in a row were interrupted.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_unreachable;
  /// The back end responded that it is not the expected incarnation, or that it has other weights.
  /// @param weights_version version stated in its response.
  std::function<void(EngineSlot, std::uint64_t incarnation, std::optional<std::uint64_t> weights_version)>
      on_wrong_backend;
  /// Load that this gateway has placed on each engine, to be sent to the other gateways. Called several times
  /// a second while there is any.
  std::function<void(LoadDigest)> on_own_load_digest;
  /// Load of the traffic thread; called several times a second while requests arrive.
  std::function<void(OwnLoad)> on_own_load;
  /// Back ends that crashed, with the requests that they were running, to be sent to the other gateways.
  std::function<void(CrashUpdate)> on_crash_update;
  /// Asks for the builds that serve, as the platform states them after this call; the response goes to
  /// onBuildsConfirmed().
  std::function<void(std::uint64_t number)> on_confirm_builds;
  /// Messages to other gateways about the builds that began streams.
  std::function<void(std::vector<StreamOriginMessage>)> on_stream_origins;
  /// The limit of held bytes began or ceased to delay or reject requests.
  std::function<void(const http::MemoryPressure&)> on_memory_pressure;
};

/// Traffic side of one gateway. Functions may be called from any thread unless stated otherwise.
class GatewayProcess {
public:
  /// @param observer is notified of each decision on the traffic thread; must outlive this object.
  GatewayProcess(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                 TrafficCallbacks callbacks, RequestObserver& observer = noopObserver());
  /// Stops the traffic thread; requests in flight are dropped.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Starts to listen and starts the traffic thread. Until the first snapshot is published, every request is
  /// rejected as not run.
  std::error_code start();
  /// @return the port for clients; valid after start().
  std::uint16_t port() const;

  void publish(std::shared_ptr<const GatewaySnapshot> snapshot);
  /// Updates which prompt parts a back end or a KV store holds.
  void onCachedParts(CachedPartsUpdate update);
  /// Updates the load that other gateways have placed on each engine.
  void onPeerLoad(std::vector<LoadDigest> digests);
  /// Adds crashes of back ends, with the requests that they were running, as observed by other gateways.
  void onCrashUpdate(CrashUpdate update);
  /// Another gateway sent a message about the builds that began streams.
  void onStreamOrigins(std::string sender, StreamOrigins message);
  /// Passes the response to on_confirm_builds. The snapshot as of this response has to be published before.
  void onBuildsConfirmed(ConfirmedBuilds confirmed);
  /// Reports that open connections to several peers went silent together; new connections may still work.
  void onConnectionsSilent();

  /// Starts a graceful stop: ready() returns false, and open connections are still served but closed after
  /// their next response. Requests that would not end in time are refused. May be called again with other
  /// times, counted from then on.
  void drain(const DrainTimes& times);
  /// @return whether a snapshot with a configuration was published and drain() was not called.
  bool ready() const;
  /// Stops accepting connections and closes those without a request; requests in flight continue.
  void stopAccepting();
  /// Ends the requests in flight. Call it when the process is about to exit.
  void endRequests();
  /// @return the number of requests whose response has not ended, including requests that are being read.
  std::size_t inFlight() const;
  /// Closes connections without a request. Call it when the process is about to exit.
  void closeIdleConnections();
  GatewayCounters counters() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace crankspur::gateway
