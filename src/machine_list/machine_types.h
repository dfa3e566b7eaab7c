#pragma once
/// @file Machines as listed by the platform.

#include <cstdint>
#include <string>
#include <vector>

namespace crankspur {

/// Program that a machine runs.
enum class MachineRole { Engine, Runner, Router, KvStore };

/// State that the platform assigns to a machine.
enum class MachineState { Live, Leaving };

/// One machine.
struct Machine {
  std::string name;
  MachineRole role = MachineRole::Engine;
  std::string pool;     ///< Pool under which bundles refer to back ends; empty for routers.
  std::string address;  ///< "IP:port".
  std::string zone;
  std::string region;
  MachineState state = MachineState::Live;
};

/// The machine list as of an earlier time.
struct MachineList {
  std::uint64_t as_of_ms = 0;  ///< Clock of the platform; use only to order lists.
  std::vector<Machine> machines;
};

}  // namespace crankspur
