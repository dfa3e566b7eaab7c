#pragma once
/// @file Exit codes of crankspurctl. docs/OPERATIONS.md lists them; scripts rely on them.

namespace crankspur {

/// How a command ended.
enum class ExitCode {
  Ok = 0,
  Refused = 1,      ///< The bundle, a signature, a version or a race said no; nothing was changed.
  Usage = 2,        ///< The command line is wrong, or a named file cannot be used.
  Unavailable = 3,  ///< The platform or a node did not answer; nothing was changed.
  Unknown = 4,      ///< No answer came; the change may have taken effect. See "bundle status".
};

}  // namespace crankspur
