#pragma once
/// @file Model of an application runner: executes operations after a delay, counts executions, can lose a
/// request before or an answer after the effect. Pure state holder. It never deduplicates: that work runs at
/// most once is crankspur's promise, and the counts judge it.

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

/// Names one call; chosen by the driver.
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

/// What the runner is and how it behaves.
struct AppRunnerOptions {
  std::string name;
  std::vector<std::string> operations;             ///< Others are refused with not_run.
  Duration delay = std::chrono::milliseconds(20);  ///< From arrival to the effect and the answer.
  double lose_request_probability = 0;             ///< The connection breaks and nothing runs.
  double lose_answer_probability = 0;              ///< It runs, then the connection breaks.
};

/// The operation ran.
struct ExecutionDone {
  std::string result;
  std::uint64_t execution = 0;  ///< Number of this execution at the runner, from 1.
};
/// Nothing ran and nothing will.
struct ExecutionRefused {
  ErrorCode code = ErrorCode::Internal;
  std::string message;
};
/// The connection breaks without an answer.
struct ExecutionCut {};

/// Output: the answer to a call.
struct RunnerOutput {
  RunnerCallId call = 0;
  std::variant<ExecutionDone, ExecutionRefused, ExecutionCut> answer;
};

/// Identity of work that may not be repeated.
struct ExecutionKey {
  std::string tenant;
  std::string idempotency_key;
  bool operator<(const ExecutionKey& other) const {
    return std::tie(tenant, idempotency_key) < std::tie(other.tenant, other.idempotency_key);
  }
};

/// @return the result text of an operation: a function of the request's content alone.
std::string expectedResult(const std::string& tenant, const std::string& operation, const std::string& body);

/// One application runner.
class AppRunnerModel {
public:
  AppRunnerModel(AppRunnerOptions options, std::uint64_t seed);

  void execute(RunnerCallId call, const ExecuteRequest& request, TimePoint now);
  void startLeaving() { leaving_ = true; }
  /// The process dies and comes back: calls whose effect is still to come are cut and never run. Counts stay,
  /// since the effects do.
  void crash();
  void freeze(TimePoint now);
  void thaw(TimePoint now);
  bool frozen() const { return frozen_since_.has_value(); }

  void setDelay(Duration delay) { options_.delay = delay; }
  /// The next `count` calls lose their answer, or their request, for certain.
  void loseAnswers(std::uint32_t count) { answers_to_lose_ = count; }
  void loseRequests(std::uint32_t count) { requests_to_lose_ = count; }

  void onTimer(TimePoint now);
  std::optional<TimePoint> nextTimer() const;
  /// @return outputs in order, taken once.
  std::vector<RunnerOutput> takeOutputs();

  const AppRunnerOptions& options() const { return options_; }
  std::uint64_t incarnation() const { return incarnation_; }
  bool leaving() const { return leaving_; }
  std::size_t inFlight() const { return pending_.size(); }
  /// @return how often each keyed request ran, keys without an execution left out.
  const std::map<ExecutionKey, std::uint64_t>& executions() const { return executions_; }
  std::uint64_t totalExecutions() const { return total_executions_; }

private:
  struct Pending {
    RunnerCallId call = 0;
    ExecuteRequest request;
    bool lose_answer = false;
  };

  std::optional<ExecutionRefused> reasonToRefuse(const ExecuteRequest& request) const;
  /// @return whether the next fault counted in `remaining`, or one by chance, strikes.
  bool strikes(std::uint32_t& remaining, double probability);
  void run(const Pending& pending);
  void answer(RunnerCallId call, std::variant<ExecutionDone, ExecutionRefused, ExecutionCut> answer);

  AppRunnerOptions options_;
  RandomSource random_;
  std::uint64_t incarnation_ = 0;
  bool leaving_ = false;
  std::optional<TimePoint> frozen_since_;
  std::uint32_t answers_to_lose_ = 0;
  std::uint32_t requests_to_lose_ = 0;
  std::multimap<TimePoint, Pending> pending_;  ///< By the instant of the effect.
  std::map<ExecutionKey, std::uint64_t> executions_;
  std::uint64_t total_executions_ = 0;
  std::vector<RunnerOutput> outputs_;
};

}  // namespace crankspur::standin
