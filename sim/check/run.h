#pragma once
/// @file One seeded run: site, faults, callers, checkers.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sim/check/checkers.h"

namespace crankspur::sim {

/// What a run is made of.
struct RunOptions {
  std::uint64_t seed = 1;
  std::string scenario;  ///< Empty: by the seed.
  RemovedMechanisms removed;
  bool keep_trace_lines = false;
};

/// What came of it.
struct RunResult {
  std::uint64_t seed = 0;
  std::string scenario;
  std::string site;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t events = 0;
  std::uint64_t trace_hash = 0;
  std::vector<std::string> trace_lines;
  Violations violations;
};

/// @return names of all scenarios: "quiet", each fault, "pair" and "wider_pair" (two faults by the
/// seed, see kFirstWiderKind) and "large".
std::vector<std::string> scenarioNames();
/// Runs one seed.
RunResult run(const RunOptions& options);

}  // namespace crankspur::sim
