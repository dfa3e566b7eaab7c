#pragma once
/// @file Admin endpoints of a router: /healthz, /metrics, /status, /explain. Runs on the control thread.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "http/admin.h"
#include "router_process/control_thread.h"

namespace crankspur {

/// Serves the admin port of a router.
class RouterAdmin {
public:
  RouterAdmin(boost::asio::io_context& context, const RouterSettings& settings, ControlThread& control,
              PeerThread& peer_thread, ControlThread::Shards& shards, RouterMetrics& metrics);
  /// @return an error if the port cannot be bound.
  std::error_code listen(const std::string& address);
  std::uint16_t port() const { return server_->port(); }

private:
  using Writer = std::shared_ptr<http::ResponseWriter>;
  std::string unhealthyReason() const;
  void respondStatus(const Writer& writer);
  void explain(const std::string& request_id, std::size_t shard, const Writer& writer);
  void refreshGauges();
  void setGauges(const PeerConnectionCounts& counts);
  std::size_t inFlight() const;

  boost::asio::io_context& context_;
  const RouterSettings& settings_;
  ControlThread& control_;
  PeerThread& peer_thread_;
  ControlThread::Shards& shards_;
  RouterMetrics& metrics_;
  boost::asio::steady_timer gauge_timer_;
  std::shared_ptr<http::AdminEndpoints> endpoints_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur
