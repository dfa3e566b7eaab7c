#pragma once
/// @file Simulated callers: completions with long shared prefixes, and operations. Orders are operations that
/// must run at most once; callers retry them with the same idempotency key.

#include <cstdint>
#include <string>

#include "sim/world/site.h"
#include "sim/world/world.h"

namespace crankspur::sim {

/// Generates the traffic of one run.
class Workload {
public:
  Workload(World& world, std::uint64_t seed);
  /// Sends requests for the duration `Site::load`.
  void start();
  /// Replaces the shared prefix of completions, as the release of a new catalogue does.
  void shiftPrefixes() { ++catalogue_; }
  /// Sends each later completion from two tenants at the same time, with identical prompts.
  void sendDuplicatePrompts() { duplicate_prompts_ = true; }

private:
  void scheduleNext();
  void send();
  SubmitRequest makeCompletion(const std::string& tenant);
  SubmitRequest makeOperation(const std::string& tenant);
  std::string catalogue() const;
  void sendAt(std::size_t sidecar, SubmitRequest request, std::uint32_t tries);
  /// Retries an order with the same key if its outcome is unknown; sometimes before the response is due.
  void scheduleOrderRetry(const CallerRecord& record, std::uint32_t tries);

  World& world_;
  RandomSource random_;
  TimePoint load_ends_at_{};
  std::uint64_t catalogue_ = 0;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_key_ = 0;
  bool duplicate_prompts_ = false;
};

}  // namespace crankspur::sim
