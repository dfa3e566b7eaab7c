#include "table_service/table_client.h"

#include <optional>

#include "table_service/table_codec.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

ReadResult readResult(ServiceAnswer answer, const std::string& key) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&answer)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&answer)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(answer);
  std::optional<TableRow> row;
  if (response.status == kOk) {
    row = decodeRow(response.body);
  }
  if (!row || row->key != key) {
    return unusableAnswer();
  }
  return std::move(*row);
}

TransactionResult transactionResult(ServiceAnswer answer) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&answer)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&answer)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(answer);
  if (response.status == kOk) {
    if (auto committed = decodeCommitted(response.body)) {
      return std::move(*committed);
    }
  }
  if (response.status == kConflict) {
    if (auto conflict = decodeConflict(response.body)) {
      return std::move(*conflict);
    }
  }
  return unusableAnswer();
}

class HttpTableClient : public TableClient {
public:
  HttpTableClient(boost::asio::any_io_executor executor, http::Client& client, const Clock& clock,
                  ServiceOptions options)
      : caller_(std::move(executor), client, clock, std::move(options)) {}

  void setLimit(RateLimit limit) override { caller_.setLimit(limit); }

  void read(const std::string& key, std::function<void(ReadResult)> done) override {
    http::Request request;
    request.target = "/v1/rows?key=" + percentEncode(key);
    caller_.call(std::move(request), [key, done = std::move(done)](ServiceAnswer answer) {
      done(readResult(std::move(answer), key));
    });
  }

  void commit(const TableTransaction& transaction, std::function<void(TransactionResult)> done) override {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/transactions";
    request.headers["Content-Type"] = "application/json";
    request.body = encodeTransaction(transaction);
    caller_.call(std::move(request), [done = std::move(done)](ServiceAnswer answer) {
      done(transactionResult(std::move(answer)));
    });
  }

private:
  ServiceCaller caller_;
};

}  // namespace

std::unique_ptr<TableClient> makeTableClient(boost::asio::any_io_executor executor, http::Client& client,
                                             const Clock& clock, ServiceOptions options) {
  return std::make_unique<HttpTableClient>(std::move(executor), client, clock, std::move(options));
}

}  // namespace crankspur
