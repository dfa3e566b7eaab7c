#pragma once
/// @file Model of an application runner: executes operations after a delay, counts executions, can lose a
/// request before the effect or a response after it. Pure state without I/O. It never deduplicates:
/// at-most-once execution is the guarantee of crankspur, and tests verify it by the counts.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"

namespace crankspur::standin {

/// Identifies one call; chosen by the driver.
using RunnerCallId = std::uint64_t;

/// Body of POST /v1/execute.
struct ExecuteRequest {
  std::string request_id;
  std::uint32_t attempt = 1;
  std::string tenant;
  std::string operation;
  std::string idempotency_key;
  std::string body;
};

/// Identity, timing and fault injection of one runner.
struct AppRunnerOptions {
  std::string name;
  std::vector<std::string> operations;             ///< All others are refused with not_run.
  Duration delay = std::chrono::milliseconds(20);  ///< From arrival to the effect and the response.
  double lose_request_probability = 0;             ///< The connection breaks and the operation does not run.
  double lose_answer_probability = 0;              ///< The operation runs, then the connection breaks.
};

/// The operation ran.
struct ExecutionDone {
  std::string result;
  std::uint64_t execution = 0;  ///< Sequence number of this execution at the runner, from 1.
};
/// The operation did not run and will not run.
struct ExecutionRefused {
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};
/// The connection breaks without a response.
struct CallAborted {};

/// Output: the response to a call.
struct RunnerOutput {
  RunnerCallId call = 0;
  std::variant<ExecutionDone, ExecutionRefused, CallAborted> response;
};

/// Identity of an operation that must run at most once.
struct ExecutionKey {
  std::string tenant;
  std::string idempotency_key;
  bool operator<(const ExecutionKey& other) const {
    return std::tie(tenant, idempotency_key) < std::tie(other.tenant, other.idempotency_key);
  }
};

/// @return the result of an operation: a function of the content of the request alone.
std::string expectedResult(const std::string& tenant, const std::string& operation, const std::string& body);

/// See the file comment. Not thread-safe.
class AppRunnerModel {
public:
  AppRunnerModel(AppRunnerOptions options, std::uint64_t seed);

  void execute(RunnerCallId call, const ExecuteRequest& request, TimePoint now);
  void startLeaving() { leaving_ = true; }
  /// The process crashes and restarts: calls whose effect is pending are aborted and never run. The counts
  /// are kept, since the effects persist.
  void crash();
  void freeze(TimePoint now);
  void thaw(TimePoint now);
  bool frozen() const { return frozen_since_.has_value(); }

  void setDelay(Duration delay) { options_.delay = delay; }
  /// Makes the next `count` calls lose their response or their request.
  void loseResponses(std::uint32_t count) { responses_to_lose_ = count; }
  void loseRequests(std::uint32_t count) { requests_to_lose_ = count; }

  void onTimer(TimePoint now);
  std::optional<TimePoint> nextTimer() const;
  /// @return the outputs since the last call, in order.
  std::vector<RunnerOutput> takeOutputs();

  const AppRunnerOptions& options() const { return options_; }
  std::uint64_t incarnation() const { return incarnation_; }
  bool leaving() const { return leaving_; }
  std::size_t inFlight() const { return pending_.size(); }
  /// @return the number of executions by key; keys without an execution are omitted.
  const std::map<ExecutionKey, std::uint64_t>& executions() const { return executions_; }
  std::uint64_t totalExecutions() const { return total_executions_; }

private:
  struct Pending {
    RunnerCallId call = 0;
    ExecuteRequest request;
    bool lose_response = false;
  };

  std::optional<ExecutionRefused> findRefusal(const ExecuteRequest& request) const;
  /// @return whether to inject a fault: while `remaining` is above 0, always and counting it down; otherwise
  /// at random.
  bool faultDue(std::uint32_t& remaining, double probability);
  void run(const Pending& pending);
  void respond(RunnerCallId call, std::variant<ExecutionDone, ExecutionRefused, CallAborted> response);

  AppRunnerOptions options_;
  RandomSource random_;
  std::uint64_t incarnation_ = 0;
  bool leaving_ = false;
  std::optional<TimePoint> frozen_since_;
  std::uint32_t responses_to_lose_ = 0;
  std::uint32_t requests_to_lose_ = 0;
  std::multimap<TimePoint, Pending> pending_;  ///< By the time of the effect.
  std::map<ExecutionKey, std::uint64_t> executions_;
  std::uint64_t total_executions_ = 0;
  std::vector<RunnerOutput> outputs_;
};

}  // namespace crankspur::standin
