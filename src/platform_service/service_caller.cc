#include "platform_service/service_caller.h"

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "json/json_fields.h"

namespace crankspur {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr double kMaxRetryAfterSeconds = 3600;

/// @return the Retry-After header in seconds, possibly fractional; 0 when absent, invalid or out of range.
Duration parseRetryAfter(const http::Response& response) {
  const auto found = response.headers.find("Retry-After");
  if (found == response.headers.end()) {
    return Duration{0};
  }
  const std::string& text = found->second;
  double seconds = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool valid = result.ec == std::errc{} && seconds >= 0 && seconds <= kMaxRetryAfterSeconds;
  return valid ? std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds)) : Duration{0};
}

/// @return whether the error body states that nothing ran.
bool isNotRun(const http::Response& response) {
  const std::optional<boost::json::object> body = parseJsonObject(response.body);
  if (!body) {
    return false;
  }
  const boost::json::value* error = body->if_contains("error");
  return error != nullptr && error->is_object() && stringField(error->get_object(), "ran") == "not_run";
}

ServiceResult classify(http::Response response) {
  if (response.status == kTooManyRequests) {
    return ServiceRateLimited{parseRetryAfter(response)};
  }
  if (response.status >= kFirstServerError) {
    return ServiceUnavailable{!isNotRun(response), parseRetryAfter(response)};
  }
  return response;
}

}  // namespace

/// State of the caller, shared with its pending callbacks.
class ServiceCaller::State : public std::enable_shared_from_this<ServiceCaller::State> {
public:
  State(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
        ServiceOptions options)
      : executor_(std::move(executor)),
        client_(client),
        clock_(clock),
        options_(std::move(options)),
        limiter_(options_.limit) {
    if (options_.initial_debt) limiter_.drain(*options_.initial_debt);
  }

  void call(http::Request request, Done done) {
    const TimePoint now = clock_.now();
    const Duration limiter_wait = limiter_.reserve(now);
    const Duration wait = std::max(limiter_wait, backoff_until_ - now);
    if (wait > options_.max_wait) {
      limiter_.returnToken();
      schedule(Duration{0}, [done = std::move(done), wait] { done(ServiceRateLimited{wait}); });
      return;
    }
    schedule(std::max(wait, Duration{0}),
             [this, request = std::move(request), done = std::move(done)]() mutable {
               start(std::move(request), std::move(done));
             });
  }

  void setLimit(RateLimit limit) { limiter_.setLimit(limit, clock_.now()); }

  void close() {
    closed_ = true;
    for (const auto& timer : std::exchange(timers_, {})) {
      timer->cancel();
    }
    for (const auto& [id, exchange] : std::exchange(exchanges_, {})) {
      exchange->cancel();
    }
  }

private:
  using Timer = std::shared_ptr<boost::asio::steady_timer>;

  void schedule(Duration wait, std::function<void()> action) {
    const Timer timer = std::make_shared<boost::asio::steady_timer>(executor_, wait);
    timers_.insert(timer);
    timer->async_wait(
        [self = shared_from_this(), timer, action = std::move(action)](const boost::system::error_code&) {
          self->timers_.erase(timer);
          if (!self->closed_) {
            action();
          }
        });
  }

  void start(http::Request request, Done done) {
    http::ExchangeOptions exchange_options;
    exchange_options.connect_timeout = options_.connect_timeout;
    exchange_options.idle_timeout = options_.call_timeout;
    exchange_options.may_be_repeated = request.method == "GET";
    const std::uint64_t id = ++last_exchange_;
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [weak = weak_from_this(), id, done = std::move(done)](
                            std::error_code error, http::SendState state, http::Response response) {
      if (const auto self = weak.lock()) {
        self->finish(id, error, state, std::move(response), done);
      }
    };
    exchanges_[id] =
        client_.start(options_.address, std::move(request), std::move(callbacks), exchange_options);
  }

  void finish(std::uint64_t id, std::error_code error, http::SendState state, http::Response response,
              const Done& done) {
    exchanges_.erase(id);
    if (closed_) {
      return;
    }
    if (error) {
      done(ServiceUnavailable{state != http::SendState::NotSent, Duration{0}});
      return;
    }
    ServiceResult result = classify(std::move(response));
    if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
      backoff_until_ = std::max(backoff_until_, clock_.now() + limited->retry_after);
    }
    done(std::move(result));
  }

  boost::asio::any_io_executor executor_;
  http::Client& client_;
  const Clock& clock_;
  ServiceOptions options_;
  CallRateLimiter limiter_;
  TimePoint backoff_until_{};  ///< The service has rejected calls as rate-limited until then.
  bool closed_ = false;
  std::set<Timer> timers_;
  std::uint64_t last_exchange_ = 0;
  std::map<std::uint64_t, std::shared_ptr<http::Exchange>> exchanges_;
};

ServiceCaller::ServiceCaller(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                             ServiceOptions options)
    : state_(std::make_shared<State>(std::move(executor), client, clock, std::move(options))) {}

ServiceCaller::~ServiceCaller() {
  state_->close();
}

void ServiceCaller::setLimit(RateLimit limit) {
  state_->setLimit(limit);
}

void ServiceCaller::call(http::Request request, Done done) {
  state_->call(std::move(request), std::move(done));
}

std::string percentEncode(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  std::string encoded;
  for (const char character : text) {
    const bool alphanumeric = std::isalnum(static_cast<unsigned char>(character)) != 0;
    if (alphanumeric || kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

}  // namespace crankspur
