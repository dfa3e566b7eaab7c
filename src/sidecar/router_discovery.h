#pragma once
/// @file Reads routers from the machine list periodically. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "http/client.h"
#include "internal_protocol/messages.h"
#include "machine_list/machine_list_client.h"

namespace crankspur {

/// Polls the machine list. The list lags and may be unavailable; it only supplements gossip.
class RouterDiscovery {
public:
  using Handler = std::function<void(std::vector<MemberRecord>)>;
  /// @param interval mean time between reads; each delay is jittered around it.
  RouterDiscovery(const boost::asio::any_io_executor& executor, const std::string& address, Duration interval,
                  std::uint64_t random_seed, EventLog& log, Handler handler);
  /// Reads immediately and periodically from then on.
  void start();

private:
  void read();
  void onResult(const MachineListResult& result);

  boost::asio::steady_timer timer_;
  Duration interval_;
  RandomSource random_;
  EventLog& log_;
  Handler handler_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<MachineListClient> list_;
  bool available_ = true;  ///< Whether the last read succeeded; changes are logged.
};

}  // namespace crankspur
