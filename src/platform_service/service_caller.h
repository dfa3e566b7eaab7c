#pragma once
/// @file Common base of the clients of the platform's services: rate-limited HTTP calls, and typed failures
/// that state whether the call may have taken effect.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/call_rate_limiter.h"
#include "base/time.h"
#include "http/client.h"

namespace crankspur {

/// The service returned no usable response.
struct ServiceUnavailable {
  bool effect_unknown = true;  ///< False: the call certainly took no effect.
  Duration retry_after{0};     ///< As advised by the service; 0 without advice.
};

/// The rate limit does not allow the call now; the call took no effect.
struct ServiceRateLimited {
  Duration retry_after{0};
};

/// Options for the calls of one process to one service.
struct ServiceOptions {
  std::string address;          ///< "IP:port".
  RateLimit limit{20.0, 20.0};  ///< This process's share of the service's limit.
  /// Debt in calls that must be refilled before the first call is allowed; unset: starts with a full burst.
  std::optional<double> initial_debt;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(3);  ///< Maximum time without a byte of the response.
  /// A call that the rate limit would delay longer fails immediately as rate-limited.
  Duration max_wait = std::chrono::seconds(1);
};

/// A response with a status other than 429 and 5xx, or the failure.
using ServiceResult = std::variant<http::Response, ServiceUnavailable, ServiceRateLimited>;

/// Calls one service. Use only from the executor's thread. Destruction cancels delayed and running calls
/// without running their callbacks.
class ServiceCaller {
public:
  using Done = std::function<void(ServiceResult)>;

  /// @param client and `clock` must outlive the caller.
  ServiceCaller(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                ServiceOptions options);
  ~ServiceCaller();
  ServiceCaller(const ServiceCaller&) = delete;
  ServiceCaller& operator=(const ServiceCaller&) = delete;

  /// Replaces the rate limit.
  void setLimit(RateLimit limit);
  /// Makes a call as soon as the rate limit allows it. `done` never runs inside this function.
  void call(http::Request request, Done done);

private:
  class State;
  std::shared_ptr<State> state_;
};

/// @return the failure for a response whose status or format violates the protocol.
inline ServiceUnavailable unusableResponse() {
  return {true, Duration{0}};
}

/// @return `text` with every byte except letters, digits and "-._~" encoded as %XX.
std::string percentEncode(std::string_view text);

}  // namespace crankspur
