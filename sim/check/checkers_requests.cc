/// @file Checkers of requests: cache use, streams, "not run" reports, at-most-once execution, deadlines,
/// retry storms, liveness.

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

#include "sim/check/checkers.h"
#include "sim/world/bundle_maker.h"
#include "standins/engine/completion_text.h"

namespace crankspur::sim {

namespace {

constexpr std::uint64_t kMaxWeightsVersion = 12;
/// Time after a request's deadline by which the caller must have a final response.
constexpr Duration kResponseSlack = std::chrono::seconds(2);
/// Minimum share of a deadline that has elapsed when the fastest clock shows that it passed, with some slack.
constexpr double kMinElapsedShare = 0.9;
/// The retry budget: a tenth of a tenant's requests may be retries, plus a burst per tenant and router.
constexpr std::size_t kRequestsPerRetry = 10;
constexpr std::size_t kRetryBurst = 10;

/// Identifies the run of one dispatch by engine and stream. A request may be dispatched to the same engine
/// several times, and not every dispatch runs.
using RunKey = std::pair<std::string, standin::StreamId>;

void checkUsedBlocks(const std::string& engine, const standin::RequestRecord& record,
                     Violations& violations) {
  for (const standin::BlockOrigin& origin : record.used_blocks) {
    const bool same_scope = origin.scope->tenant == record.scope->tenant &&
                            origin.scope->model == record.scope->model &&
                            origin.scope->adapter == record.scope->adapter &&
                            origin.scope->weights_version == record.scope->weights_version;
    if (!same_scope) {
      violations.push_back(
          {"cache_use",
           fmt::format("{} at {} ran on blocks of {}/{}/{} as {}/{}/{}", record.request_id, engine,
                       origin.scope->tenant, origin.scope->adapter, origin.scope->weights_version,
                       record.scope->tenant, record.scope->adapter, record.scope->weights_version)});
    }
    if (!origin.imported && origin.incarnation != record.incarnation) {
      violations.push_back(
          {"cache_use", fmt::format("{} at {} ran on blocks of a dead process", record.request_id, engine)});
    }
  }
}

bool matchesExpectedText(const CallerRecord& caller, const std::string& weights) {
  const SubmitRequest& request = caller.request;
  const standin::ExpectedCompletion expected = standin::expectedCompletion(
      request.model, weights, request.adapter, request.prompt, request.max_tokens);
  if (caller.end) {
    return caller.text == expected.text && caller.tokens == expected.token_count &&
           caller.end->token_count == expected.token_count;
  }
  return expected.text.compare(0, caller.text.size(), caller.text) == 0;
}

bool matchesAnyWeights(const CallerRecord& caller) {
  for (std::uint64_t number = 1; number <= kMaxWeightsVersion; ++number) {
    if (matchesExpectedText(caller, fmt::format("w{}", number))) return true;
  }
  return false;
}

bool isExpectedResult(const CallerRecord& caller) {
  return caller.text == fmt::format("done:{}:{}", caller.request.tenant, caller.request.prompt);
}

}  // namespace

void checkCacheUse(const CheckInput& input, Violations& violations) {
  std::map<RunKey, const standin::RequestRecord*> runs;
  for (std::size_t index = 0; index < input.world.engineCount(); ++index) {
    EngineNode& engine = input.world.engineAt(index);
    for (const standin::RequestRecord& record : engine.model().records()) {
      checkUsedBlocks(engine.host().name(), record, violations);
      runs[{engine.host().name(), record.submitted_on}] = &record;
    }
  }
  for (const ArrivalRecord& arrival : input.world.context().records.arrivals) {
    const auto run = runs.find({arrival.engine, arrival.stream});
    if (run == runs.end()) continue;
    if (arrival.expected_incarnation != 0 && arrival.expected_incarnation != arrival.incarnation) {
      violations.push_back({"cache_use", fmt::format("{} ran at {} though it counted on a dead process",
                                                     arrival.request_id, arrival.engine)});
    }
    const std::string& weights = run->second->scope->weights_version;
    if (!arrival.expected_weights.empty() && arrival.expected_weights != weights) {
      violations.push_back(
          {"cache_use", fmt::format("{} ran at {} under {} though it counted on {}", arrival.request_id,
                                    arrival.engine, weights, arrival.expected_weights)});
    }
  }
}

void checkStreams(const CheckInput& input, Violations& violations) {
  for (const CallerRecord& caller : input.world.context().records.callers) {
    const std::string& id = caller.request.request_id;
    if (caller.out_of_order) violations.push_back({"stream_order", id + " got text out of order"});
    if (caller.text_after_final) violations.push_back({"stream_order", id + " got text after its end"});
    if (caller.finals > 1) violations.push_back({"stream_order", id + " got more than one final answer"});
    const bool completion = caller.request.kind == RequestKind::Completion;
    const bool is_correct = completion ? matchesAnyWeights(caller) : !caller.end || isExpectedResult(caller);
    if (!is_correct) {
      violations.push_back(
          {"whole_answer", fmt::format("{} got {} tokens that are not {} its answer", id, caller.tokens,
                                       caller.end ? "" : "the beginning of")});
    }
  }
}

void checkNotRun(const CheckInput& input, Violations& violations) {
  std::set<std::string> executed_requests;
  for (std::size_t index = 0; index < input.world.engineCount(); ++index) {
    for (const standin::RequestRecord& record : input.world.engineAt(index).model().records()) {
      if (record.started != TimePoint{} || record.answer_tokens > 0)
        executed_requests.insert(record.request_id);
    }
  }
  for (const ExecutionRecord& execution : input.world.context().records.executions) {
    executed_requests.insert(execution.request_id);
  }
  for (const CallerRecord& caller : input.world.context().records.callers) {
    const bool reported_not_run = caller.error && caller.error->run_state == RunState::NotRun;
    if (reported_not_run && executed_requests.contains(caller.request.request_id)) {
      violations.push_back(
          {"not_run", fmt::format("{} was reported as \"not run\" ({}) but it ran", caller.request.request_id,
                                  errorName(caller.error->code))});
    }
  }
}

void checkAtMostOnce(const CheckInput& input, Violations& violations) {
  std::map<std::pair<std::string, std::string>, std::uint32_t> counts;
  for (const ExecutionRecord& execution : input.world.context().records.executions) {
    if (execution.idempotency_key.empty()) continue;
    ++counts[{execution.tenant, execution.idempotency_key}];
  }
  for (const auto& [key, count] : counts) {
    if (count > 1) {
      violations.push_back(
          {"at_most_once", fmt::format("{} of {} ran {} times", key.second, key.first, count)});
    }
  }
}

void checkDeadlines(const CheckInput& input, Violations& violations) {
  for (const CallerRecord& caller : input.world.context().records.callers) {
    if (!caller.error || caller.error->code != ErrorCode::DeadlineExceeded) continue;
    const Duration waited = caller.finished_at - caller.submitted_at;
    if (toSeconds(waited) >= kMinElapsedShare * toSeconds(caller.request.deadline)) continue;
    violations.push_back({"deadline", fmt::format("{} failed after {:.3f} s as past its deadline of {:.0f} s",
                                                  caller.request.request_id, toSeconds(waited),
                                                  toSeconds(caller.request.deadline))});
  }
}

void checkRetryStorm(const CheckInput& input, Violations& violations) {
  if (input.faults != std::set<FaultKind>{FaultKind::RackLoss}) return;
  std::set<std::string> requests;
  std::size_t runs = 0;
  for (std::size_t index = 0; index < input.world.engineCount(); ++index) {
    for (const standin::RequestRecord& record : input.world.engineAt(index).model().records()) {
      requests.insert(record.request_id);
      ++runs;
    }
  }
  const Site& site = input.world.site();
  const std::size_t retry_burst = kRetryBurst * site.tenants.size() * site.routers.size();
  const std::size_t allowed = requests.size() + requests.size() / kRequestsPerRetry + retry_burst;
  if (runs <= allowed) return;
  violations.push_back({"retry_storm", fmt::format("{} requests ran {} times, {} are allowed",
                                                   requests.size(), runs, allowed)});
}

void checkLiveness(const CheckInput& input, Violations& violations) {
  const TimePoint now = input.world.context().queue.now();
  for (const CallerRecord& caller : input.world.context().records.callers) {
    const std::string& id = caller.request.request_id;
    const TimePoint deadline = caller.submitted_at + caller.request.deadline + kResponseSlack;
    const bool late = caller.finished() ? !caller.abandoned && caller.finished_at > deadline : now > deadline;
    if (late) violations.push_back({"liveness", id + " had no final answer in time"});
    const bool without_faults = input.faults.empty();
    if (without_faults && caller.error && caller.error->code != ErrorCode::DuplicateRequest) {
      violations.push_back({"liveness", fmt::format("{} failed in a quiet fleet: {} {}", id,
                                                    errorName(caller.error->code), caller.error->message)});
    }
  }
}

}  // namespace crankspur::sim
