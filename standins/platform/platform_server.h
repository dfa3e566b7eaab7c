#pragma once
/// @file HTTP server of a PlatformModel.

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/server.h"
#include "standins/platform/platform_model.h"

namespace crankspur::standin {

/// Serves a PlatformModel. Model, clock and server are used from one executor thread.
class PlatformServer {
public:
  PlatformServer(boost::asio::any_io_executor executor, PlatformModel& model, const Clock& clock)
      : executor_(std::move(executor)), model_(model), clock_(clock) {}

  /// Listens on "IP:port".
  std::error_code start(const std::string& address);
  std::uint16_t port() const { return server_->port(); }

private:
  void handle(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  /// Sends the response after the delay of `outcome`.
  void respondAfterDelay(const PlatformCallOutcome& outcome,
                         const std::shared_ptr<http::ResponseWriter>& writer);

  boost::asio::any_io_executor executor_;
  PlatformModel& model_;
  const Clock& clock_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace crankspur::standin
