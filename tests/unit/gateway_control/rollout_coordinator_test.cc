#include "gateway_control/rollout_coordinator.h"

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "base/bounded_event_log.h"
#include "unit/gateway_control/platform_link_fake.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// A platform that grants every lease and stores the calls to back ends, so that the test can respond to
/// them.
class GrantingPlatform : public FakePlatformLink {
public:
  explicit GrantingPlatform(boost::asio::io_context& context) : context_(context) {}
  void readLease(const std::string&, std::function<void(std::optional<LeaseRow>)> done) override {
    boost::asio::post(context_, [done = std::move(done)] { done(LeaseRow{}); });
  }
  void writeLease(const std::string&, const LeaseRow& row, std::uint64_t,
                  std::function<void(bool, std::optional<LeaseRow>)> done) override {
    LeaseRow written = row;
    written.row_version = ++row_version_;
    boost::asio::post(context_, [written, done = std::move(done)] { done(true, written); });
  }
  void readWeights(const std::string&, std::function<void(std::optional<WeightsReport>)> done) override {
    reports.push_back(std::move(done));
  }
  void sendOrder(const WeightsOrder& order, std::function<void(OrderResponse)> done) override {
    orders.push_back(order);
    order_callbacks.push_back(std::move(done));
  }

  std::vector<std::function<void(std::optional<WeightsReport>)>> reports;
  std::vector<WeightsOrder> orders;
  std::vector<std::function<void(OrderResponse)>> order_callbacks;

private:
  boost::asio::io_context& context_;
  std::uint64_t row_version_ = 0;
};

BoundedLogSettings quietLog() {
  BoundedLogSettings settings;
  settings.descriptor = ::open("/dev/null", O_WRONLY);
  return settings;
}

/// The coordinator of a fleet of engines that hold version 1 when 2 is named; one loads at a time.
class CoordinatorFixture {
public:
  CoordinatorFixture()
      : log_(quietLog()), coordinator_(context_.get_executor(), options(), platform, callbacks(), log_) {
    for (const char* name : {"a", "b"}) {
      Backend backend;
      backend.view.name = name;
      backend.view.address = name;
      backend.view.pool = "lm";
      backend.view.incarnation = 1;
      backend.view.models = {{"m", "1", {}}};
      backends_.push_back(backend);
    }
    coordinator_.onNamed({"m", 2, {}});
  }
  void runUntilReports(std::size_t count) {
    while (platform.reports.size() < count) REQUIRE(context_.run_one() > 0);
  }
  void runUntilOrders(std::size_t count) {
    while (platform.orders.size() < count) REQUIRE(context_.run_one() > 0);
  }
  static WeightsReport report(const std::string& weights) {
    WeightsReport report;
    report.models = {{"m", weights, {}}};
    return report;
  }

private:
  boost::asio::io_context context_;

public:
  GrantingPlatform platform{context_};

private:
  static RolloutCoordinatorOptions options() {
    RolloutCoordinatorOptions options;
    options.holder = "gateway";
    options.rollout.parallel = 1;
    return options;
  }
  RolloutCoordinatorCallbacks callbacks() {
    RolloutCoordinatorCallbacks callbacks;
    callbacks.backends = [this] { return backends_; };
    callbacks.rank = [] { return std::size_t{0}; };
    callbacks.holder_is_live = [](const std::string&) { return false; };
    callbacks.on_report = [](const std::string&, const WeightsReport&, bool) {};
    callbacks.on_loading = [](const std::string&) {};
    return callbacks;
  }

  std::vector<Backend> backends_;
  BoundedEventLog log_;
  RolloutCoordinator coordinator_;
};

}  // namespace

TEST_CASE("an engine whose report shows older weights gets an order", "[rollout_coordinator]") {
  CoordinatorFixture fixture;
  fixture.runUntilReports(1);
  CHECK(fixture.platform.orders.empty());
  fixture.platform.reports[0](CoordinatorFixture::report("1"));
  fixture.runUntilOrders(1);
  CHECK(fixture.platform.orders[0].version == 2);
}

TEST_CASE("an engine whose report shows the named weights gets no order", "[rollout_coordinator]") {
  CoordinatorFixture fixture;
  fixture.runUntilReports(1);
  fixture.platform.reports[0](CoordinatorFixture::report("2"));
  CHECK(fixture.platform.orders.empty());
}
