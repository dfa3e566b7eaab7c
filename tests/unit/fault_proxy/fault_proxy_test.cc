#include "standins/fault_proxy/fault_proxy.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "../http/http_fixture.h"
#include "standins/fault_proxy/fault_settings.h"

using namespace crankspur;
using namespace crankspur::http;
using namespace crankspur::standin;

namespace {

struct ProxyFixture : HttpFixture {
  ProxyFixture()
      : HttpFixture([this](Request request, std::shared_ptr<ResponseWriter> writer) {
          requests.push_back(request.body);
          writer->respond({200, {}, std::string(1000, 'x')});
        }) {
    REQUIRE_FALSE(proxy.addRoute({"a", "127.0.0.1:0", address()}));
    REQUIRE_FALSE(proxy.listenControl("127.0.0.1:0"));
  }

  std::string routeAddress() const { return "127.0.0.1:" + std::to_string(proxy.ports().front()); }

  Response control(const std::string& json) {
    const std::string target = "127.0.0.1:" + std::to_string(proxy.controlPort());
    return run({"POST", "/control", {}, json}, target).response;
  }

  Outcome post(const std::string& body) { return run({"POST", "/", {}, body}, routeAddress()); }

  /// Sends a POST without waiting for the response.
  void startPost(const std::string& body, std::optional<Outcome>& outcome) {
    ExchangeCallbacks callbacks;
    callbacks.on_done = [&outcome](std::error_code error, SendState state, Response response) {
      outcome = Outcome{error, state, std::move(response)};
    };
    client->start(routeAddress(), {"POST", "/", {}, body}, callbacks);
  }

  std::vector<std::string> requests;
  FaultProxy proxy{context.get_executor(), 1};
};

}  // namespace

TEST_CASE("the proxy forwards requests and counts their bytes", "[fault_proxy]") {
  ProxyFixture fixture;
  CHECK(fixture.post("one").response.body == std::string(1000, 'x'));
  const auto status = boost::json::parse(fixture.control("{}").body);
  CHECK(status.at("routes").at(0).at("bytes_to_client").as_int64() > 1000);
  CHECK(status.at("routes").at(0).at("connections").as_int64() == 1);
}

TEST_CASE("with a dropped response the server has acted and the client reports an unknown outcome",
          "[fault_proxy]") {
  ProxyFixture fixture;
  fixture.control(R"({"swallow_answers":true})");
  const Outcome outcome = fixture.post("once");
  CHECK(outcome.error);
  CHECK(outcome.state == SendState::SentOutcomeUnknown);
  CHECK(fixture.requests == std::vector<std::string>{"once"});
  fixture.control(R"({"reset":true})");
  CHECK_FALSE(fixture.post("again").error);
}

TEST_CASE("no request is sent over a refused connection, and the same port listens again", "[fault_proxy]") {
  ProxyFixture fixture;
  fixture.control(R"({"refuse":true,"cut_now":true})");
  const Outcome refused = fixture.post("never");
  CHECK(refused.state == SendState::NotSent);
  fixture.control(R"({"refuse":false})");
  CHECK_FALSE(fixture.post("now").error);
  CHECK(fixture.requests == std::vector<std::string>{"now"});
}

TEST_CASE("a frozen route forwards nothing until the freeze ends", "[fault_proxy]") {
  ProxyFixture fixture;
  CHECK_FALSE(fixture.post("warm").error);
  fixture.control(R"({"freeze":true})");
  std::optional<Outcome> outcome;
  fixture.startPost("frozen", outcome);
  for (int round = 0; round < 5; ++round) fixture.control("{}");
  CHECK_FALSE(outcome);
  fixture.control(R"({"freeze":false})");
  fixture.runUntil([&] { return outcome.has_value(); });
  CHECK_FALSE(outcome->error);
}

TEST_CASE("a connection is cut after the given number of bytes, at random, or immediately", "[fault_proxy]") {
  ProxyFixture fixture;
  SECTION("bytes") {
    fixture.control(R"({"cut_after_bytes_to_client":500})");
    const Outcome outcome = fixture.post("a");
    CHECK(outcome.error);
    CHECK(outcome.response.status == 200);
    CHECK(!outcome.response.body.empty());
    CHECK(outcome.response.body.size() < 500);
  }
  SECTION("chance") {
    fixture.control(R"({"cut_chance":1})");
    CHECK(fixture.post("a").error);
    CHECK(fixture.requests.empty());
  }
  SECTION("at once") {
    fixture.control(R"({"freeze":true})");
    std::optional<Outcome> outcome;
    fixture.startPost("a", outcome);
    fixture.control("{}");
    fixture.control(R"({"cut_now":true})");
    fixture.runUntil([&] { return outcome.has_value(); });
    CHECK(outcome->error);
  }
}

TEST_CASE("delay and bandwidth limit delay bytes by at least the configured time", "[fault_proxy]") {
  ProxyFixture fixture;
  const bool delay = GENERATE(true, false);
  fixture.control(delay ? R"({"delay_to_server_ms":20,"delay_to_client_ms":20})"
                        : R"({"bytes_per_second":20000})");
  const auto begin = std::chrono::steady_clock::now();
  CHECK_FALSE(fixture.post("a").error);
  CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::milliseconds(40));
}

TEST_CASE("control commands are validated", "[fault_proxy]") {
  ProxyFixture fixture;
  CHECK(fixture.control("[]").status == 400);
  CHECK(fixture.control(R"({"frieze":true})").status == 400);
  CHECK(fixture.control(R"({"cut_chance":2})").status == 400);
  CHECK(fixture.control(R"({"delay_to_client_ms":-1})").status == 400);
  CHECK(fixture.control(R"({"route":"b"})").status == 404);
  const RouteOptions route = parseRoute("b=12:127.0.0.1:34");
  CHECK(route.name == "b");
  CHECK(route.listen == "127.0.0.1:12");
  CHECK(route.target == "127.0.0.1:34");
}
