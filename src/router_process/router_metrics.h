#pragma once
/// @file Counters of the router process; threads add, the admin endpoint reads.

#include <atomic>
#include <cstdint>

namespace crankspur {

/// Counters since the start. Each is independent; a reader may see one before another.
struct RouterMetrics {
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> answers{0};
  std::atomic<std::uint64_t> refusals{0};
  std::atomic<std::uint64_t> dispatches{0};
  std::atomic<std::uint64_t> dispatches_lost{0};
  std::atomic<std::uint64_t> dispatches_refused{0};
  std::atomic<std::uint64_t> prompt_tokens{0};
  std::atomic<std::uint64_t> cached_tokens{0};
  std::atomic<std::uint64_t> cache_events{0};
  std::atomic<std::uint64_t> cache_gaps{0};
  std::atomic<std::uint64_t> cache_digests{0};
  std::atomic<std::uint64_t> snapshots{0};
  std::atomic<std::uint64_t> bundles_taken{0};
  std::atomic<std::uint64_t> bundles_refused{0};
};

}  // namespace crankspur
