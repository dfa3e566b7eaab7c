#pragma once
/// @file Reads the machines that the platform stand-in lists from a TOML file with [[machines]] entries.

#include <string>
#include <string_view>
#include <vector>

#include "machine_list/machine_types.h"
#include "settings/toml_reader.h"

namespace crankspur::standin {

/// @return the machines; meaningful only when no problem was added.
std::vector<Machine> parseMachineFile(std::string_view text, const std::string& file,
                                      std::vector<SettingsProblem>& problems);

}  // namespace crankspur::standin
