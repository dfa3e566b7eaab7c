#include "gateway_control/gateway_admin.h"

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gateway_process/observer_pair.h"
#include "gateway_process/request_log.h"
#include "http/client.h"
#include "operator/explain.h"
#include "operator/node_status.h"
#include "unit/gateway_control/platform_link_fake.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::gateway;

namespace {

/// Rejects every request as malformed.
class RejectingDialect : public Dialect {
public:
  std::optional<ClientRequest> readRequest(const http::Request&) const override { return std::nullopt; }
  http::Headers forwardHeaders(const http::Request& head, const ForwardTerms&) const override {
    return head.headers;
  }
  http::Headers relayHeaders(const http::Request& head, Duration) const override { return head.headers; }
  BackendResponse readResponse(const http::Response&, const std::string&) const override { return {}; }
};

BoundedLogSettings quietLog() {
  BoundedLogSettings settings;
  settings.descriptor = ::open("/dev/null", O_WRONLY);
  return settings;
}

NodeSettings nodeSettings() {
  NodeSettings settings;
  settings.name = "gateway-1";
  settings.zone = "hall";
  settings.gossip = "127.0.0.1:0";
  settings.front = "127.0.0.1:0";
  return settings;
}

/// A gateway without traffic whose admin address is queried over loopback.
class AdminFixture {
public:
  AdminFixture() {
    REQUIRE_FALSE(process.start());
    REQUIRE_FALSE(control.listen());
    control.start();
    REQUIRE_FALSE(admin.listen(context.get_executor(), "127.0.0.1:0"));
  }

  GatewayControlOutputs outputs() {
    GatewayControlOutputs outputs;
    outputs.publish = [this](std::shared_ptr<const GatewaySnapshot> snapshot) {
      if (on_publish) on_publish(snapshot);
      process.publish(std::move(snapshot));
    };
    outputs.on_cached_parts = [](CachedPartsUpdate) {};
    outputs.on_connections_silent = [this] { ++silent_connection_notices; };
    return outputs;
  }

  http::Response get(const std::string& target) {
    const std::unique_ptr<http::Client> client = http::makeClient(context.get_executor());
    http::Request request;
    request.target = target;
    http::Response result;
    bool done = false;
    http::ExchangeCallbacks callbacks;
    callbacks.on_done = [&](std::error_code error, http::SendState, const http::Response& response) {
      CHECK_FALSE(error);
      result = response;
      done = true;
    };
    client->start("127.0.0.1:" + std::to_string(admin.port()), std::move(request), std::move(callbacks), {});
    while (!done) context.run_one_for(std::chrono::milliseconds(100));
    return result;
  }

  int silent_connection_notices = 0;  ///< Notifications to traffic.
  std::function<void(const std::shared_ptr<const GatewaySnapshot>&)> on_publish;
  boost::asio::io_context context{1};
  NodeSettings settings = nodeSettings();
  BoundedEventLog log{quietLog()};
  GatewayMetrics metrics;
  RequestLog lines{log};
  ObserverPair observers{lines, metrics};
  GatewayProcess process{processSettings(), std::make_shared<RejectingDialect>(), TrafficCallbacks{},
                         observers};
  FakePlatformLink platform;
  GatewayControl control{context.get_executor(), settings, 7, platform, outputs(), log};
  ByteBudget budget{1'000'000};
  ByteBudget call_budget{1'000'000};
  GatewayAdmin admin{settings, process, control, metrics, log, {budget, call_budget}};

private:
  static GatewayProcessSettings processSettings() {
    GatewayProcessSettings settings;
    settings.listen_address = "127.0.0.1:0";
    return settings;
  }
};

bool holds(const http::Response& response, const std::string& text) {
  return response.body.find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("a gateway's metrics count requests by route, outcome and cause", "[gateway][admin]") {
  AdminFixture fixture;
  RequestEnded ended;
  ended.request_id = "q1";
  ended.route = "review";
  ended.outcome = RequestOutcome::refused;
  ended.cause = RequestCause::back_ends_full;
  ended.status = 503;
  ended.total = std::chrono::milliseconds(30);
  fixture.observers.onEnded(ended);
  const http::Response metrics = fixture.get("/metrics");
  CHECK(metrics.status == 200);
  CHECK(holds(
      metrics,
      R"(crankspur_gateway_requests_total{cause="back_ends_full",outcome="refused",route="review"} 1)"));
  CHECK(holds(metrics, R"(crankspur_gateway_refusals_total{cause="back_ends_full"} 1)"));
  CHECK(holds(metrics, "crankspur_gateway_refused_after_seconds_count 1"));
  CHECK(holds(metrics, R"(crankspur_gateway_backends{state="live"} 0)"));
  CHECK(holds(metrics, "crankspur_gateway_log_notable_lines_dropped 0"));
  CHECK(holds(metrics, "crankspur_gateway_members 1"));
}

TEST_CASE("metrics label a bounded number of routes", "[gateway][admin]") {
  AdminFixture fixture;
  for (int route = 0; route < 200; ++route) {
    const std::string name = "route-" + std::to_string(route);
    RequestEnded ended;
    ended.route = name;
    fixture.observers.onEnded(ended);
  }
  const http::Response metrics = fixture.get("/metrics");
  CHECK(holds(metrics, R"(route="route-31"})"));
  CHECK_FALSE(holds(metrics, R"(route="route-32"})"));
  CHECK(holds(metrics,
              R"(crankspur_gateway_requests_total{cause="none",outcome="answered",route="other"} 168)"));
}

TEST_CASE("a gateway explains a request by its log lines, and responds 404 when it has none",
          "[gateway][admin]") {
  AdminFixture fixture;
  RequestEnded ended;
  ended.request_id = "q1";
  ended.outcome = RequestOutcome::failed;
  ended.cause = RequestCause::answer_broke_off;
  ended.backend = "b7";
  ended.status = 502;
  fixture.observers.onEnded(ended);
  CHECK(fixture.get(explainTarget("q2")).status == 404);
  CHECK(fixture.get(explainTarget("")).status == 404);
  const http::Response result = fixture.get(explainTarget("q1"));
  CHECK(result.status == 200);
  CHECK(holds(result, "event=1226 name=GatewayRequestFailed"));
  CHECK(holds(result, "cause=answer_broke_off backend=b7"));
}

TEST_CASE("a gateway's status reports its members, back ends and configuration", "[gateway][admin]") {
  AdminFixture fixture;
  CHECK(fixture.get("/healthz").status == 503);
  fixture.platform.platform_callbacks.on_configuration([] {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 12;
    return configuration;
  }());
  ListedBackend listed;
  listed.id = "b1";
  listed.pool = "lm";
  listed.address = "127.0.0.1:9";
  fixture.platform.platform_callbacks.on_backend(listed);
  fixture.platform.platform_callbacks.on_contact(SteadyClock().now());
  while (!fixture.process.ready() || fixture.control.status().backends.empty()) {
    fixture.context.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(fixture.get("/healthz").status == 200);
  const http::Response status = fixture.get("/status");
  const auto parsed = parseNodeStatus(status.body);
  REQUIRE(parsed);
  CHECK(parsed->name == "gateway-1");
  CHECK(parsed->role == "gateway");
  CHECK(parsed->bundle_version == 12);
  CHECK(parsed->members == 1U);
  CHECK(parsed->engines == 1U);
  CHECK(parsed->platform_reachable == true);
  fixture.control.leave();
  fixture.process.drain({std::chrono::seconds(2), std::chrono::seconds(7)});
  CHECK(holds(fixture.get("/healthz"), "stopping"));
}

// The age of the list was reported as that of the operator's documents, which hid that a list was 5 s old.
TEST_CASE("the age of the list of back ends is reported apart from that of the configuration",
          "[gateway][admin]") {
  AdminFixture fixture;
  const TimePoint now = SteadyClock().now();
  std::shared_ptr<const GatewaySnapshot> snapshot;
  fixture.on_publish = [&snapshot](const auto& published) { snapshot = published; };
  fixture.platform.platform_callbacks.on_contact(now + std::chrono::hours(1));
  fixture.platform.platform_callbacks.on_list_contact(now + std::chrono::minutes(1));
  fixture.platform.platform_callbacks.on_full_list({});
  crankspur::runUntil(fixture.context, [&snapshot] { return snapshot != nullptr; });
  CHECK(snapshot->listAge(now + std::chrono::minutes(3)) == std::chrono::minutes(2));
  CHECK(snapshot->platformContactAge(now + std::chrono::hours(2)) == std::chrono::hours(1));
  CHECK(holds(fixture.get("/status"), R"("list_age_ms":)"));
  RequestPlaced placed;
  placed.list_age = std::chrono::milliseconds(1'700);
  fixture.observers.onPlaced(placed);
  const http::Response metrics = fixture.get("/metrics");
  CHECK(holds(metrics, R"(crankspur_gateway_placement_list_age_seconds_bucket{le="1.5"} 0)"));
  CHECK(holds(metrics, R"(crankspur_gateway_placement_list_age_seconds_bucket{le="2"} 1)"));
  CHECK(holds(metrics, "crankspur_gateway_list_age_seconds "));
}

TEST_CASE("the control side notifies traffic of silent connections", "[gateway][silent_connections]") {
  AdminFixture fixture;
  fixture.platform.platform_callbacks.on_connections_silent();
  CHECK(fixture.silent_connection_notices == 1);
}
