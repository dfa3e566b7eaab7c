#pragma once
/// @file Calls and responses of the platform stand-in: table service, object store, weight store and machine
/// list.

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/call_rate_limiter.h"
#include "base/time.h"
#include "machine_list/machine_types.h"
#include "table_service/table_types.h"
#include "weight_store/weight_types.h"

namespace crankspur::standin {

/// The services of the platform. Each has its own rate limit and behaviour.
enum class PlatformService { Table, Objects, Weights, Machines };
constexpr std::size_t kPlatformServiceCount = 4;
constexpr std::array<PlatformService, kPlatformServiceCount> kPlatformServices = {
    PlatformService::Table, PlatformService::Objects, PlatformService::Weights, PlatformService::Machines};

/// Availability of a service.
enum class ServiceMode {
  Up,
  Slow,           ///< Each response is delayed by `delay`.
  Down,           ///< Rejects each call without effect.
  LoseResponses,  ///< The call takes effect, but its response may be lost.
};

/// Injected behaviour of a service.
struct ServiceBehaviour {
  ServiceMode mode = ServiceMode::Up;
  Duration delay{0};              ///< Delay of each response, in all modes.
  std::uint32_t calls = 0;        ///< Calls until the service returns to Up; 0: until set again.
  double loss_probability = 1.0;  ///< For LoseResponses: probability that a response is lost.
};

struct ReadRow {
  std::string key;
};
struct PutObject {
  std::string key;
  std::string body;
};
struct GetObject {
  std::string key;
};
struct LoadWeights {
  std::string model;
  std::string weights_version;
};
struct ListMachines {};

/// A call to any of the services.
using PlatformCall = std::variant<ReadRow, TableTransaction, PutObject, GetObject, LoadWeights, ListMachines>;

struct ObjectStored {};
struct ObjectFound {
  std::string body;
};
struct NotFound {};
/// Rejected by the rate limit; nothing took effect.
struct TooManyCalls {
  Duration retry_after{0};
};
/// The service is down; nothing took effect.
struct ServiceDown {};

using PlatformResponse =
    std::variant<TableRow, TransactionCommitted, TransactionConflict, ObjectStored, ObjectFound, NotFound,
                 WeightsTransfer, MachineList, TooManyCalls, ServiceDown>;

/// Outcome of a call. Its effect, if any, took place when the call was made.
struct PlatformCallOutcome {
  PlatformResponse response;
  Duration delay{0};  ///< Time until the response is sent.
  bool lost = false;  ///< The response is not sent: the connection is closed after `delay`.
};

/// Capacities and rates of the platform.
struct PlatformOptions {
  std::array<RateLimit, kPlatformServiceCount> limits = {RateLimit{500.0, 500.0}, RateLimit{200.0, 200.0},
                                                         RateLimit{20.0, 40.0}, RateLimit{100.0, 200.0}};
  Duration machine_list_lag = std::chrono::seconds(2);
  std::uint64_t weights_bytes = 14'000'000'000;
  double weights_bytes_per_second = 2e9;  ///< Speed of a single transfer.
  /// Number of concurrent transfers that run at full speed; more transfers share the bandwidth of this many.
  std::uint32_t full_speed_weight_loads = 3;
};

}  // namespace crankspur::standin
