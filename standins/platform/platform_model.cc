#include "standins/platform/platform_model.h"

#include <algorithm>
#include <type_traits>

namespace crankspur::standin {

namespace {

struct ServiceVisitor {
  PlatformService operator()(const ReadRow&) const { return PlatformService::Table; }
  PlatformService operator()(const TableTransaction&) const { return PlatformService::Table; }
  PlatformService operator()(const PutObject&) const { return PlatformService::Objects; }
  PlatformService operator()(const GetObject&) const { return PlatformService::Objects; }
  PlatformService operator()(const LoadWeights&) const { return PlatformService::Weights; }
  PlatformService operator()(const ListMachines&) const { return PlatformService::Machines; }
};

std::uint64_t toWholeMilliseconds(TimePoint instant) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(instant.time_since_epoch()).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

}  // namespace

PlatformService serviceOf(const PlatformCall& call) {
  return std::visit(ServiceVisitor{}, call);
}

PlatformModel::PlatformModel(PlatformOptions options, std::uint64_t seed) : options_(options), random_(seed) {
  for (const RateLimit& limit : options_.limits) {
    services_.emplace_back(limit);
  }
  machine_history_.push_back({TimePoint::min(), {}});
}

PlatformCallOutcome PlatformModel::call(const PlatformCall& call, TimePoint now) {
  ServiceState& service = state(serviceOf(call));
  const ServiceBehaviour behaviour = nextBehaviour(service);
  if (behaviour.mode == ServiceMode::Down) {
    return {ServiceDown{}, behaviour.delay, false};
  }
  if (!service.bucket.tryAcquire(now)) {
    ++service.rate_limited;
    return {TooManyCalls{service.bucket.timeUntilNext(now)}, Duration{0}, false};
  }
  ++service.served;
  PlatformResponse response = std::visit([&](const auto& typed) { return execute(typed, now); }, call);
  const bool response_lost =
      behaviour.mode == ServiceMode::LoseResponses && random_.chance(behaviour.loss_probability);
  return {std::move(response), behaviour.delay, response_lost};
}

ServiceBehaviour PlatformModel::nextBehaviour(ServiceState& service) {
  const ServiceBehaviour behaviour = service.behaviour;
  if (behaviour.calls == 1) {
    service.behaviour = {};
  } else if (behaviour.calls > 1) {
    --service.behaviour.calls;
  }
  return behaviour;
}

void PlatformModel::setBehaviour(PlatformService service, const ServiceBehaviour& behaviour) {
  state(service).behaviour = behaviour;
}

void PlatformModel::setRateLimit(PlatformService service, RateLimit limit) {
  state(service).bucket = CallRateLimiter(limit);
}

PlatformResponse PlatformModel::execute(const ReadRow& read, TimePoint) {
  return row(read.key);
}

PlatformResponse PlatformModel::execute(const TableTransaction& transaction, TimePoint) {
  const auto condition_holds = [this](const RowCondition& condition) { return conditionHolds(condition); };
  if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), condition_holds)) {
    TransactionConflict conflict;
    for (const RowCondition& condition : transaction.conditions) {
      conflict.rows.push_back(row(condition.key));
    }
    return conflict;
  }
  TransactionCommitted committed;
  for (const RowWrite& write : transaction.writes) {
    TableRow& present = rows_[write.key];
    present = {write.key, present.version + 1, write.value};
    committed.versions.push_back({write.key, present.version});
  }
  return committed;
}

PlatformResponse PlatformModel::execute(const PutObject& put, TimePoint) {
  objects_[put.key] = put.body;
  return ObjectStored{};
}

PlatformResponse PlatformModel::execute(const GetObject& get, TimePoint) {
  const auto found = objects_.find(get.key);
  if (found == objects_.end()) {
    return NotFound{};
  }
  return ObjectFound{found->second};
}

PlatformResponse PlatformModel::execute(const LoadWeights&, TimePoint now) {
  std::erase_if(weight_load_ends_, [now](TimePoint end) { return end <= now; });
  const auto loads = static_cast<double>(weight_load_ends_.size() + 1);
  const double slowdown = std::max(1.0, loads / options_.full_speed_weight_loads);
  const double seconds =
      static_cast<double>(options_.weights_bytes) / options_.weights_bytes_per_second * slowdown;
  const auto duration = std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
  weight_load_ends_.push_back(now + duration);
  return WeightsTransfer{options_.weights_bytes, duration};
}

PlatformResponse PlatformModel::execute(const ListMachines&, TimePoint now) {
  const TimePoint as_of = now - options_.machine_list_lag;
  const auto first_later =
      std::find_if(machine_history_.begin() + 1, machine_history_.end(),
                   [as_of](const MachineSnapshot& snapshot) { return snapshot.since > as_of; });
  const auto visible = first_later - 1;
  MachineList list{toWholeMilliseconds(as_of), visible->machines};
  return list;
}

void PlatformModel::setInitialMachines(std::vector<Machine> machines) {
  machine_history_.assign(1, {TimePoint::min(), std::move(machines)});
}

void PlatformModel::putMachine(const Machine& machine, TimePoint now) {
  std::vector<Machine>& machines = addMachineSnapshot(now);
  const auto same_name = [&machine](const Machine& other) { return other.name == machine.name; };
  const auto found = std::find_if(machines.begin(), machines.end(), same_name);
  if (found == machines.end()) {
    machines.push_back(machine);
  } else {
    *found = machine;
  }
}

void PlatformModel::removeMachine(const std::string& name, TimePoint now) {
  std::erase_if(addMachineSnapshot(now), [&name](const Machine& machine) { return machine.name == name; });
}

std::vector<Machine>& PlatformModel::addMachineSnapshot(TimePoint now) {
  machine_history_.push_back({now, machine_history_.back().machines});
  return machine_history_.back().machines;
}

TableRow PlatformModel::row(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? TableRow{key, 0, ""} : found->second;
}

bool PlatformModel::conditionHolds(const RowCondition& condition) const {
  return row(condition.key).version == condition.version;
}

}  // namespace crankspur::standin
