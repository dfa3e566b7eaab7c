#include "standins/platform/machine_file.h"

#include <fmt/format.h>

#include <set>

#include "machine_list/machine_codec.h"

namespace crankspur::standin {

namespace {

Machine readMachine(TomlTable& table) {
  Machine machine;
  machine.name = table.requireString("name");
  machine.address = table.requireString("address");
  machine.pool = table.getString("pool", "");
  machine.zone = table.getString("zone", "");
  machine.region = table.getString("region", "");
  const auto role = machineRoleFromName(table.requireString("role"));
  if (!role) {
    table.report("role", "must be engine, runner, router or kv_store");
  }
  machine.role = role.value_or(MachineRole::Engine);
  const auto state = machineStateFromName(table.getString("state", "live"));
  if (!state) {
    table.report("state", "must be live or leaving");
  }
  machine.state = state.value_or(MachineState::Live);
  return machine;
}

}  // namespace

std::vector<Machine> parseMachineFile(std::string_view text, const std::string& file,
                                      std::vector<SettingsProblem>& problems) {
  std::vector<Machine> machines;
  const std::shared_ptr<TomlTable> root = parseToml(text, file, problems);
  if (root == nullptr) {
    return machines;
  }
  std::set<std::string> names;
  for (const std::shared_ptr<TomlTable>& table : root->getTables("machines")) {
    machines.push_back(readMachine(*table));
    if (!names.insert(machines.back().name).second) {
      table->report("name", fmt::format("'{}' is listed twice", machines.back().name));
    }
  }
  root->reportUnknownKeys();
  return machines;
}

}  // namespace crankspur::standin
