#pragma once
/// @file What the clients of the platform's services share: calls over HTTP that keep to a rate limit by
/// construction, and typed failures that say whether the call may have taken effect.

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

/// The service gave no usable answer.
struct ServiceUnavailable {
  bool effect_unknown = true;  ///< False: the call surely took no effect.
  Duration retry_after{0};     ///< The service's advice; 0 when it gave none.
};

/// The rate limit leaves no room now; the call took no effect.
struct ServiceRateLimited {
  Duration retry_after{0};
};

/// How one process calls one service.
struct ServiceOptions {
  std::string address;          ///< "IP:port".
  RateLimit limit{20.0, 20.0};  ///< This process's share of the service's limit.
  /// Calls to be earned before the first is free; unset: a burst is free at the start.
  std::optional<double> starting_debt;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(3);  ///< Without a byte of the answer.
  /// A call that would wait longer for its turn is refused at once as rate-limited.
  Duration longest_wait = std::chrono::seconds(1);
};

/// A response other than 429 and 5xx, or why there is none.
using ServiceAnswer = std::variant<http::Response, ServiceUnavailable, ServiceRateLimited>;

/// Calls one service. Use from the executor's thread. Destruction drops waiting and running calls without a
/// callback.
class ServiceCaller {
public:
  using Done = std::function<void(ServiceAnswer)>;

  /// @param client and `clock` must outlive the caller.
  ServiceCaller(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                ServiceOptions options);
  ~ServiceCaller();
  ServiceCaller(const ServiceCaller&) = delete;
  ServiceCaller& operator=(const ServiceCaller&) = delete;

  /// Puts another rate limit in force.
  void setLimit(RateLimit limit);
  /// Makes a call when the rate limit lets it. `done` never runs inside this function.
  void call(http::Request request, Done done);

private:
  class State;
  std::shared_ptr<State> state_;
};

/// @return the answer to a response whose status or form is not what the protocol says.
inline ServiceUnavailable unusableAnswer() {
  return {true, Duration{0}};
}

/// @return `text` with every byte but letters, digits and "-._~" as %XX.
std::string percentEncode(std::string_view text);

}  // namespace crankspur
