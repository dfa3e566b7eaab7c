/// @file Guards against a gateway that refuses its clients because it reaches no back end itself, although
/// other gateways do. It comes about when the network between one gateway and the back ends fails, while
/// clients, the platform and the other gateways still reach it.

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

/// The site's gateway reaches the back ends; a second one, which the client calls, does not.
struct PartitionedSite {
  explicit PartitionedSite(Repeatability repeatability, bool streaming = false)
      : site(repeatability, streaming) {
    GatewayProcessSettings settings;
    settings.listen_address = "127.0.0.1:0";
    settings.node_name = "cut";
    reaching = std::move(site.process);
    site.process =
        std::make_unique<GatewayProcess>(settings, std::make_shared<TestDialect>(), TrafficCallbacks{});
    REQUIRE_FALSE(site.process->start());
    auto snapshot = std::make_shared<GatewaySnapshot>(*site.snapshot(repeatability, streaming));
    for (Backend& backend : snapshot->backends) backend.view.address = unusedAddress();
    snapshot->peers = {{"gone", unusedAddress(), ""}, {"reaching", address(*reaching), ""}};
    site.process->publish(snapshot);
    site.runUntil([&] { return site.process->ready(); });
  }

  static std::string address(const GatewayProcess& process) {
    return "127.0.0.1:" + std::to_string(process.port());
  }
  /// @return an address that refuses connections.
  std::string unusedAddress() {
    boost::asio::ip::tcp::acceptor acceptor(site.context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  GatewaySite site;
  std::unique_ptr<GatewayProcess> reaching;
};

}  // namespace

TEST_CASE("requests are served through another gateway while no back end is in reach", "[gateway_process]") {
  PartitionedSite partitioned(Repeatability::AtMostOnce);
  GatewaySite& site = partitioned.site;
  site.send("one", "text");
  ReceivedRequest& received = site.awaitRequest(1);
  CHECK(received.request.target == "/r/1?q=a%20b");
  CHECK(received.request.header("X-Id") == "one");
  CHECK(received.request.header("X-Kept") == "k");
  CHECK(received.request.body == "text");
  received.writer->respond({201, sealed("one"), "answer"});
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.status == 201);
  CHECK(site.headers.at("X-Seal") == "s");
  CHECK(site.body == "answer");
  CHECK(site.requests.size() == 1);
}

TEST_CASE("events of a stream pass through another gateway as they are received", "[gateway_process]") {
  PartitionedSite partitioned(Repeatability::AtMostOnce, true);
  GatewaySite& site = partitioned.site;
  site.send("one");
  ReceivedRequest& received = site.awaitRequest(1);
  received.writer->begin(200, sealed("one"));
  received.writer->write("id: 1\ndata: a\n\n");
  site.runUntil([&] { return site.body == "id: 1\ndata: a\n\n"; });
  SECTION("the stream is completed") {
    received.writer->end();
    site.runUntil([&] { return site.done; });
    CHECK_FALSE(site.error);
  }
  SECTION("the back end aborts the stream") {
    received.writer->abort();
    site.runUntil([&] { return site.done; });
    CHECK(site.error);
  }
  SECTION("the client disconnects") {
    site.exchange->cancel();
    site.runUntil([&] { return site.disconnects == 1; });
  }
}

}  // namespace crankspur::gateway
