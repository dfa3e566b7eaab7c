#pragma once
/// @file Calls and answers of the platform stand-in: table service, object store, weight store and machine
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

/// How a service fares.
enum class ServiceMode {
  Up,
  Slow,         ///< Each answer comes `delay` late.
  Down,         ///< Refuses every call; nothing takes effect.
  LoseAnswers,  ///< The call takes effect, but its answer never comes.
};

/// Behaviour set for a service.
struct ServiceBehaviour {
  ServiceMode mode = ServiceMode::Up;
  Duration delay{0};              ///< Added to each answer, in every mode.
  std::uint32_t calls = 0;        ///< The mode holds for so many calls, then Up; 0: until set again.
  double lose_probability = 1.0;  ///< For LoseAnswers: the share of answers that are lost.
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

/// A call of any of the services.
using PlatformCall = std::variant<ReadRow, TableTransaction, PutObject, GetObject, LoadWeights, ListMachines>;

struct ObjectStored {};
struct ObjectFound {
  std::string body;
};
struct NotFound {};
/// The service refuses for its rate limit; nothing took effect.
struct TooManyCalls {
  Duration retry_after{0};
};
/// The service is down; nothing took effect.
struct ServiceDown {};

using PlatformAnswer =
    std::variant<TableRow, TransactionCommitted, TransactionConflict, ObjectStored, ObjectFound, NotFound,
                 WeightsTransfer, MachineList, TooManyCalls, ServiceDown>;

/// What becomes of a call. Its effect, if any, happened when it was made.
struct PlatformReply {
  PlatformAnswer answer;
  Duration delay{0};  ///< Time until the answer leaves.
  bool lost = false;  ///< The answer never leaves: the connection is cut at `delay`.
};

/// Sizes and speeds of the platform.
struct PlatformOptions {
  std::array<RateLimit, kPlatformServiceCount> limits = {RateLimit{500.0, 500.0}, RateLimit{200.0, 200.0},
                                                         RateLimit{20.0, 40.0}, RateLimit{100.0, 200.0}};
  Duration machine_list_lag = std::chrono::seconds(2);
  std::uint64_t weights_bytes = 14'000'000'000;
  double weights_bytes_per_second = 2e9;      ///< One transfer alone.
  std::uint32_t full_speed_weight_loads = 3;  ///< More transfers at once share the speed of so many.
};

}  // namespace crankspur::standin
