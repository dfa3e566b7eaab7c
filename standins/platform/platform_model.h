#pragma once
/// @file Model of the platform's services. Pure state holder: it takes (call, now) and returns the reply; the
/// stand-in process and the simulation drive it.

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "standins/platform/platform_types.h"

namespace crankspur::standin {

/// @return the service that takes a call.
PlatformService serviceOf(const PlatformCall& call);

/// The platform.
class PlatformModel {
public:
  /// @param seed decides which answers are lost when only a share is.
  PlatformModel(PlatformOptions options, std::uint64_t seed);

  /// Makes a call at `now`. Calls come in the order of time.
  PlatformReply call(const PlatformCall& call, TimePoint now);

  /// Sets how a service fares from now on.
  void setBehaviour(PlatformService service, const ServiceBehaviour& behaviour);
  void setRateLimit(PlatformService service, RateLimit limit);
  void setMachineListLag(Duration lag) { options_.machine_list_lag = lag; }

  /// Sets the machines that are listed at once, without the lag.
  void setInitialMachines(std::vector<Machine> machines);
  /// Adds a machine or replaces the one of the same name; listed after the lag.
  void putMachine(const Machine& machine, TimePoint now);
  /// Removes a machine; it stays listed during the lag.
  void removeMachine(const std::string& name, TimePoint now);

  /// @return a row beside all limits and modes, for checkers.
  TableRow row(const std::string& key) const;
  /// @return calls of a service that were neither refused for the rate nor by Down.
  std::uint64_t served(PlatformService service) const { return state(service).served; }
  /// @return calls refused for the rate limit.
  std::uint64_t rateLimited(PlatformService service) const { return state(service).rate_limited; }

private:
  struct ServiceState {
    explicit ServiceState(RateLimit limit) : bucket(limit) {}
    CallRateLimiter bucket;
    ServiceBehaviour behaviour;
    std::uint64_t served = 0;
    std::uint64_t rate_limited = 0;
  };
  /// The machines from an instant on.
  struct MachineSnapshot {
    TimePoint since;
    std::vector<Machine> machines;
  };

  ServiceState& state(PlatformService service) { return services_[static_cast<std::size_t>(service)]; }
  const ServiceState& state(PlatformService service) const {
    return services_[static_cast<std::size_t>(service)];
  }
  ServiceBehaviour takeBehaviour(ServiceState& service);

  PlatformAnswer perform(const ReadRow& read, TimePoint now);
  PlatformAnswer perform(const TableTransaction& transaction, TimePoint now);
  PlatformAnswer perform(const PutObject& put, TimePoint now);
  PlatformAnswer perform(const GetObject& get, TimePoint now);
  PlatformAnswer perform(const LoadWeights& load, TimePoint now);
  PlatformAnswer perform(const ListMachines& list, TimePoint now);

  bool holds(const RowCondition& condition) const;
  /// Starts a snapshot at `now` that can be changed.
  std::vector<Machine>& changeMachines(TimePoint now);

  PlatformOptions options_;
  RandomSource random_;
  std::vector<ServiceState> services_;
  std::map<std::string, TableRow> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<TimePoint> weight_load_ends_;
  std::vector<MachineSnapshot> machine_history_;  ///< Oldest first; the first is always visible.
};

}  // namespace crankspur::standin
