#include "command_line/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace crankspur {

void parseCommandLine(const std::string& program, const std::string& message, int argc, char** argv) {
  absl::FlagsUsageConfig usage;
  usage.version_string = [program] { return program + " " + CRANKSPUR_VERSION + "\n"; };
  // Without this filter --help shows only flags of a source file that is called like the program.
  const auto is_ours = [](absl::string_view file) { return !absl::StrContains(file, "absl/flags/"); };
  usage.contains_help_flags = is_ours;
  usage.contains_helpshort_flags = is_ours;
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage(message);
  absl::ParseCommandLine(argc, argv);
}

}  // namespace crankspur
