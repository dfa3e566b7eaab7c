#include "table_service/table_client.h"

#include <optional>

#include "table_service/table_codec.h"

namespace crankspur {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

ReadResult toReadResult(ServiceResult result, const std::string& key) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(result);
  std::optional<TableRow> row;
  if (response.status == kOk) {
    row = decodeRow(response.body);
  }
  if (!row || row->key != key) {
    return unusableResponse();
  }
  return std::move(*row);
}

TransactionResult toTransactionResult(ServiceResult result) {
  if (const auto* unavailable = std::get_if<ServiceUnavailable>(&result)) {
    return *unavailable;
  }
  if (const auto* limited = std::get_if<ServiceRateLimited>(&result)) {
    return *limited;
  }
  const http::Response& response = std::get<http::Response>(result);
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
  return unusableResponse();
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
    caller_.call(std::move(request), [key, done = std::move(done)](ServiceResult result) {
      done(toReadResult(std::move(result), key));
    });
  }

  void commit(const TableTransaction& transaction, std::function<void(TransactionResult)> done) override {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/transactions";
    request.headers["Content-Type"] = "application/json";
    request.body = encodeTransaction(transaction);
    caller_.call(std::move(request), [done = std::move(done)](ServiceResult result) {
      done(toTransactionResult(std::move(result)));
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
