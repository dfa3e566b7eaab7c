#include "gateway_control/order_giver.h"

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "base/bounded_event_log.h"
#include "unit/gateway_control/platform_link_fake.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// A platform that grants every lease and keeps the calls to back ends for the test to answer.
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
    order_answers.push_back(std::move(done));
  }

  std::vector<std::function<void(std::optional<WeightsReport>)>> reports;
  std::vector<WeightsOrder> orders;
  std::vector<std::function<void(OrderResponse)>> order_answers;

private:
  boost::asio::io_context& context_;
  std::uint64_t row_version_ = 0;
};

BoundedLogSettings quietLog() {
  BoundedLogSettings settings;
  settings.descriptor = ::open("/dev/null", O_WRONLY);
  return settings;
}

/// The giver of a fleet of engines that hold version 1 when 2 is named; one loads at a time.
class GiverSite {
public:
  GiverSite() : log_(quietLog()), giver_(context_.get_executor(), options(), platform, callbacks(), log_) {
    for (const char* name : {"a", "b"}) {
      Backend backend;
      backend.view.name = name;
      backend.view.address = name;
      backend.view.pool = "lm";
      backend.view.incarnation = 1;
      backend.view.models = {{"m", "1", {}}};
      backends_.push_back(backend);
    }
    giver_.onNamed({"m", 2, {}});
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
  static OrderGiverOptions options() {
    OrderGiverOptions options;
    options.holder = "gateway";
    options.rollout.parallel = 1;
    return options;
  }
  OrderGiverCallbacks callbacks() {
    OrderGiverCallbacks callbacks;
    callbacks.backends = [this] { return backends_; };
    callbacks.rank = [] { return std::size_t{0}; };
    callbacks.holder_alive = [](const std::string&) { return false; };
    callbacks.on_report = [](const std::string&, const WeightsReport&, bool) {};
    callbacks.on_loading = [](const std::string&) {};
    return callbacks;
  }

  std::vector<Backend> backends_;
  BoundedEventLog log_;
  OrderGiver giver_;
};

}  // namespace

TEST_CASE("an engine that holds older weights gets an order after its report", "[order_giver]") {
  GiverSite site;
  site.runUntilReports(1);
  CHECK(site.platform.orders.empty());
  site.platform.reports[0](GiverSite::report("1"));
  site.runUntilOrders(1);
  CHECK(site.platform.orders[0].version == 2);
}

TEST_CASE("an engine that has the weights already gets no order", "[order_giver]") {
  GiverSite site;
  site.runUntilReports(1);
  site.platform.reports[0](GiverSite::report("2"));
  CHECK(site.platform.orders.empty());
}
