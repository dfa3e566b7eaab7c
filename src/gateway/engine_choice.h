#pragma once
/// @file Selects the back end of a pool for a request: model engines by cached prefixes and queue length,
/// other back ends by load.

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/backend_table.h"
#include "gateway/cached_parts.h"
#include "gateway/dialect.h"
#include "gateway/gateway_snapshot.h"
#include "gateway/named_weights.h"
#include "gateway/part_index.h"
#include "gateway/peer_load_table.h"
#include "gateway/prefill_rate.h"
#include "gateway/prompt_size_partition.h"
#include "gateway/scoped_prompt.h"
#include "gateway/stream_time.h"
#include "placement/eligibility.h"
#include "placement/outstanding_ledger.h"
#include "placement/queue_estimator.h"

namespace crankspur::gateway {

/// Input of a choice.
struct ChoiceRequest {
  const Pool* pool = nullptr;
  const ClientRequest* client = nullptr;
  bool uses_prefixes = false;
  std::string isolated_tenant;                  ///< Empty: shares cached prefixes with all others.
  const WeightsClock* weights_clock = nullptr;  ///< Which weights are too old for new requests; null: none.
  Duration weights_margin{0};                   ///< From the end of the clock's grace to the latest start.
  std::optional<std::uint64_t> build;           ///< Only back ends of this build (buildId()); empty: of any.
  std::vector<EngineSlot> excluded;
  std::vector<EngineSlot> avoided;      ///< Chosen only if no other back end is eligible.
  bool prefer_fewest_requests = false;  ///< The request may crash its back end.
  bool prefer_in_reach = false;         ///< Back ends out of reach are chosen only if there is no other.
};

/// The back end chosen.
struct Choice {
  const Backend* backend = nullptr;  ///< Null: no back end is available.
  bool at_capacity = false;          ///< An eligible back end was skipped because it is at capacity.
  std::optional<std::uint64_t> weights;
  std::string cache_scope;
  std::string import_from;
  std::string save_to;  ///< Address of the store to which the shared parts are saved; empty: none.
  std::vector<KeyedPart> parts;
  std::uint32_t uncached_tokens = 0;
  bool long_prompt = false;
  Duration expected_first_byte{0};
  Duration expected_wait{0};  ///< The part of it before the engine starts to prefill the prompt.
  // Explanation of the choice for records and logs.
  std::size_t candidates = 0;          ///< Back ends that were compared.
  double cost = 0;                     ///< Seconds for engines, load for runners.
  const Backend* runner_up = nullptr;  ///< The next best; null: there was none.
  double runner_up_cost = 0;
  std::uint32_t shared_tokens_again = 0;  ///< Held by some engine but prefilled again.
};

/// State of a dispatch that is kept until its first byte.
struct DispatchedPrompt {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t uncached_tokens = 0;
  std::vector<KeyedPart> parts;
};

/// Holds the index of cached parts and the requests in flight. Not thread-safe.
class EngineChoice {
public:
  /// @param index_entries maximum number of cached parts in the index, over all engines.
  EngineChoice(std::size_t index_entries, RandomSource& random);

  void onSnapshot(const GatewaySnapshot& snapshot);
  void onCachedParts(const CachedPartsUpdate& update, TimePoint now);
  /// A response stated the weights version that a back end serves.
  void onWeights(EngineSlot slot, std::uint64_t incarnation, const std::string& model, std::uint64_t version);

  /// Another gateway reported its load at each engine.
  void onPeerLoad(const std::string& peer, const LoadDigest& digest, TimePoint now) {
    peers_.onDigest(peer, digest, now);
  }
  /// @return this gateway's load at each engine, to be sent to the other gateways.
  LoadDigest ownLoadDigest() const;

  Choice choose(const ChoiceRequest& request, const GatewaySnapshot& snapshot, const BackendTable& table,
                TimePoint now) const;

  /// Records a dispatch by `choice`.
  DispatchedPrompt onDispatch(const Choice& choice, std::uint64_t dispatch, TimePoint now);
  /// The engine has finished the prefill of the prompt.
  /// @param taken from dispatch to the first byte.
  void onFirstByte(const Pool& pool, const DispatchedPrompt& prompt, std::uint64_t dispatch, Duration taken,
                   TimePoint now);
  void onEnd(EngineSlot slot, std::uint64_t dispatch);
  /// A response was complete.
  /// @param taken from its first byte to its end.
  void onComplete(const Pool& pool, const ClientRequest& client, Duration taken);
  /// @return time since the last update of the back end's cache; empty: none was received.
  std::optional<Duration> cacheAge(EngineSlot slot, TimePoint now) const;

private:
  struct ObservedWeights {
    std::uint64_t incarnation = 0;
    std::string model;
    std::uint64_t version = 0;
  };
  /// A back end that may get the request.
  struct UsableBackend {
    const Backend* backend = nullptr;
    std::optional<std::uint64_t> weights;  ///< Of the requested model; empty: unknown.
  };
  using Usable = std::vector<UsableBackend>;
  struct Candidate {
    const Backend* backend = nullptr;
    double cost = 0;
    double first_byte = 0;
    double wait = 0;
    std::size_t prompt = 0;  ///< Index of its ScopedPrompt.
    std::uint32_t uncached_tokens = 0;
    std::uint32_t shared_tokens_again = 0;
    std::string import_from;
  };
  std::optional<std::uint64_t> weightsOf(const Backend& backend, const std::string& model) const;
  Usable findUsable(const ChoiceRequest& request, const GatewaySnapshot& snapshot, const BackendTable& table,
                    TimePoint now, bool& at_capacity) const;
  static bool isTrusted(EngineSlot slot, const ChoiceRequest& request, const BackendTable& table,
                        TimePoint now);
  std::size_t scopedPrompt(std::vector<ScopedPrompt>& prompts, std::optional<std::uint64_t> weights,
                           const ChoiceRequest& request, const Usable& usable) const;
  EngineSlot findPrefillEngine(const ScopedPrompt& prompt, const ChoiceRequest& request,
                               const Usable& usable) const;
  static bool isSuperseded(std::optional<std::uint64_t> weights, const ChoiceRequest& request);
  bool isLong(const ChoiceRequest& request) const;
  static double recomputeCost(const ScopedPrompt& prompt, EngineSlot engine, std::uint32_t cached,
                              double rate);
  static void explain(Choice& choice, const Candidate& best, const Candidate& second);
  /// Work that is queued at an engine ahead of a new request.
  struct Queue {
    double seconds = 0;     ///< Until the engine starts the new request.
    double unreported = 0;  ///< Seconds that gateways without load reports may have added.
  };
  Queue queueOf(const EngineView& engine, const GatewaySnapshot& snapshot, double rate, TimePoint now) const;
  Candidate scoreEngine(const Backend& backend, const ScopedPrompt& prompt, const ChoiceRequest& request,
                        const GatewaySnapshot& snapshot, const BackendTable& table, TimePoint now) const;
  bool hasAllowedWeights(const UsableBackend& usable, const ChoiceRequest& request, const BackendTable& table,
                         TimePoint now) const;
  double supersededCost(const ScopedPrompt& prompt, const ChoiceRequest& request) const;
  double scoreRunner(const Backend& backend, const GatewaySnapshot& snapshot, const BackendTable& table,
                     TimePoint now) const;
  double riskCost(const Backend& backend, const ChoiceRequest& request, const GatewaySnapshot& snapshot,
                  const BackendTable& table, TimePoint now) const;
  double peerLoadScale(const GatewaySnapshot& snapshot, TimePoint now) const;
  RandomSource& random_;
  PartIndex index_;
  OutstandingLedger ledger_;
  PeerLoadTable peers_;
  QueueEstimator queues_;
  PrefillRates rates_;
  StreamTimes stream_times_;
  PromptSizePartition partition_;
  absl::flat_hash_map<EngineSlot, ObservedWeights> observed_weights_;
  absl::flat_hash_map<EngineSlot, std::uint64_t> incarnations_;
  absl::flat_hash_map<EngineSlot, TimePoint> cache_updated_at_;
};

}  // namespace crankspur::gateway
