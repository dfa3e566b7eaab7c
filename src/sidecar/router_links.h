#pragma once
/// @file Connections of a sidecar to routers: opens those requested by the directory, probes them and reports
/// their loss. Runs on the traffic thread.

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "internal_protocol/connection.h"
#include "sidecar/router_directory.h"

namespace crankspur {

/// Intervals and timeouts of connection maintenance.
struct RouterLinkOptions {
  Duration maintenance_interval = std::chrono::milliseconds(100);
  Duration ping_interval = std::chrono::seconds(1);
  /// The connection to a router that sent nothing for this long is closed.
  Duration silence_timeout = std::chrono::seconds(3);
};

/// One router as shown by /status.
struct RouterStatus {
  std::string name;
  std::string address;
  std::string zone;
  std::uint64_t bundle_version = 0;
};

/// Manages the connections to routers.
class RouterLinks {
public:
  struct Callbacks {
    /// The set of usable routers changed.
    std::function<void()> on_routers_changed;
    /// The connection to the router ended; requests submitted to it are lost.
    std::function<void(const std::string& router)> on_router_lost;
    /// A message not handled by RouterLinks itself.
    std::function<void(const std::string& router, Message message)> on_message;
    /// A router announced the bundle version it holds.
    std::function<void(const std::string& router, std::uint64_t version)> on_bundle_version;
  };

  /// @param hello returns the Hello to send, with current values.
  RouterLinks(const boost::asio::any_io_executor& executor, RouterDirectory& directory,
              std::function<Hello()> hello, Callbacks callbacks, EventLog& log,
              RouterLinkOptions options = {});
  ~RouterLinks();
  /// Starts to connect.
  void start();
  /// Closes all connections; with `flush` after queued messages are sent.
  void stop(bool flush);
  /// @return false if there is no open connection to the router; nothing was sent.
  bool send(const std::string& router, const Message& message);
  /// @return the connected routers.
  std::vector<RouterStatus> status() const;

private:
  struct Link;
  void maintain();
  void open(const std::string& address);
  void onHello(const std::shared_ptr<Link>& link, const Hello& hello);
  void onMessage(const std::shared_ptr<Link>& link, Message message);
  void onClosed(const std::shared_ptr<Link>& link, std::error_code reason);
  void recordBundleVersion(const std::shared_ptr<Link>& link, std::uint64_t version);
  void ping(Link& link, TimePoint now);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  RouterDirectory& directory_;
  std::function<Hello()> hello_;
  Callbacks callbacks_;
  EventLog& log_;
  RouterLinkOptions options_;
  SteadyClock clock_;
  bool stopped_ = false;
  std::map<std::string, std::shared_ptr<Link>> by_address_;
  std::map<std::string, std::shared_ptr<Link>> by_name_;
};

}  // namespace crankspur
