#pragma once
/// @file A platform stand-in and the clients of its services in one io_context.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "http/client.h"
#include "machine_list/machine_list_client.h"
#include "object_store/object_client.h"
#include "standins/platform/platform_server.h"
#include "table_service/table_client.h"
#include "weight_store/weight_client.h"

namespace crankspur {

struct PlatformFixture {
  static constexpr std::chrono::seconds kTimeout{20};

  PlatformFixture() { REQUIRE_FALSE(server.start("127.0.0.1:0")); }

  ServiceOptions options() const {
    ServiceOptions options;
    options.address = "127.0.0.1:" + std::to_string(server.port());
    options.limit = {1000.0, 1000.0};
    options.call_timeout = std::chrono::seconds(1);
    return options;
  }

  /// Runs an asynchronous call and returns the value passed to its callback.
  template <typename Result, typename Start>
  Result wait(Start start) {
    std::optional<Result> result;
    start([&result](const Result& value) { result = value; });
    REQUIRE_FALSE(result);
    runUntil([&result] { return result.has_value(); });
    return *result;
  }

  template <typename Condition>
  void runUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(50));
    }
    REQUIRE(condition());
  }

  TransactionResult compareAndSet(std::uint64_t version, const std::string& value) {
    return wait<TransactionResult>(
        [&](auto done) { table->compareAndSet("k/1", version, value, std::move(done)); });
  }

  void setMode(standin::ServiceMode mode) {
    for (const standin::PlatformService service : standin::kPlatformServices) {
      model.setBehaviour(service, {mode, Duration{0}, 0, 1.0});
    }
  }

  boost::asio::io_context context{1};
  SteadyClock clock;
  standin::PlatformModel model{{}, 1};
  standin::PlatformServer server{context.get_executor(), model, clock};
  std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
  std::unique_ptr<TableClient> table;
};

}  // namespace crankspur
