#include "sim/gateway_world/gateway_node.h"

#include <fmt/format.h>

#include "base/hash.h"
#include "sim/gateway_world/fleet_world.h"
#include "sim/gateway_world/gateway_process_state.h"

namespace crankspur::gateway_sim {
namespace {

/// Interval at which two clocks are compared to detect a suspension, as in production.
constexpr Duration kSuspensionCheckInterval = std::chrono::milliseconds(100);
/// More retries than any request gets.
constexpr double kUnlimitedRetryRatio = 100;
/// Longer than a run; as a tolerance it makes all crashes count, sequential or not.
constexpr Duration kUnlimited = std::chrono::hours(1);

gateway::GatewaySettings gatewaySettings(const FleetContext& context) {
  gateway::GatewaySettings settings;
  settings.retry_budget = retryBudgetOf(context.site);
  if (!context.has(sim::Mechanism::RetryBudget)) settings.retry_budget.ratio = kUnlimitedRetryRatio;
  gateway::CrashPolicy& policy = settings.crash_policy;
  if (!context.has(sim::Mechanism::CrashSequence)) policy.sequence_tolerance = kUnlimited;
  if (!context.has(sim::Mechanism::CrashClearing)) policy.clear_on_response = false;
  if (!context.has(sim::Mechanism::CrashIsolation)) {
    policy.crashes_until_isolated = policy.crashes_until_quarantined;
  }
  if (!context.has(sim::Mechanism::SignsOfLife)) {
    policy.read_delay = kUnlimited;
    policy.min_restart_time = Duration(0);
  }
  return settings;
}

}  // namespace

GatewayNode::GatewayNode(FleetContext& context, FleetWorld& world, std::uint32_t number)
    : context_(context),
      world_(world),
      number_(number),
      member_name_(fmt::format("10.1.0.{}:7340", number)),
      host_(fmt::format("gateway-{}", number),
            {fmt::format("zone-{}", number % context.site.zones), "region"}, context.queue),
      suspicions_(context, host_) {}

GatewayNode::~GatewayNode() = default;

TimePoint GatewayNode::now() const {
  if (context_.has(sim::Mechanism::SuspensionClock)) return host_.now();
  return TimePoint(steadyNow());
}

Duration GatewayNode::steadyNow() const {
  return host_.now().time_since_epoch() - suspended_;
}

void GatewayNode::start() {
  host_.start();
  context_.trace.note(host_.name(), "starts");
  context_.records.gateway_starts.push_back({number_, context_.queue.now()});
  MemberRecord self;
  self.name = member_name_;
  self.address = member_name_;
  self.zone = host_.location().zone;
  self.region = host_.location().region;
  self.incarnation = static_cast<std::uint64_t>(context_.queue.now().time_since_epoch().count());
  const std::uint64_t seed =
      combineHashes(hashBytes(member_name_), combineHashes(self.incarnation, context_.random.bits()));
  process_ = std::make_unique<Process>(gatewaySettings(context_), seed, self, now(), suspicions_);
  confirmed_at_ = {};
  std::vector<MemberRecord> seeds;
  for (const std::string& name : world_.seedNames()) {
    MemberRecord record;
    record.name = name;
    record.address = name;
    seeds.push_back(record);
  }
  process_->membership->seed(seeds, now());
  process_->crashes.onTimer({}, now());
  executeMembershipActions();
  executeCrashActions();
  startRecords();
  readStore();
  checkSuspension();
  if (context_.site.relays) followCaches();
}

void GatewayNode::kill(bool silent) {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "ends");
  context_.network.crash(host_, silent);
  process_.reset();
}

void GatewayNode::pause(Duration time) {
  if (!host_.up() || host_.paused()) return;
  host_.pause();
  context_.queue.after(time, [this, epoch = host_.epoch()] {
    if (host_.epoch() == epoch) host_.wake();
  });
}

void GatewayNode::suspend(Duration time) {
  if (!host_.up() || host_.paused()) return;
  context_.trace.note(host_.name(), "is suspended");
  host_.pause();
  context_.queue.after(time, [this, time, epoch = host_.epoch()] {
    if (host_.epoch() != epoch || !host_.paused()) return;
    suspended_ += time;
    host_.wake();
  });
}

std::uint64_t GatewayNode::crashDigest() const {
  return process_ == nullptr ? 0 : process_->crashes.digest();
}

// Timers.

void GatewayNode::arm(Timer& timer, TimePoint due, const sim::Task& task) {
  const std::uint64_t generation = ++timer.generation;
  if (due == TimePoint::max()) return;
  timer.due = steadyNow() + std::max(Duration(0), due - now());
  checkTimer(timer, generation, task);
}

void GatewayNode::checkTimer(Timer& timer, std::uint64_t generation, const sim::Task& task) {
  host_.post(std::max(Duration(0), timer.due - steadyNow()), [this, &timer, generation, task] {
    if (timer.generation != generation) return;
    if (steadyNow() < timer.due) return checkTimer(timer, generation, task);
    task();
  });
}

void GatewayNode::every(Timer& timer, Duration interval, const sim::Task& task) {
  arm(timer, now() + interval, [this, &timer, interval, task] {
    task();
    every(timer, interval, task);
  });
}

void GatewayNode::checkSuspension() {
  const auto suspended = process_->suspension.onTick(host_.now().time_since_epoch(), steadyNow());
  if (suspended && context_.has(sim::Mechanism::SuspensionClock)) {
    context_.trace.note(host_.name(), "notices a suspension");
    readStore();
    process_->traffic.onTimer(now());
    process_->traffic.onConnectionsSilent(now());
    executeActions();
  }
  process_->crashes.onRunning(now());
  arm(process_->suspension_timer, now() + kSuspensionCheckInterval, [this] { checkSuspension(); });
}

}  // namespace crankspur::gateway_sim
