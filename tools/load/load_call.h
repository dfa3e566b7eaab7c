#pragma once
/// @file Sends one request of the load tool, reads its stream and checks the response.

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/client.h"
#include "tools/load/workload.h"

namespace crankspur::load {

/// Result of a request as the client sees it.
enum class Verdict {
  Whole,     ///< The stream ended as complete and every byte is as expected.
  Wrong,     ///< The stream ended as complete, but bytes differ from the expected text.
  Cut,       ///< The stream ended without an end marker or an error.
  Refused,   ///< An error that states that the request was not run.
  Failed,    ///< An error that states that the request ran or may have run.
  NoAnswer,  ///< No HTTP response.
};

/// @return the name of the verdict in reports.
const char* verdictName(Verdict verdict);

/// Kind of a target, which determines the format of requests and responses.
enum class TargetKind { Sidecar, Engine };

/// Outcome of one request.
struct CallOutcome {
  Verdict verdict = Verdict::NoAnswer;
  TargetKind target = TargetKind::Sidecar;
  std::string tenant;
  std::string error_code;  ///< Code of an error response.
  std::string engine;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint64_t completion_tokens = 0;
  Duration first_token{0};  ///< From the planned start; 0: no text was received.
  Duration total{0};        ///< From the planned start.
};

/// Where a request is sent.
struct Target {
  TargetKind kind = TargetKind::Sidecar;
  std::string address;  ///< "IP:port".
};

using OutcomeCallback = std::function<void(const CallOutcome&)>;

/// Sends a request. `done` is called once, on the client's executor.
/// @param planned_start when the request was scheduled. Latency counts from this time, so that a send delayed
/// by a slow server still counts (no coordinated omission).
void startCall(http::Client& client, const Target& target, const PlannedRequest& request,
               std::uint64_t number, TimePoint planned_start, OutcomeCallback done);

}  // namespace crankspur::load
