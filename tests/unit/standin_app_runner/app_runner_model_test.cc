#include "standins/app_runner/app_runner_model.h"

#include <catch2/catch.hpp>

namespace crankspur::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(10)};

AppRunnerModel makeRunner() {
  AppRunnerOptions options;
  options.name = "runner-1";
  options.operations = {"order"};
  options.delay = milliseconds(20);
  return {options, 3};
}

ExecuteRequest order(const std::string& key) {
  return {"r1", 1, "parts", "order", key, "two keels"};
}

TEST_CASE("each call is one execution, counted by tenant and key", "[standin_app_runner]") {
  AppRunnerModel runner = makeRunner();
  runner.execute(1, order("k1"), kStart);
  runner.execute(2, order("k1"), kStart);
  ExecuteRequest other = order("k1");
  other.tenant = "camp";
  runner.execute(3, other, kStart);
  CHECK(runner.executions().empty());
  CHECK(runner.nextTimer() == kStart + milliseconds(20));
  runner.onTimer(kStart + milliseconds(20));
  CHECK(runner.executions().at({"parts", "k1"}) == 2);
  CHECK(runner.executions().at({"camp", "k1"}) == 1);
  const std::vector<RunnerOutput> outputs = runner.takeOutputs();
  REQUIRE(outputs.size() == 3);
  CHECK(std::get<ExecutionDone>(outputs[1].response).execution == 2);
  CHECK(std::get<ExecutionDone>(outputs[0].response).result == expectedResult("parts", "order", "two keels"));
}

TEST_CASE("an operation with a lost response has run and one with a lost request has not",
          "[standin_app_runner]") {
  AppRunnerModel runner = makeRunner();
  runner.loseResponses(1);
  runner.execute(1, order("k1"), kStart);
  runner.loseRequests(1);
  runner.execute(2, order("k2"), kStart);
  runner.onTimer(kStart + seconds(1));
  CHECK(runner.executions().size() == 1);
  CHECK(runner.executions().count({"parts", "k1"}) == 1);
  for (const RunnerOutput& output : runner.takeOutputs()) {
    CHECK(std::holds_alternative<CallAborted>(output.response));
  }
}

TEST_CASE("refused operations do not run", "[standin_app_runner]") {
  AppRunnerModel runner = makeRunner();
  ExecuteRequest unknown = order("k1");
  unknown.operation = "refund";
  runner.execute(1, unknown, kStart);
  runner.startLeaving();
  runner.execute(2, order("k1"), kStart);
  const std::vector<RunnerOutput> outputs = runner.takeOutputs();
  REQUIRE(outputs.size() == 2);
  CHECK(std::get<ExecutionRefused>(outputs[0].response).code == ErrorCode::InvalidRequest);
  CHECK(std::get<ExecutionRefused>(outputs[1].response).code == ErrorCode::Stopping);
  CHECK_FALSE(runner.nextTimer());
}

TEST_CASE("a crash drops pending operations and keeps the counts", "[standin_app_runner]") {
  AppRunnerModel runner = makeRunner();
  const std::uint64_t before = runner.incarnation();
  runner.execute(1, order("k1"), kStart);
  runner.onTimer(kStart + seconds(1));
  runner.execute(2, order("k2"), kStart + seconds(1));
  runner.crash();
  runner.onTimer(kStart + seconds(9));
  CHECK(runner.incarnation() != before);
  CHECK(runner.totalExecutions() == 1);
  CHECK(std::holds_alternative<CallAborted>(runner.takeOutputs().back().response));
}

TEST_CASE("a frozen runner executes no operation until it thaws", "[standin_app_runner]") {
  AppRunnerModel runner = makeRunner();
  runner.execute(1, order("k1"), kStart);
  runner.freeze(kStart + milliseconds(10));
  runner.onTimer(kStart + seconds(5));
  CHECK(runner.totalExecutions() == 0);
  runner.thaw(kStart + seconds(5));
  CHECK(runner.nextTimer() == kStart + seconds(5) + milliseconds(10));
}

}  // namespace
}  // namespace crankspur::standin
