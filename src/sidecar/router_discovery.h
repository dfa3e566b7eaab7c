#pragma once
/// @file Reads routers from the machine list now and then. Lives on the control thread.

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

/// The reader. The list lags and may be down; it only adds to what gossip tells.
class RouterDiscovery {
public:
  using Handler = std::function<void(std::vector<MemberRecord>)>;
  /// @param interval mean time between two reads; each wait is drawn around it.
  RouterDiscovery(const boost::asio::any_io_executor& executor, const std::string& address, Duration interval,
                  std::uint64_t random_seed, EventLog& log, Handler handler);
  /// Reads now and from then on.
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
  bool available_ = true;  ///< Whether the last read had an answer; a change is logged once.
};

}  // namespace crankspur
