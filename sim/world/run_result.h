#pragma once
/// @file Options and result of a seeded run.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/world/mechanism.h"

namespace crankspur::sim {

/// A violated invariant, as reported by a checker.
struct Violation {
  std::string checker;  ///< Stable name, as listed in docs/PROOFS.md.
  std::string what;
};

using Violations = std::vector<Violation>;

/// Options of a run.
struct RunOptions {
  std::uint64_t seed = 1;
  std::string scenario;  ///< Empty: chosen by the seed.
  RemovedMechanisms removed;
  bool keep_trace_lines = false;
};

/// Result of a run.
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

}  // namespace crankspur::sim
