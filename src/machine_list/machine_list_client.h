#pragma once
/// @file Client of the machine list. Concurrent fetches share one call. Callbacks run on the executor's
/// thread, never from inside the call.

#include <functional>
#include <memory>
#include <variant>

#include "machine_list/machine_types.h"
#include "platform_service/service_caller.h"

namespace crankspur {

using MachineListResult = std::variant<MachineList, ServiceUnavailable, ServiceRateLimited>;

/// Fetches the machine list. Destruction cancels pending calls without running their callbacks.
class MachineListClient {
public:
  virtual ~MachineListClient() = default;
  virtual void fetch(std::function<void(const MachineListResult&)> done) = 0;
};

/// @param client and `clock` must outlive the machine list client.
std::unique_ptr<MachineListClient> makeMachineListClient(boost::asio::any_io_executor executor,
                                                         http::Client& client, const Clock& clock,
                                                         ServiceOptions options);

}  // namespace crankspur
