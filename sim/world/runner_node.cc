#include "sim/world/runner_node.h"

#include <fmt/format.h>

namespace crankspur::sim {

namespace {
constexpr Duration kMinServiceTime = std::chrono::milliseconds(5);
constexpr double kMeanExtraServiceMicros = 40'000;
}  // namespace

void RunnerNode::execute(const SubmitRequest& request, std::function<void(std::string result)> done) {
  context_.trace.note(host_.name(), "executes {} key {}", request.request_id, request.idempotency_key);
  context_.records.executions.push_back({request.request_id, request.tenant, request.idempotency_key,
                                         request.operation, host_.name(), context_.queue.now()});
  const auto extra =
      Duration(static_cast<std::int64_t>(context_.random.exponential(kMeanExtraServiceMicros)));
  const std::string result = fmt::format("done:{}:{}", request.tenant, request.prompt);
  host_.post(kMinServiceTime + extra, [done = std::move(done), result] { done(result); });
}

void RunnerNode::crash(bool silent) {
  context_.trace.note(host_.name(), "crash");
  context_.network.crash(host_, silent);
  context_.records.recordProcessEnd(host_.name(), context_.queue.now());
  leaving_ = false;
}

void RunnerNode::restart() {
  if (host_.up()) return;
  host_.start();
  context_.trace.note(host_.name(), "restart");
}

}  // namespace crankspur::sim
