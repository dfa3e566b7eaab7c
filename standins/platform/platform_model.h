#pragma once
/// @file Model of the platform's services, without I/O or clock: maps (call, now) to the outcome of the call.
/// Driven by the stand-in process and by the simulation.

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "standins/platform/platform_types.h"

namespace crankspur::standin {

/// @return the service that handles a call.
PlatformService serviceOf(const PlatformCall& call);

/// State of all services of the platform. Not thread-safe.
class PlatformModel {
public:
  /// @param seed seed of the random choice of lost responses.
  PlatformModel(PlatformOptions options, std::uint64_t seed);

  /// Executes a call. `now` must not decrease from call to call.
  PlatformCallOutcome call(const PlatformCall& call, TimePoint now);

  /// Sets the behaviour of a service for the following calls.
  void setBehaviour(PlatformService service, const ServiceBehaviour& behaviour);
  void setRateLimit(PlatformService service, RateLimit limit);
  void setMachineListLag(Duration lag) { options_.machine_list_lag = lag; }

  /// Sets the machines that are listed immediately, without the lag.
  void setInitialMachines(std::vector<Machine> machines);
  /// Adds a machine or replaces the one of the same name; listed after the lag.
  void putMachine(const Machine& machine, TimePoint now);
  /// Removes a machine; it stays listed during the lag.
  void removeMachine(const std::string& name, TimePoint now);

  /// @return a row, bypassing rate limits and service modes. For checkers.
  TableRow row(const std::string& key) const;
  /// @return the number of calls that were rejected neither by the rate limit nor by ServiceMode::Down.
  std::uint64_t served(PlatformService service) const { return state(service).served; }
  /// @return the number of calls rejected by the rate limit.
  std::uint64_t rateLimited(PlatformService service) const { return state(service).rate_limited; }

private:
  struct ServiceState {
    explicit ServiceState(RateLimit limit) : bucket(limit) {}
    CallRateLimiter bucket;
    ServiceBehaviour behaviour;
    std::uint64_t served = 0;
    std::uint64_t rate_limited = 0;
  };
  /// The machines from `since` until the next snapshot.
  struct MachineSnapshot {
    TimePoint since;
    std::vector<Machine> machines;
  };

  ServiceState& state(PlatformService service) { return services_[static_cast<std::size_t>(service)]; }
  const ServiceState& state(PlatformService service) const {
    return services_[static_cast<std::size_t>(service)];
  }
  /// @return the behaviour of the next call, and counts that call.
  ServiceBehaviour nextBehaviour(ServiceState& service);

  PlatformResponse execute(const ReadRow& read, TimePoint now);
  PlatformResponse execute(const TableTransaction& transaction, TimePoint now);
  PlatformResponse execute(const PutObject& put, TimePoint now);
  PlatformResponse execute(const GetObject& get, TimePoint now);
  PlatformResponse execute(const LoadWeights& load, TimePoint now);
  PlatformResponse execute(const ListMachines& list, TimePoint now);

  bool conditionHolds(const RowCondition& condition) const;
  /// Appends a copy of the latest snapshot, valid from `now`.
  /// @return its machines, to be modified.
  std::vector<Machine>& addMachineSnapshot(TimePoint now);

  PlatformOptions options_;
  RandomSource random_;
  std::vector<ServiceState> services_;
  std::map<std::string, TableRow> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<TimePoint> weight_load_ends_;
  std::vector<MachineSnapshot> machine_history_;  ///< Oldest first; the first one has no start time.
};

}  // namespace crankspur::standin
