#pragma once
/// @file Collects the output of a command: results and error messages.

#include <fmt/format.h>

#include <string>

#include "operator/exit_code.h"

namespace crankspur {

/// Output of a command.
struct Report {
  std::string output;  ///< For standard output.
  std::string errors;  ///< For standard error.

  template <typename... Arguments>
  void print(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    output += fmt::format(format, std::forward<Arguments>(arguments)...) + "\n";
  }

  /// Adds an error message.
  /// @return `code`, so that a command can return the result of this call.
  template <typename... Arguments>
  ExitCode fail(ExitCode code, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    errors += fmt::format(format, std::forward<Arguments>(arguments)...) + "\n";
    return code;
  }
};

}  // namespace crankspur
