#pragma once
/// @file JSON form of the machine list. Decoding is strict: what does not have the exact form is empty.

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "machine_list/machine_types.h"

namespace crankspur {

/// @return the name of a role: "engine", "runner", "router" or "kv_store".
const char* machineRoleName(MachineRole role);
std::optional<MachineRole> machineRoleFromName(std::string_view name);
/// @return the name of a state: "live" or "leaving".
const char* machineStateName(MachineState state);
std::optional<MachineState> machineStateFromName(std::string_view name);

/// Decodes one machine.
std::optional<Machine> machineFromJson(const boost::json::object& object);

std::string encodeMachineList(const MachineList& list);
std::optional<MachineList> decodeMachineList(std::string_view text);

}  // namespace crankspur
