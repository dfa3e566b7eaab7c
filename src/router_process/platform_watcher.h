#pragma once
/// @file Polls the platform's machine list and bundle row for a router, at low jittered rates that decrease
/// with the number of routers. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/random.h"
#include "bundle/bundle_row.h"
#include "http/client.h"
#include "internal_protocol/messages.h"
#include "machine_list/machine_list_client.h"
#include "object_store/object_client.h"
#include "table_service/table_client.h"

namespace crankspur {

/// Options of the watcher.
struct PlatformWatcherOptions {
  std::string address;  ///< Empty: there is no platform to poll.
  Duration machine_list_interval = std::chrono::seconds(2);
  Duration bundle_row_interval = std::chrono::seconds(5);
};

/// Queries and notifications to the owner of the watcher.
struct PlatformWatcherCallbacks {
  std::function<void(const MachineList&)> on_machines;
  /// Returns whether the body was refused because it is invalid; it is then not fetched again.
  std::function<bool(const BundleBody&)> on_bundle;
  std::function<std::uint64_t()> held_version;  ///< Version of the current bundle; 0: none.
  std::function<std::size_t()> router_count;    ///< Number of live routers.
};

/// See the file comment.
class PlatformWatcher {
public:
  PlatformWatcher(const boost::asio::any_io_executor& executor, PlatformWatcherOptions options,
                  PlatformWatcherCallbacks callbacks, EventLog& log, std::uint64_t random_seed);
  ~PlatformWatcher();
  /// Starts polling immediately.
  void start();
  /// @return whether the last call for the machine list got a response.
  bool reachable() const { return reachable_; }
  /// @return whether the last read of the bundle row got a response.
  bool tableReachable() const { return table_reachable_; }

private:
  void fetchMachines();
  void fetchBundleRow();
  void onBundleRow(const TableRow& row);
  void fetchDocument(const BundleRow& row);
  Duration jitteredInterval(Duration interval);
  void setReachable(bool reachable);

  PlatformWatcherOptions options_;
  PlatformWatcherCallbacks callbacks_;
  EventLog& log_;
  RandomSource random_;
  SteadyClock clock_;
  std::unique_ptr<http::Client> http_;
  std::unique_ptr<MachineListClient> machines_;
  std::unique_ptr<TableClient> table_;
  std::unique_ptr<ObjectClient> objects_;
  boost::asio::steady_timer machines_timer_;
  boost::asio::steady_timer bundle_timer_;
  boost::asio::steady_timer document_timer_;
  std::string refused_sha256_;  ///< Hash of the last document that was refused.
  bool reachable_ = true;
  bool table_reachable_ = true;
};

}  // namespace crankspur
