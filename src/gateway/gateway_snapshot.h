#pragma once
/// @file What a gateway knows when it decides: the accepted configuration and the live back ends. A gateway
/// takes requests straight from clients and passes their answers on unread. Published whole, never changed.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "placement/engine_view.h"

namespace crankspur::gateway {

/// What may be repeated.
enum class Repeatability {
  Repeatable,       ///< May run more than once.
  AtMostOnce,       ///< Runs at most once for each client attempt.
  ResumableStream,  ///< A stream that another back end may go on with after the last event delivered.
};

/// A share of a route's requests that goes to one pool.
struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;  ///< Relative to the other shares of the route.
};

/// One route of the accepted configuration.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with '/'.
  Repeatability repeatability = Repeatability::AtMostOnce;
  bool streaming = false;         ///< The answer is a series of events.
  bool needs_tenant = true;       ///< False: served without an API key.
  bool uses_prefixes = false;     ///< Requests name prompt parts; place them by cached prefixes.
  Duration timeout{0};            ///< Longest time a client attempt is held.
  Duration first_byte_target{0};  ///< Time within which an answer (a stream's first event) counts as in time.
  Duration event_gap_target{0};   ///< Longest pause between events of a stream.
  std::uint32_t priority = 0;     ///< 0 is the most urgent.
  std::uint32_t maximum_attempts = 1;  ///< Most back ends that one client attempt may be sent to.
  std::vector<PoolShare> pools;
};

/// Limits of the back ends of one pool.
struct Pool {
  std::string name;
  std::string health_path;
  std::uint32_t maximum_connections = 0;  ///< Of each back end, from all callers together.
  std::uint32_t batch_limit = 0;          ///< Requests that run at once; 0: as the back end says.
  std::uint64_t cache_tokens = 0;         ///< Tokens a back end's prefix cache holds; 0: no model engine.
  std::uint64_t token_bytes = 0;          ///< Bytes of KV cache a token takes when moved.
  double link_bits_per_second = 0;        ///< Rate of KV cache moves.
  std::uint32_t maximum_event_calls = 1;  ///< Calls for cache events that a back end holds at once.
  std::vector<std::string> models;
  std::string kv_store_address;  ///< "IP:port" when the pool is a store of KV cache, otherwise empty.
  std::string kv_store_zone;
};

/// A tenant of the accepted configuration.
struct GatewayTenant {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<std::uint32_t> priority;  ///< Goes before the route's.
  bool isolated = false;                  ///< Shares no cached prefix with any other tenant.
};

/// Weights that the operator named for a model.
struct NamedWeights {
  std::string model;
  std::uint64_t version = 0;
  /// When it was named at the latest, as far as this gateway knows: one that it found at its start was named
  /// some time before.
  TimePoint named_at{};
};

/// One back end that the platform lists.
struct Backend {
  EngineView view;          ///< Slot, id (`name`), address, zone, pool, state, models, load.
  std::uint32_t slots = 0;  ///< Requests it works on at once.
  TimePoint cold_until{};   ///< Slow after its start until then.
  /// Since when it has answered nobody who follows its cache; TimePoint{}: it answers, or nobody follows it.
  TimePoint silent_since{};
  bool is_kv_store = false;  ///< Keeps KV cache and runs nothing.
  /// Rate at which it gives KV cache away; 0: as fast as an engine that asks can take it.
  double link_bits_per_second = 0;
};

/// Bounds on what a client may send.
struct ClientLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// The accepted configuration. Immutable once built.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  std::vector<GatewayTenant> tenants;
  ClientLimits limits;

  /// @return the route of `host` with the longest prefix of `path`, or nullptr.
  const Route* findRoute(std::string_view host, std::string_view path) const;
  const Pool* findPool(std::string_view name) const;
  /// @return the tenant that holds the key, or nullptr.
  const GatewayTenant* findTenantByKey(std::string_view api_key) const;
};

/// When the platform last vouched for what a gateway knows. Written by the control thread, read by traffic at
/// each decision, so that a gateway that wakes from a freeze does not decide by what held before.
class PlatformContact {
public:
  /// Everything that the operator had accepted by `as_of` is known. Earlier times than told before change
  /// nothing.
  void confirm(TimePoint as_of) {
    vouched_at_ = std::max(vouched_at_.load(), as_of.time_since_epoch().count());
  }
  TimePoint confirmedAt() const { return TimePoint(Duration(vouched_at_.load())); }

private:
  std::atomic<Duration::rep> vouched_at_ = 0;
};

/// Everything a traffic shard decides by.
struct GatewaySnapshot {
  std::shared_ptr<const Configuration> configuration;  ///< Null until the first is known: refuse as not run.
  std::vector<Backend> backends;                       ///< Sorted by slot.
  std::vector<NamedWeights> weights;
  std::string own_zone;
  std::string own_region;
  /// What all gateways may use together is divided by so much: this one's share is a part of it.
  std::uint32_t share_divisor = 1;
  std::uint32_t peer_count = 0;                    ///< Other gateways that place requests too.
  std::shared_ptr<const PlatformContact> contact;  ///< Null: the platform is never out of touch.
  /// Longest time without contact for which keys count as valid; empty: for ever.
  std::optional<Duration> key_validity;

  const Backend* backend(EngineSlot slot) const;
  /// @return time since the platform vouched for the configuration and the list of back ends.
  Duration platformContactAge(TimePoint now) const;
  /// @return platformContactAge() if keys expire by it.
  std::optional<Duration> keysAge(TimePoint now) const;
  /// False: so long out of touch with the platform that keys may have been taken away; requests that need a
  /// key are refused as not run.
  bool keysCurrent(TimePoint now) const;
};

}  // namespace crankspur::gateway
