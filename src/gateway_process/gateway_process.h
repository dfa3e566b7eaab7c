#pragma once
/// @file The traffic side of a gateway: the HTTP server that clients speak to, the exchanges with back ends
/// and one traffic thread that drives the decisions of gateway/. The control side publishes what it knows and
/// hears what traffic learns.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "base/time.h"
#include "gateway/cached_parts.h"
#include "gateway/dialect.h"
#include "gateway/gateway.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/load_meter.h"

namespace crankspur::gateway {

/// Parts of the construction of a gateway process.
struct GatewayProcessSettings {
  std::string listen_address;  ///< "IP:port" for clients; port 0 lets the system choose.
  std::string node_name;
  std::uint64_t random_seed = 1;
  GatewaySettings decisions;
};

/// What traffic learns about back ends. Called on the traffic thread: post to your own.
struct GatewayFacts {
  /// No connection could be made, or exchanges broke in a row.
  std::function<void(EngineSlot, std::uint64_t incarnation)> on_unreachable;
  /// The back end answered that it is another incarnation than expected, or has other weights.
  /// @param weights_version as its answer stated it.
  std::function<void(EngineSlot, std::uint64_t incarnation, std::optional<std::uint64_t> weights_version)>
      on_wrong_backend;
  /// What this gateway has at each engine, for the other gateways; several times a second while it has any.
  std::function<void(LoadDigest)> on_own_work;
  /// How busy the traffic thread is; some times a second while requests come.
  std::function<void(OwnLoad)> on_own_load;
  /// Which back ends ended under which requests, for the other gateways.
  std::function<void(CrashUpdate)> on_crash_update;
};

/// One gateway. Functions may be called from any thread unless they say otherwise.
class GatewayProcess {
public:
  /// @param observer hears of each decision on the traffic thread; it must outlive the process.
  GatewayProcess(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                 GatewayFacts facts, RequestObserver& observer = noopObserver());
  /// Ends the traffic thread; what is in flight is dropped.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Listens and starts the traffic thread. Before the first snapshot every request is refused as not run.
  std::error_code start();
  /// @return the port that clients reach, once started.
  std::uint16_t port() const;

  void publish(std::shared_ptr<const GatewaySnapshot> snapshot);
  /// Tells which parts of prompts a back end or a store of KV cache holds.
  void onCachedParts(CachedPartsUpdate news);
  /// Tells what other gateways have at each engine.
  void onPeerLoad(std::vector<LoadDigest> digests);
  /// Tells which back ends ended under which requests, as other gateways saw it.
  void onCrashUpdate(CrashUpdate news);
  /// Tells that open connections to several peers have gone silent, while new ones may work.
  void onConnectionsSilent();

  /// Begins the graceful stop: ready() turns false, open connections are still served and their answers close
  /// them. Nothing in flight is cut.
  void drain();
  /// @return whether a snapshot with a configuration came and drain() was not called.
  bool ready() const;
  /// Takes no further connection and closes those without a request; requests in flight go on.
  void stopAccepting();
  /// @return requests whose answer has not ended, those being read included.
  std::size_t inFlight() const;
  /// Closes connections without a request. To be called when the process is about to end.
  void closeIdleConnections();
  GatewayCounters counters() const;

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace crankspur::gateway
