#include "operator/platform_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

namespace crankspur {

namespace {

constexpr RateLimit kOperatorLimit{10.0, 10.0};

class HttpPlatformPort : public PlatformPort {
public:
  explicit HttpPlatformPort(const std::string& address)
      : client_(http::makeClient(context_.get_executor())),
        table_(makeTableClient(context_.get_executor(), *client_, clock_, optionsFor(address))),
        objects_(makeObjectClient(context_.get_executor(), *client_, clock_, optionsFor(address))) {}

  ReadResult readRow(const std::string& key) override {
    return runUntilDone<ReadResult>([&](auto done) { table_->read(key, std::move(done)); });
  }

  TransactionResult compareAndSet(const std::string& key, std::uint64_t expected_version,
                                  const std::string& value) override {
    return runUntilDone<TransactionResult>(
        [&](auto done) { table_->compareAndSet(key, expected_version, value, std::move(done)); });
  }

  PutObjectResult putObject(const std::string& key, const std::string& body) override {
    return runUntilDone<PutObjectResult>([&](auto done) { objects_->put(key, body, std::move(done)); });
  }

  void sleepFor(Duration duration) override {
    boost::asio::steady_timer timer(context_, duration);
    timer.async_wait([this](const boost::system::error_code&) { context_.stop(); });
    runContext();
  }

private:
  static ServiceOptions optionsFor(const std::string& address) {
    ServiceOptions options;
    options.address = address;
    options.limit = kOperatorLimit;
    return options;
  }

  template <typename Result, typename Start>
  Result runUntilDone(Start start) {
    std::optional<Result> result;
    start([this, &result](const Result& value) {
      result = value;
      context_.stop();
    });
    runContext();
    return std::move(*result);
  }

  void runContext() {
    context_.restart();
    context_.run();
  }

  boost::asio::io_context context_{1};
  SteadyClock clock_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<TableClient> table_;
  std::unique_ptr<ObjectClient> objects_;
};

}  // namespace

std::unique_ptr<PlatformPort> makeHttpPlatformPort(const std::string& address) {
  return std::make_unique<HttpPlatformPort>(address);
}

}  // namespace crankspur
