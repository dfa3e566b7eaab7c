#pragma once
/// @file Callers of the simulation: completions with long shared prefixes, and operations of which orders may
/// run at most once and are tried again with the same key.

#include <cstdint>
#include <string>

#include "sim/world/site.h"
#include "sim/world/world.h"

namespace crankspur::sim {

/// The callers of one run.
class Workload {
public:
  Workload(World& world, std::uint64_t seed);
  /// Sends requests from now until the site's load time is over.
  void start();
  /// Exchanges the hot prefixes, as when a new catalogue goes out.
  void shiftPrefixes() { ++catalogue_; }
  /// From now on each completion is sent by two tenants at once, word for word.
  void sendSamePrompts() { same_prompts_ = true; }

private:
  void next();
  void send();
  SubmitRequest makeCompletion(const std::string& tenant);
  SubmitRequest makeOperation(const std::string& tenant);
  std::string catalogue() const;
  void sendAt(std::size_t sidecar, SubmitRequest request, std::uint32_t tries);
  /// Tries an order again with the same key when its outcome is not known, sometimes too early.
  void watchOrder(const CallerRecord& record, std::uint32_t tries);

  World& world_;
  RandomSource random_;
  TimePoint ends_{};
  std::uint64_t catalogue_ = 0;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_key_ = 0;
  bool same_prompts_ = false;
};

}  // namespace crankspur::sim
