#include "standins/app_runner/app_runner_model.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur::standin {

namespace {

/// Incarnations stay below 2^53, so that JSON readers that parse numbers as double keep them exact.
constexpr std::uint64_t kMaxIncarnation = (std::uint64_t{1} << 53) - 1;

}  // namespace

std::string expectedResult(const std::string& tenant, const std::string& operation, const std::string& body) {
  const std::uint64_t scope = combineHashes(hashBytes(tenant), hashBytes(operation));
  return operation + " " + toHex(combineHashes(scope, hashBytes(body)));
}

AppRunnerModel::AppRunnerModel(AppRunnerOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed), incarnation_(random_.uniform(1, kMaxIncarnation)) {}

void AppRunnerModel::execute(RunnerCallId call, const ExecuteRequest& request, TimePoint now) {
  if (auto refusal = findRefusal(request)) return respond(call, std::move(*refusal));
  if (faultDue(requests_to_lose_, options_.lose_request_probability)) return respond(call, CallAborted{});
  const bool lose_response = faultDue(responses_to_lose_, options_.lose_answer_probability);
  pending_.emplace(now + options_.delay, Pending{call, request, lose_response});
}

std::optional<ExecutionRefused> AppRunnerModel::findRefusal(const ExecuteRequest& request) const {
  if (leaving_) return ExecutionRefused{ErrorCode::Stopping, "the runner is leaving"};
  const auto found = std::find(options_.operations.begin(), options_.operations.end(), request.operation);
  if (found == options_.operations.end()) {
    return ExecutionRefused{ErrorCode::InvalidRequest, "no such operation: " + request.operation};
  }
  return std::nullopt;
}

bool AppRunnerModel::faultDue(std::uint32_t& remaining, double probability) {
  if (remaining == 0) return random_.chance(probability);
  --remaining;
  return true;
}

void AppRunnerModel::crash() {
  for (const auto& [at, pending] : pending_) respond(pending.call, CallAborted{});
  pending_.clear();
  incarnation_ = random_.uniform(1, kMaxIncarnation);
  leaving_ = false;
  frozen_since_.reset();
}

void AppRunnerModel::freeze(TimePoint now) {
  if (!frozen_since_) frozen_since_ = now;
}

void AppRunnerModel::thaw(TimePoint now) {
  if (!frozen_since_) return;
  const Duration frozen_for = now - *frozen_since_;
  frozen_since_.reset();
  std::multimap<TimePoint, Pending> shifted;
  for (auto& [at, pending] : pending_) shifted.emplace(at + frozen_for, std::move(pending));
  pending_ = std::move(shifted);
}

void AppRunnerModel::onTimer(TimePoint now) {
  if (frozen_since_) return;
  while (!pending_.empty() && pending_.begin()->first <= now) {
    const Pending pending = std::move(pending_.begin()->second);
    pending_.erase(pending_.begin());
    run(pending);
  }
}

void AppRunnerModel::run(const Pending& pending) {
  const ExecuteRequest& request = pending.request;
  ++total_executions_;
  if (!request.idempotency_key.empty()) ++executions_[{request.tenant, request.idempotency_key}];
  if (pending.lose_response) return respond(pending.call, CallAborted{});
  respond(pending.call,
          ExecutionDone{expectedResult(request.tenant, request.operation, request.body), total_executions_});
}

void AppRunnerModel::respond(RunnerCallId call,
                             std::variant<ExecutionDone, ExecutionRefused, CallAborted> response) {
  outputs_.push_back({call, std::move(response)});
}

std::optional<TimePoint> AppRunnerModel::nextTimer() const {
  if (frozen_since_ || pending_.empty()) return std::nullopt;
  return pending_.begin()->first;
}

std::vector<RunnerOutput> AppRunnerModel::takeOutputs() {
  return std::exchange(outputs_, {});
}

}  // namespace crankspur::standin
