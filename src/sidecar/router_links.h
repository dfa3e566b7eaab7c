#pragma once
/// @file Connections of a sidecar to routers: opens those the directory wants, probes them, reports losses.
/// Lives on the traffic thread.

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

/// Intervals of the connections' upkeep.
struct RouterLinkOptions {
  Duration upkeep_interval = std::chrono::milliseconds(100);
  Duration ping_interval = std::chrono::seconds(1);
  /// A router that was silent for longer is given up: its connection closes.
  Duration silence_limit = std::chrono::seconds(3);
};

/// One router as /status shows it.
struct RouterStatus {
  std::string name;
  std::string address;
  std::string zone;
  std::uint64_t bundle_version = 0;
};

/// The connections.
class RouterLinks {
public:
  struct Callbacks {
    /// A router became usable, or stopped being so.
    std::function<void()> on_routers_changed;
    /// The connection to the router ended; everything submitted there is lost.
    std::function<void(const std::string& router)> on_lost;
    /// A message that is not the links' own business.
    std::function<void(const std::string& router, Message message)> on_message;
    /// A router said which bundle version it holds.
    std::function<void(const std::string& router, std::uint64_t version)> on_bundle_version;
  };

  /// @param hello makes the Hello to send, with current values.
  RouterLinks(const boost::asio::any_io_executor& executor, RouterDirectory& directory,
              std::function<Hello()> hello, Callbacks callbacks, EventLog& log,
              RouterLinkOptions options = {});
  ~RouterLinks();
  /// Begins to connect.
  void start();
  /// Closes every connection; `flush` lets queued messages leave first.
  void stop(bool flush);
  /// @return false when no open connection to the router exists; nothing was sent then.
  bool send(const std::string& router, const Message& message);
  /// @return the routers connected now.
  std::vector<RouterStatus> status() const;

private:
  struct Link;
  void upkeep();
  void open(const std::string& address);
  void onHello(const std::shared_ptr<Link>& link, const Hello& hello);
  void onMessage(const std::shared_ptr<Link>& link, Message message);
  void onClosed(const std::shared_ptr<Link>& link, std::error_code reason);
  void noteBundleVersion(const std::shared_ptr<Link>& link, std::uint64_t version);
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
