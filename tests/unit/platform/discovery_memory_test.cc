/// @file Guards against gateways that exceed their memory because of callers of the directory, who need no
/// key: they can send many requests ahead on each of many connections and read none of the responses.

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/discovery_service.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBudgetBytes = 1'000'000;
constexpr int kCallers = 60;
constexpr int kRequestsAhead = 8'000;

DiscoverySources manyAddresses() {
  DiscoverySources sources;
  sources.ready = [] { return true; };
  sources.client_addresses = [](const std::string&) { return std::vector<std::string>(64, "10.0.0.1:8080"); };
  return sources;
}

}  // namespace

TEST_CASE("callers of the directory that do not read are held within the budget", "[platform][memory]") {
  asio::io_context context{1};
  const auto budget = std::make_shared<ByteBudget>(kBudgetBytes);
  DiscoveryService service(context.get_executor(), manyAddresses(), budget);
  REQUIRE_FALSE(service.listenForDirectory("127.0.0.1:0"));
  std::string requests;
  for (int request = 0; request < kRequestsAhead; ++request)
    requests += "GET /lookup HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::unique_ptr<tcp::socket>> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::make_unique<tcp::socket>(context));
    callers.back()->open(tcp::v4());
    callers.back()->set_option(asio::socket_base::receive_buffer_size(4'096));
    callers.back()->connect({asio::ip::make_address("127.0.0.1"), service.directoryPort()});
    asio::async_write(*callers.back(), asio::buffer(requests), [](boost::system::error_code, std::size_t) {});
  }
  std::size_t peak = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  runUntil(context, [&] {
    peak = std::max(peak, budget->used());
    return std::chrono::steady_clock::now() >= end;
  });
  CHECK(peak > kBudgetBytes / 4);  // The callers do press.
  CHECK(peak <= kBudgetBytes + kBudgetBytes / 10);
  callers.clear();
  runUntil(context, [&] { return budget->used() == 0; });
}
