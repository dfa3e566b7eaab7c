#include "command_line/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace crankspur {

void parseCommandLine(const std::string& program, const std::string& message, int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [program] { return program + " " + CRANKSPUR_VERSION + "\n"; };
  // Without this filter --help shows only the flags of the source file named after the program.
  const auto is_own_flag = [](absl::string_view file) { return !absl::StrContains(file, "absl/flags/"); };
  usage.contains_help_flags = is_own_flag;
  usage.contains_helpshort_flags = is_own_flag;
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(message);
  absl::ParseCommandLine(argc, argv);
}

}  // namespace crankspur
