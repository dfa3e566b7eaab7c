#pragma once
/// @file Knobs of the quarantine of poison requests (crash_suspects.h).

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace crankspur::gateway {

/// When a request is held responsible for crashes of back ends, and for how long.
struct CrashPolicy {
  /// Crashes in sequence from which on a request runs isolated.
  std::uint32_t crashes_until_isolated = 2;
  /// Crashes in sequence from which on a request is quarantined: a third try costs an engine where the
  /// request is poisonous, and serves the caller where it had bad luck twice.
  std::uint32_t crashes_until_quarantined = 3;
  /// Crashes, in sequence or not, that quarantine an isolated request: attempts at several gateways at once
  /// each crash a back end before any crash is known.
  std::uint32_t concurrent_crashes_until_quarantined = 4;
  /// Crashes count only in sequence: a run that began earlier than this before the crash before it had ended
  /// does not count. Clocks and datagrams of other gateways are off by about so much.
  Duration sequence_tolerance = std::chrono::milliseconds(30);
  /// Whether a whole answer withdraws all earlier evidence against its request.
  bool clear_on_response = true;
  /// Bytes that a back end sent before its crash may be read for so long after the crash was noticed.
  Duration read_delay = std::chrono::milliseconds(300);
  /// No back end is back sooner after a crash, since it has to load its weights; one that answers sooner has
  /// not crashed.
  Duration min_restart_time = std::chrono::milliseconds(500);
  /// Crashes of one incarnation count apart only if the later run began so long after the earlier crash, and
  /// is of a next start whose birth is not known. What others tell is off by the time that a slow store or
  /// message takes.
  Duration min_time_between_crashes = std::chrono::milliseconds(1'800);
  /// How long a request is quarantined from its last crash on, and by what factor longer after each further
  /// one.
  Duration first_quarantine = std::chrono::minutes(1);
  std::uint32_t quarantine_growth = 4;
  Duration max_quarantine = std::chrono::minutes(30);
  /// How long evidence counts.
  Duration evidence_lifetime = std::chrono::hours(1);
  /// Requests with evidence against them that are remembered, some 150 bytes each. A crash leaves as many as
  /// the engine ran; most of these are cleared within seconds.
  std::size_t max_suspects = 8192;
};

}  // namespace crankspur::gateway
