#pragma once
/// @file The command line of a program: flags, --help and --version.

#include <string>

namespace crankspur {

/// Parses the flags. `--version` prints the program's name and version; `--help` prints `message` and every
/// flag of the program, including those defined in shared source files. An invalid flag ends the process.
void parseCommandLine(const std::string& program, const std::string& message, int argc, char** argv);

}  // namespace crankspur
