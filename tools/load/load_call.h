#pragma once
/// @file One request of the load tool: sends it, reads its stream, judges the answer.

#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/client.h"
#include "tools/load/workload.h"

namespace crankspur::load {

/// How a request ended, seen from outside.
enum class Verdict {
  Whole,     ///< Every byte is as expected and the stream says that it is whole.
  Wrong,     ///< The stream says that it is whole, but bytes are not as expected.
  Cut,       ///< The stream ended without a word.
  Refused,   ///< An error that says not run.
  Failed,    ///< An error that says unknown or ran.
  NoAnswer,  ///< No HTTP response.
};

/// @return the verdict's name in reports.
const char* verdictName(Verdict verdict);

/// Kind of a target: each has its own form of request and answer.
enum class TargetKind { Sidecar, Engine };

/// Outcome of one request.
struct CallOutcome {
  Verdict verdict = Verdict::NoAnswer;
  TargetKind target = TargetKind::Sidecar;
  std::string tenant;
  std::string error_code;  ///< Of an error answer.
  std::string engine;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint64_t answer_tokens = 0;
  Duration first_token{0};  ///< From the planned start; 0 when no text came.
  Duration total{0};        ///< From the planned start.
};

/// Where a request is sent.
struct Target {
  TargetKind kind = TargetKind::Sidecar;
  std::string address;  ///< "IP:port".
};

using CallDone = std::function<void(const CallOutcome&)>;

/// Sends a request; `done` is called once on the client's executor.
/// @param planned_start the instant the request should have been sent at: lateness of the load tool counts as
/// latency, so that a slow server cannot hide behind it.
void startCall(http::Client& client, const Target& target, const PlannedRequest& request,
               std::uint64_t number, TimePoint planned_start, CallDone done);

}  // namespace crankspur::load
