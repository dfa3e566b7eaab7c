#pragma once
/// @file Rolling a signed bundle: the document is written first, then a compare-and-set of the row accepts
/// it.

#include <cstdint>
#include <string>

#include "bundle/bundle_row.h"
#include "internal_protocol/messages.h"
#include "operator/platform_port.h"

namespace crankspur {

/// Who rolls, and how patiently.
struct RollOptions {
  std::string rolled_by;
  std::string roll_token;      ///< Random, fresh for each roll.
  std::uint32_t attempts = 8;  ///< Calls of each step.
  Duration pause = std::chrono::milliseconds(500);
};

/// How a roll ended.
struct RollOutcome {
  enum class Kind {
    Accepted,         ///< This roll accepted the bundle.
    AlreadyAccepted,  ///< The same document was accepted earlier, by this or another roll.
    WrongVersion,     ///< The version is not the accepted one plus one. Nothing was changed.
    LostRace,         ///< Another roll came first. Nothing was changed.
    RowDamaged,       ///< The row is no bundle row. Nothing was changed.
    Unavailable,      ///< The platform did not answer. Nothing was changed.
    Unknown,          ///< The platform did not answer; the bundle may have been accepted.
  } kind = Kind::Unavailable;
  BundleRow present;  ///< The accepted row as last seen; version 0 when none was.
};

/// Rolls a verified bundle. The version must be the accepted one plus one, so that nobody overwrites a
/// version that was not looked at; on an empty table any version may come first.
RollOutcome rollBundle(PlatformPort& platform, const BundleBody& body, const RollOptions& options);

}  // namespace crankspur
