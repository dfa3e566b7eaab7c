/// @file Guards against streams that fill the memory of a gateway together with incomplete events: each had a
/// limit of 64 KiB, and a gateway has 2,500 of them.

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

constexpr std::size_t kBudgetBytes = std::size_t{256} * 1024;
constexpr std::size_t kEventBytes = std::size_t{60} * 1024;
constexpr std::size_t kStreams = 12;

/// Gateway whose clients wait for streams that stop within an event.
struct EventSite : GatewaySite {
  explicit EventSite(std::shared_ptr<ByteBudget> held)
      : GatewaySite(Repeatability::ResumableStream, true, {}, std::move(held)) {}

  void sendAll() {
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      send("one");
      streams.push_back(exchange);
    }
  }

  std::vector<std::shared_ptr<http::Exchange>> streams;
};

}  // namespace

TEST_CASE("an incomplete event that the budget has no room for moves its stream", "[integration][events]") {
  const auto budget = std::make_shared<ByteBudget>(kBudgetBytes);
  EventSite site(budget);
  site.sendAll();
  site.awaitRequest(kStreams);
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    const auto writer = site.requests[stream].writer;
    writer->begin(200, sealed("one"));
    writer->write("id: 1\ndata: " + std::string(kEventBytes, 'x'));
  }
  std::size_t most = 0;
  site.runUntil([&] {
    most = std::max(most, budget->used());
    return site.requests.size() >= kStreams + kStreams - kBudgetBytes / kEventBytes;
  });
  CHECK(most <= kBudgetBytes + kStreams * 16 * 1024);
  CHECK(most > kEventBytes);
}

}  // namespace crankspur::gateway
