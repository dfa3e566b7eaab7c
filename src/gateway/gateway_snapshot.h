#pragma once
/// @file The state on which a gateway decides: the accepted configuration and the live back ends. A gateway
/// receives requests directly from clients and forwards the responses without parsing their bodies. Each
/// snapshot is published atomically and is immutable.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/tenant_quota.h"
#include "base/time.h"
#include "placement/engine_view.h"

namespace crankspur::gateway {

/// Whether a request may run more than once.
enum class Repeatability {
  Repeatable,       ///< May run more than once.
  AtMostOnce,       ///< Runs at most once for each client attempt.
  ResumableStream,  ///< A stream that another back end may continue after the last delivered event.
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
  bool streaming = false;          ///< The response is a stream of events.
  bool needs_tenant = true;        ///< False: served without an API key.
  bool uses_prefixes = false;      ///< Requests name prompt parts and are placed by cached prefixes.
  Duration timeout{0};             ///< Maximum duration of a client attempt.
  Duration first_byte_target{0};   ///< A response (a stream's first event) within this time is in time.
  Duration event_gap_target{0};    ///< Maximum gap between events of a stream.
  std::uint32_t priority = 0;      ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Maximum number of dispatches of one client attempt.
  std::vector<PoolShare> pools;
};

/// Limits of the back ends of one pool.
struct Pool {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Of each back end, from all callers together.
  std::uint32_t batch_limit = 0;      ///< Requests that run at once; 0: as reported by the back end.
  std::uint64_t cache_tokens = 0;     ///< Tokens a back end's prefix cache holds; 0: no model engine.
  std::uint64_t token_bytes = 0;      ///< Bytes of KV cache per token in a transfer.
  double link_bits_per_second = 0;    ///< Rate of KV cache transfers.
  std::uint32_t max_event_calls = 1;  ///< Concurrent cache event calls that a back end accepts.
  std::vector<std::string> models;
  std::string kv_store_address;  ///< "IP:port" if the pool is a KV cache store, otherwise empty.
  std::string kv_store_zone;
};

/// A tenant of the accepted configuration.
struct GatewayTenant {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<std::uint32_t> priority;  ///< Overrides the route's.
  bool isolated = false;                  ///< Shares no cached prefix with any other tenant.
  QuotaLimit quota{};                     ///< Over all gateways; in tokens or requests.
  bool quota_in_tokens = false;
  std::uint32_t default_tokens = 0;  ///< Charged for a request that states no number of tokens.
};

/// Weights that the operator named for a model.
struct NamedWeights {
  std::string model;
  std::uint64_t version = 0;
  /// Latest possible time at which it was named, as far as this gateway knows: a version that it found at its
  /// start was named some time before.
  TimePoint named_at{};
};

/// @return whether a back end in this state gets no requests any more.
inline bool isGone(EngineState state) {
  return state == EngineState::Leaving || state == EngineState::Dead;
}

/// One back end that the platform lists.
struct Backend {
  EngineView view;          ///< Slot, id (`name`), address, zone, pool, state, models, load.
  std::string build;        ///< Version of its software, without order; not that of its weights.
  std::uint32_t slots = 0;  ///< Requests it works on at once.
  TimePoint cold_until{};   ///< Slow after its start until then.
  /// When this gateway's calls that follow its cache began to get no response; TimePoint{}: it responds, or
  /// this gateway makes none.
  TimePoint unresponsive_since{};
  /// The same as reported by another gateway, whose calls are no evidence of what this one reaches.
  TimePoint reported_unresponsive_since{};
  bool answers_calls = false;  ///< The last of this gateway's calls that follow its cache got a response.
  bool is_kv_store = false;    ///< Stores KV cache and runs no requests.
  /// Rate at which it sends KV cache; 0: limited only by the receiving engine.
  double link_bits_per_second = 0;

  /// @return whether it is unresponsive to the calls that follow its cache, of any gateway.
  bool isUnresponsiveToCalls() const {
    return std::max(unresponsive_since, reported_unresponsive_since) != TimePoint{};
  }
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

/// Another gateway that clients are sent to.
struct PeerGateway {
  std::string name;
  std::string address;  ///< "IP:port" for clients.
  std::string zone;
};

/// When the platform last confirmed a part of the state of a gateway. Written by the control thread and read
/// by traffic at each decision, so that a gateway that resumes after a suspension does not decide on outdated
/// state. It speaks of one state only and is confirmed no more once that state has changed.
class PlatformContact {
public:
  explicit PlatformContact(TimePoint confirmed_at = {})
      : confirmed_at_(confirmed_at.time_since_epoch().count()) {}
  /// Everything that the platform had accepted by `as_of` is known. Times before the last confirmed one are
  /// ignored.
  void confirm(TimePoint as_of) {
    confirmed_at_ = std::max(confirmed_at_.load(), as_of.time_since_epoch().count());
  }
  TimePoint confirmedAt() const { return TimePoint(Duration(confirmed_at_.load())); }

private:
  std::atomic<Duration::rep> confirmed_at_;
};

/// A build of the back ends of a pool.
struct ServedBuild {
  std::uint64_t pool = 0;   ///< Hash of its name.
  std::uint64_t build = 0;  ///< See buildId().
  TimePoint last_listed{};
};

/// All state on which a traffic shard decides.
struct GatewaySnapshot {
  std::shared_ptr<const Configuration> configuration;  ///< Null: none yet; refuse requests as not run.
  std::vector<Backend> backends;                       ///< Sorted by slot.
  std::vector<NamedWeights> weights;
  std::string own_name;  ///< As the other gateways know this one.
  std::string own_zone;
  std::string own_region;
  /// Divisor of limits that hold for all gateways together; the quotient is the share of this gateway.
  std::uint32_t share_divisor = 1;
  std::uint32_t peer_count = 0;                    ///< Other gateways that place requests.
  std::vector<PeerGateway> peers;                  ///< The live ones among these.
  std::shared_ptr<const PlatformContact> contact;  ///< Null: the state always counts as confirmed.
  /// When the list of back ends was last confirmed. Null: it always counts as confirmed.
  std::shared_ptr<const PlatformContact> list_contact;
  std::vector<ServedBuild> builds_before;  ///< Builds that served before this process started.
  /// False: the record of those builds could not be read yet, so that others may have served.
  bool builds_before_known = true;
  /// Maximum time without platform contact for which keys stay valid; empty: no limit.
  std::optional<Duration> key_validity;

  const Backend* backend(EngineSlot slot) const;
  /// @return the back ends of the pool that are listed and not about to leave.
  std::vector<const Backend*> listedInPool(std::string_view pool) const;
  /// @return time since the platform last confirmed the configuration.
  Duration platformContactAge(TimePoint now) const;
  /// @return time since the platform last confirmed the list of back ends.
  Duration listAge(TimePoint now) const;
  /// @return platformContactAge() if `key_validity` is set; otherwise empty.
  std::optional<Duration> keysAge(TimePoint now) const;
  /// @return false if the platform has been unreachable for so long that keys may have been revoked. Requests
  /// that need a key are then refused as not run.
  bool keysCurrent(TimePoint now) const;
};

}  // namespace crankspur::gateway
