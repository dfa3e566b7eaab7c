#pragma once
/// @file Exit codes of crankspurctl, documented in docs/OPERATIONS.md. Scripts rely on the values.

namespace crankspur {

/// Outcome of a command.
enum class ExitCode {
  Ok = 0,
  Refused = 1,      ///< Invalid bundle or signature, wrong version or lost race; nothing was changed.
  Usage = 2,        ///< The command line is invalid, or a given file cannot be used.
  Unavailable = 3,  ///< The platform or a node did not respond; nothing was changed.
  Unknown = 4,      ///< No response; the change may have taken effect. Check with "bundle status".
};

}  // namespace crankspur
