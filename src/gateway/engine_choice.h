#pragma once
/// @file Which back end of a pool gets a request: by cached prefixes and queue for model engines, by load
/// otherwise.

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
#include "placement/eligibility.h"
#include "placement/outstanding_ledger.h"
#include "placement/queue_estimator.h"

namespace crankspur::gateway {

/// What a choice rests on.
struct ChoiceRequest {
  const Pool* pool = nullptr;
  const ClientRequest* client = nullptr;
  bool uses_prefixes = false;
  std::string isolated_tenant;                  ///< Empty: shares cached prefixes with all others.
  const WeightsClock* weights_clock = nullptr;  ///< Which weights are too old to begin with; null: none are.
  Duration weights_margin{0};                   ///< Between the clock's grace and the latest begin.
  std::vector<EngineSlot> excluded;
  std::vector<EngineSlot> avoided;  ///< Used only where no other may be.
  bool prefer_fewest_requests =
      false;  ///< The back end may end: the one with the fewest other requests is best.
};

/// The back end chosen.
struct Choice {
  const Backend* backend = nullptr;  ///< Null: none may get the request now.
  bool at_capacity = false;          ///< None: some would do but have no room.
  std::optional<std::uint64_t> weights;
  std::string cache_scope;
  std::string import_from;
  std::string save_to;  ///< Address of the store that is to keep the shared parts; empty: none.
  std::vector<KeyedPart> parts;
  std::uint32_t uncached_tokens = 0;
  bool long_prompt = false;
  Duration expected_first_byte{0};
  // What explains the choice.
  std::size_t candidates = 0;          ///< Back ends that were compared.
  double cost = 0;                     ///< Seconds for engines, load for runners.
  const Backend* runner_up = nullptr;  ///< The next best; null: there was none.
  double runner_up_cost = 0;
  std::uint32_t shared_tokens_again = 0;  ///< Held by some engine and yet read again.
};

/// What is remembered of a dispatch until its first byte.
struct DispatchedPrompt {
  EngineSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t uncached_tokens = 0;
  std::vector<KeyedPart> parts;
};

/// Holds the index of cached parts and the work in flight. Not thread-safe.
class EngineChoice {
public:
  /// @param index_entries parts remembered, over all engines.
  EngineChoice(std::size_t index_entries, RandomSource& random);

  void onSnapshot(const GatewaySnapshot& snapshot);
  void onCachedParts(const CachedPartsUpdate& news, TimePoint now);
  /// An answer stated the weights that a back end has.
  void onWeights(EngineSlot slot, std::uint64_t incarnation, const std::string& model, std::uint64_t version);

  /// Another gateway told what it has at each engine.
  void onPeerLoad(const std::string& teller, const LoadDigest& digest, TimePoint now) {
    peers_.onDigest(teller, digest, now);
  }
  /// @return what this gateway has at each engine, for the others.
  LoadDigest ownLoadDigest() const;

  Choice choose(const ChoiceRequest& request, const GatewaySnapshot& snapshot, const BackendTable& table,
                TimePoint now) const;

  /// Notes a dispatch by `choice`.
  DispatchedPrompt onDispatch(const Choice& choice, std::uint64_t dispatch, TimePoint now);
  /// The engine has read the prompt.
  /// @param taken from dispatch to the first byte.
  void onFirstByte(const Pool& pool, const DispatchedPrompt& prompt, std::uint64_t dispatch, Duration taken,
                   TimePoint now);
  void onEnd(EngineSlot slot, std::uint64_t dispatch);
  /// @return time since news of the back end's cache came; empty: none came.
  std::optional<Duration> cacheAge(EngineSlot slot, TimePoint now) const;

private:
  struct LearntWeights {
    std::uint64_t incarnation = 0;
    std::string model;
    std::uint64_t version = 0;
  };
  /// A back end that may get the request.
  struct UsableBackend {
    const Backend* backend = nullptr;
    std::optional<std::uint64_t> weights;  ///< Of the model asked for; empty: none is known.
  };
  using Usable = std::vector<UsableBackend>;
  struct Candidate {
    const Backend* backend = nullptr;
    double cost = 0;
    double first_byte = 0;
    std::size_t prompt = 0;  ///< Index of its ScopedPrompt.
    std::uint32_t uncached_tokens = 0;
    std::uint32_t shared_tokens_again = 0;
    std::string import_from;
  };
  std::optional<std::uint64_t> weightsOf(const Backend& backend, const std::string& model) const;
  Usable findUsable(const ChoiceRequest& request, const GatewaySnapshot& snapshot, const BackendTable& table,
                    TimePoint now, bool& at_capacity) const;
  std::size_t scopedPrompt(std::vector<ScopedPrompt>& prompts, std::optional<std::uint64_t> weights,
                           const ChoiceRequest& request, const Usable& usable) const;
  EngineSlot findFirstReader(const ScopedPrompt& prompt, const ChoiceRequest& request,
                             const Usable& usable) const;
  static bool isSuperseded(std::optional<std::uint64_t> weights, const ChoiceRequest& request);
  bool isLong(const ChoiceRequest& request) const;
  static double readAgainCost(const ScopedPrompt& prompt, EngineSlot engine, std::uint32_t cached,
                              double rate);
  static void explain(Choice& choice, const Candidate& best, const Candidate& second);
  /// What waits at an engine before a new request.
  struct Queue {
    double seconds = 0;  ///< Until the engine begins with it.
    double unseen = 0;   ///< Seconds that others may have added without being seen.
  };
  Queue queueOf(const EngineView& engine, const GatewaySnapshot& snapshot, double rate, TimePoint now) const;
  Candidate weighEngine(const Backend& backend, const ScopedPrompt& prompt, const ChoiceRequest& request,
                        const GatewaySnapshot& snapshot, const BackendTable& table, TimePoint now) const;
  bool hasFreshWeights(const UsableBackend& usable, const ChoiceRequest& request, const BackendTable& table,
                       TimePoint now) const;
  double weighRunner(const Backend& backend, const GatewaySnapshot& snapshot, const BackendTable& table,
                     TimePoint now) const;
  double riskCost(const Backend& backend, const ChoiceRequest& request, const GatewaySnapshot& snapshot,
                  const BackendTable& table, TimePoint now) const;
  double peerScale(const GatewaySnapshot& snapshot, TimePoint now) const;
  RandomSource& random_;
  PartIndex index_;
  OutstandingLedger ledger_;
  PeerLoadTable peers_;
  QueueEstimator queues_;
  PrefillRates rates_;
  PromptSizePartition partition_;
  absl::flat_hash_map<EngineSlot, LearntWeights> learnt_;
  absl::flat_hash_map<EngineSlot, std::uint64_t> incarnations_;
  absl::flat_hash_map<EngineSlot, TimePoint> news_at_;
};

}  // namespace crankspur::gateway
