#pragma once
/// @file Operator endpoints of one gateway: /healthz, /metrics, /status and /explain at an address of their
/// own. Runs on the control thread.

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>
#include <system_error>

#include "base/bounded_event_log.h"
#include "base/byte_budget.h"
#include "gateway_control/gateway_control.h"
#include "gateway_process/gateway_metrics.h"
#include "gateway_process/gateway_process.h"
#include "http/admin.h"

namespace crankspur::gateway {

/// Budgets of the bytes that the process holds.
struct HeldBytes {
  const ByteBudget& traffic;  ///< For clients, and received from back ends for them.
  const ByteBudget& calls;    ///< Responses to calls of the control thread.
};

/// Serves the endpoints. The objects passed to the constructor must outlive it.
class GatewayAdmin {
public:
  GatewayAdmin(const NodeSettings& settings, const GatewayProcess& process, const GatewayControl& control,
               GatewayMetrics& metrics, const BoundedEventLog& log, const HeldBytes& held);
  /// @param address "IP:port"; empty: nothing is served.
  std::error_code listen(const boost::asio::any_io_executor& executor, const std::string& address);
  /// @return the bound port; 0: none.
  std::uint16_t port() const { return server_ == nullptr ? 0 : server_->port(); }

private:
  using writer_pointer = std::shared_ptr<http::ResponseWriter>;
  std::string notServingReason() const;
  http::Response status() const;
  http::Response explain(const std::string& request_id) const;
  void refreshGauges();

  const NodeSettings& settings_;
  const GatewayProcess& process_;
  const GatewayControl& control_;
  GatewayMetrics& metrics_;
  const BoundedEventLog& log_;
  const HeldBytes held_;
  std::shared_ptr<http::AdminEndpoints> endpoints_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur::gateway
