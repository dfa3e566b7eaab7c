#pragma once
/// @file Rolls out a signed bundle: writes the document, then accepts it by a compare-and-set of the bundle
/// row.

#include <cstdint>
#include <string>

#include "bundle/bundle_row.h"
#include "internal_protocol/messages.h"
#include "operator/platform_port.h"

namespace crankspur {

/// Options of a roll.
struct RollOptions {
  std::string rolled_by;
  std::string roll_token;      ///< Random, new for each roll.
  std::uint32_t attempts = 8;  ///< Maximum calls of each step.
  Duration retry_interval = std::chrono::milliseconds(500);
};

/// Outcome of a roll.
struct RollOutcome {
  enum class Kind {
    Accepted,         ///< This roll accepted the bundle.
    AlreadyAccepted,  ///< The same document was accepted earlier, by this or another roll.
    WrongVersion,     ///< The version is not the accepted version plus one. Nothing was changed.
    LostRace,         ///< Another roll was accepted first. Nothing was changed.
    RowInvalid,       ///< The row cannot be parsed as a bundle row. Nothing was changed.
    Unavailable,      ///< The platform did not respond. Nothing was changed.
    Unknown,          ///< The platform did not respond; the bundle may have been accepted.
  } kind = Kind::Unavailable;
  BundleRow current;  ///< The accepted row as last read; version 0 if there was none.
};

/// Rolls out a verified bundle. Its version must be the accepted version plus one, so that an operator cannot
/// overwrite a version that they have not seen; in an empty table any version is accepted.
RollOutcome rollBundle(PlatformPort& platform, const BundleBody& body, const RollOptions& options);

}  // namespace crankspur
