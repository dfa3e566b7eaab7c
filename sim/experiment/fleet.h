#pragma once
/// @file The engines of a run and their exact state, which only the clairvoyant baseline policy and the
/// measurements may use.

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <span>
#include <vector>

#include "sim/experiment/engine_host.h"
#include "sim/experiment/site.h"

namespace crankspur::experiment {

/// The only model that experiments serve, and its weights version.
inline constexpr const char* kModel = "large";
inline constexpr const char* kWeights = "w1";

/// Exact record of the work in transit to or queued at an engine.
class WorkLedger {
public:
  /// Adds a dispatched request.
  void add(std::uint64_t dispatch, std::span<const BlockHash> blocks, std::uint32_t uncached_tokens,
           const standin::EngineTimings& timings, TimePoint now);
  /// Removes a dispatch after its first token, or when it ended without one.
  void remove(std::uint64_t dispatch);
  void clear();
  /// @return the number of leading blocks that will be cached once this work is done.
  /// @param cached leading blocks that are cached now.
  std::uint32_t plannedPrefix(std::span<const BlockHash> blocks, std::uint32_t cached) const;
  /// @return time until the prefill of all recorded work is done.
  Duration backlog(TimePoint now) const { return std::max(Duration(0), idle_at_ - now); }

private:
  absl::flat_hash_map<std::uint64_t, std::vector<BlockHash>> dispatches_;
  absl::flat_hash_map<BlockHash, std::uint32_t> planned_blocks_;
  TimePoint idle_at_{};
};

/// All engines of a site.
class Fleet {
public:
  Fleet(const Site& site, sim::EventQueue& queue, std::uint64_t seed);

  std::vector<std::unique_ptr<EngineHost>>& engines() { return engines_; }
  const std::vector<std::unique_ptr<EngineHost>>& engines() const { return engines_; }
  EngineHost& engine(EngineSlot slot) { return *engines_[slot]; }
  WorkLedger& ledger(EngineSlot slot) { return ledgers_[slot]; }
  const Site& site() const { return site_; }
  /// @return the one-way network delay between two zones.
  Duration delay(std::uint32_t from_zone, std::uint32_t to_zone) const;
  /// @return the length in blocks of the longest prefix that any live engine holds.
  std::uint32_t longestHeldPrefix(std::span<const BlockHash> blocks) const;
  void crash(EngineSlot slot, Duration down);

private:
  void resolveImport(EngineHost& target, const standin::ImportQuery& query);

  const Site& site_;
  sim::EventQueue& queue_;
  std::vector<std::unique_ptr<EngineHost>> engines_;
  std::vector<WorkLedger> ledgers_;
};

}  // namespace crankspur::experiment
