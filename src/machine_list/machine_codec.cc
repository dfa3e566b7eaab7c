#include "machine_list/machine_codec.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "json/json_fields.h"

namespace crankspur {

namespace json = boost::json;

namespace {

json::object toJson(const Machine& machine) {
  return {{"name", machine.name},
          {"role", machineRoleName(machine.role)},
          {"pool", machine.pool},
          {"address", machine.address},
          {"zone", machine.zone},
          {"region", machine.region},
          {"state", machineStateName(machine.state)}};
}

}  // namespace

const char* machineRoleName(MachineRole role) {
  switch (role) {
    case MachineRole::Engine:
      return "engine";
    case MachineRole::Runner:
      return "runner";
    case MachineRole::Router:
      return "router";
    case MachineRole::KvStore:
      return "kv_store";
  }
  return "engine";
}

std::optional<MachineRole> machineRoleFromName(std::string_view name) {
  for (const MachineRole role :
       {MachineRole::Engine, MachineRole::Runner, MachineRole::Router, MachineRole::KvStore}) {
    if (name == machineRoleName(role)) {
      return role;
    }
  }
  return std::nullopt;
}

const char* machineStateName(MachineState state) {
  return state == MachineState::Live ? "live" : "leaving";
}

std::optional<MachineState> machineStateFromName(std::string_view name) {
  for (const MachineState state : {MachineState::Live, MachineState::Leaving}) {
    if (name == machineStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

std::optional<Machine> machineFromJson(const json::object& object) {
  const auto name = stringField(object, "name");
  const auto role = machineRoleFromName(stringField(object, "role").value_or(""));
  const auto pool = stringField(object, "pool");
  const auto address = stringField(object, "address");
  const auto zone = stringField(object, "zone");
  const auto region = stringField(object, "region");
  const auto state = machineStateFromName(stringField(object, "state").value_or(""));
  if (!name || name->empty() || !role || !pool || !address || !zone || !region || !state) {
    return std::nullopt;
  }
  return Machine{*name, *role, *pool, *address, *zone, *region, *state};
}

std::string encodeMachineList(const MachineList& list) {
  json::array machines;
  for (const Machine& machine : list.machines) {
    machines.push_back(toJson(machine));
  }
  return json::serialize(json::object{{"as_of_ms", list.as_of_ms}, {"machines", std::move(machines)}});
}

std::optional<MachineList> decodeMachineList(std::string_view text) {
  const auto object = parseJsonObject(text);
  if (!object) {
    return std::nullopt;
  }
  const auto as_of = unsignedField(*object, "as_of_ms");
  const auto objects = objectsField(*object, "machines");
  if (!as_of || !objects) {
    return std::nullopt;
  }
  MachineList list{*as_of, {}};
  for (const json::object* machine_object : *objects) {
    std::optional<Machine> machine = machineFromJson(*machine_object);
    if (!machine) {
      return std::nullopt;
    }
    list.machines.push_back(std::move(*machine));
  }
  return list;
}

}  // namespace crankspur
