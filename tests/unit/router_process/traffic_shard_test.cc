#include "router_process/traffic_shard.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace crankspur;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kTimeout{20};

/// @return an address that refuses connections: `holder` keeps the port bound but never listens.
std::string unreachableAddress(asio::ip::tcp::socket& holder) {
  holder.open(asio::ip::tcp::v4());
  holder.bind({asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
}

std::shared_ptr<const RoutingSnapshot> snapshotWithEngine(const std::string& address) {
  auto bundle = std::make_shared<Bundle>();
  bundle->version = 1;
  ModelPolicy model;
  model.name = "m";
  model.weights_version = "w1";
  model.pools = {"general"};
  bundle->models.push_back(model);
  TenantPolicy tenant;
  tenant.name = "t";
  tenant.models = {"m"};
  bundle->tenants.push_back(tenant);
  EngineView engine;
  engine.name = "engine";
  engine.address = address;
  engine.pool = "general";
  engine.incarnation = 1;
  engine.state = EngineState::Live;
  engine.models = {{"m", "w1", {}}};
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->bundle = bundle;
  snapshot->engines.push_back(engine);
  return snapshot;
}

bool isLastMessage(const Message& message) {
  return std::holds_alternative<Refusal>(message) || std::holds_alternative<StreamEnd>(message);
}

}  // namespace

TEST_CASE("a request counts as in flight until its last message is delivered", "[router_process]") {
  asio::io_context context;
  asio::ip::tcp::socket holder(context);
  std::promise<std::size_t> in_flight_at_end;
  TrafficShard* shard = nullptr;
  TrafficShardCallbacks callbacks;
  // A planned shutdown closes the connections once nothing is in flight. A request that no longer counted
  // before its last message is delivered would lose that message.
  callbacks.on_messages = [&](const std::vector<SendToSidecar>& messages) {
    for (const SendToSidecar& sent : messages) {
      if (isLastMessage(sent.message)) in_flight_at_end.set_value(shard->inFlight());
    }
  };
  callbacks.on_outcome = [](const EngineOutcome&) {};
  callbacks.on_cache_gap = [](EngineSlot, std::uint64_t) {};
  NullEventLog log;
  RouterMetrics metrics;
  TrafficShard traffic_shard({}, callbacks, log, metrics);
  shard = &traffic_shard;
  traffic_shard.start();
  traffic_shard.postSnapshot(snapshotWithEngine(unreachableAddress(holder)));
  SubmitRequest request;
  request.request_id = "r";
  request.tenant = "t";
  request.model = "m";
  request.prompt = "hello";
  request.max_tokens = 1;
  request.deadline = std::chrono::seconds(1);
  traffic_shard.postSubmit(1, request);
  auto result = in_flight_at_end.get_future();
  REQUIRE(result.wait_for(kTimeout) == std::future_status::ready);
  CHECK(result.get() == 1);
  traffic_shard.stop();
  CHECK(traffic_shard.inFlight() == 0);
}
