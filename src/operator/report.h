#pragma once
/// @file Where a command writes: results on one stream, complaints on the other.

#include <fmt/format.h>

#include <string>

#include "operator/exit_code.h"

namespace crankspur {

/// Text that a command produced.
struct Report {
  std::string output;  ///< For standard output.
  std::string errors;  ///< For standard error.

  template <typename... Arguments>
  void print(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    output += fmt::format(format, std::forward<Arguments>(arguments)...) + "\n";
  }

  /// Adds a complaint.
  /// @return `code`, so that a command can end with the call.
  template <typename... Arguments>
  ExitCode fail(ExitCode code, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    errors += fmt::format(format, std::forward<Arguments>(arguments)...) + "\n";
    return code;
  }
};

}  // namespace crankspur
