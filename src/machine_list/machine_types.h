#pragma once
/// @file Machines as the platform lists them.

#include <cstdint>
#include <string>
#include <vector>

namespace crankspur {

/// What runs on a machine.
enum class MachineRole { Engine, Runner, Router, KvStore };

/// State that the platform gives a machine.
enum class MachineState { Live, Leaving };

/// One machine.
struct Machine {
  std::string name;
  MachineRole role = MachineRole::Engine;
  std::string pool;     ///< Pool by which bundles name back ends; empty for routers.
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string region;
  MachineState state = MachineState::Live;
};

/// The list, as of an earlier instant.
struct MachineList {
  std::uint64_t as_of_ms = 0;  ///< On the platform's own clock; only its order means anything.
  std::vector<Machine> machines;
};

}  // namespace crankspur
