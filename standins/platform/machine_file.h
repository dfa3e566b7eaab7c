#pragma once
/// @file Parser of the TOML file with the [[machines]] entries that the platform stand-in lists.

#include <string>
#include <string_view>
#include <vector>

#include "machine_list/machine_types.h"
#include "settings/toml_reader.h"

namespace crankspur::standin {

/// @return the machines; valid only if nothing was added to `problems`.
std::vector<Machine> parseMachineFile(std::string_view text, const std::string& file,
                                      std::vector<SettingsProblem>& problems);

}  // namespace crankspur::standin
