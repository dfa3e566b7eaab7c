#pragma once
/// @file What a seeded run is made of and what came of it.

#include <cstdint>
#include <string>
#include <vector>

#include "sim/world/mechanism.h"

namespace crankspur::sim {

/// One thing that must not be.
struct Violation {
  std::string checker;  ///< Stable name, as in docs/PROOFS.md.
  std::string what;
};

using Violations = std::vector<Violation>;

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

}  // namespace crankspur::sim
