#pragma once
/// @file Watches the platform for the router: machine list and bundle row, at low jittered rates that shrink
/// with the number of routers. Lives on the control thread.

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

/// Intervals of the watcher.
struct PlatformWatcherOptions {
  std::string address;  ///< Empty: there is no platform, nothing is watched.
  Duration machine_list_interval = std::chrono::seconds(2);
  Duration bundle_row_interval = std::chrono::seconds(5);
};

/// What the watcher hands on.
struct PlatformWatcherCallbacks {
  std::function<void(const MachineList&)> on_machines;
  /// Returns whether the body was refused for what it is; it is then not fetched again.
  std::function<bool(const BundleBody&)> on_bundle;
  std::function<std::uint64_t()> held_version;  ///< Of the bundle.
  std::function<std::size_t()> router_count;    ///< Live routers.
};

/// The watcher.
class PlatformWatcher {
public:
  PlatformWatcher(const boost::asio::any_io_executor& executor, PlatformWatcherOptions options,
                  PlatformWatcherCallbacks callbacks, EventLog& log, std::uint64_t random_seed);
  ~PlatformWatcher();
  /// Begins at once.
  void start();
  /// @return whether the last machine list call was answered.
  bool reachable() const { return reachable_; }
  /// @return whether the last read of the bundle's row was answered.
  bool tableAnswers() const { return table_answers_; }

private:
  void fetchMachines();
  void fetchBundleRow();
  void onBundleRow(const TableRow& row);
  void fetchDocument(const BundleRow& row);
  Duration pause(Duration interval);
  void noteReachable(bool reachable);

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
  std::string refused_sha256_;  ///< Of the document that was refused last.
  bool reachable_ = true;
  bool table_answers_ = true;
};

}  // namespace crankspur
