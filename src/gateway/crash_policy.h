#pragma once
/// @file Parameters of the quarantine of poison requests (crash_suspects.h).

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace crankspur::gateway {

/// When a request counts as the cause of back end crashes, and for how long.
struct CrashPolicy {
  /// Number of sequential crashes from which on a request runs isolated.
  std::uint32_t crashes_until_isolated = 2;
  /// Number of sequential crashes from which on a request is quarantined. The third attempt costs one more
  /// engine if the request is poisonous, and serves the caller if the request was at two crashed back ends by
  /// chance.
  std::uint32_t crashes_until_quarantined = 3;
  /// Number of crashes, sequential or not, that quarantine an isolated request: concurrent attempts at
  /// several gateways each crash a back end before any crash is known.
  std::uint32_t concurrent_crashes_until_quarantined = 4;
  /// The same for a prompt part: sequential crashes from which on it is quarantined, and their number in all
  /// where one sequential crash less is known. All requests that share a part are accused together, so that
  /// more evidence is needed than against one request.
  std::uint32_t crashes_until_part_quarantined = 4;
  std::uint32_t concurrent_crashes_until_part_quarantined = 6;
  /// Time after which the evidence of a crash that other gateways have counts as received. Requests with the
  /// part wait for it.
  Duration part_settle_time = std::chrono::milliseconds(200);
  /// Factor of these numbers for a part that was answered before: requests with it ran to their response.
  std::uint32_t answered_part_factor = 2;
  /// Only sequential crashes count: a run that was sent more than this long before the previous crash does
  /// not count. The tolerance covers the clock skew and datagram delay of other gateways.
  Duration sequence_tolerance = std::chrono::milliseconds(30);
  /// Whether a complete response withdraws all earlier evidence against its request.
  bool clear_on_response = true;
  /// Bytes that a back end sent before its crash may be read for this long after the crash was detected, and
  /// after the first of them.
  Duration read_delay = std::chrono::milliseconds(300);
  /// Minimum time from a crash to the restarted back end, which has to load its weights. A back end that
  /// responds sooner has not crashed.
  Duration min_restart_time = std::chrono::milliseconds(500);
  /// Two crashes of one incarnation count separately only if the later run began at least this long after the
  /// earlier crash: it then belongs to a restart whose incarnation is not known yet. Times reported by other
  /// gateways are inexact by the delay of a slow store or message.
  Duration min_time_between_crashes = std::chrono::milliseconds(1'800);
  /// Duration of the quarantine from the last crash on, its growth factor for each further crash, and its
  /// limit.
  Duration first_quarantine = std::chrono::minutes(1);
  std::uint32_t quarantine_growth = 4;
  Duration max_quarantine = std::chrono::minutes(30);
  /// How long evidence is valid.
  Duration evidence_lifetime = std::chrono::hours(1);
  /// Maximum number of requests with evidence against them, about 150 bytes each. A crash adds as many as the
  /// engine was running; most of them are cleared within seconds.
  std::size_t max_suspects = 8192;
  /// Prompt parts that are remembered as answered, 16 bytes each.
  std::size_t max_answered_parts = 8192;
};

}  // namespace crankspur::gateway
