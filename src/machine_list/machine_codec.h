#pragma once
/// @file JSON encoding of the machine list. Decoding is strict: any deviation from the format yields an empty
/// value.

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

/// Decodes one machine; empty when a field is missing or invalid.
std::optional<Machine> machineFromJson(const boost::json::object& object);

std::string encodeMachineList(const MachineList& list);
std::optional<MachineList> decodeMachineList(std::string_view text);

}  // namespace crankspur
