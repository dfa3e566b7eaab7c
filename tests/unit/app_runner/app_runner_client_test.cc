#include "app_runner/app_runner_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "base/hash.h"
#include "standins/app_runner/app_runner_server.h"
#include "unit/run_until.h"

namespace crankspur {
namespace {

using standin::AppRunnerModel;
using standin::AppRunnerOptions;
using standin::AppRunnerServer;

struct RunnerFixture {
  RunnerFixture()
      : model(options(), 3),
        server(context.get_executor(), model, clock),
        http_client(http::makeClient(context.get_executor())),
        client(makeAppRunnerClient(*http_client)) {
    REQUIRE_FALSE(server.start("127.0.0.1:0"));
  }

  static AppRunnerOptions options() {
    AppRunnerOptions options;
    options.name = "runner-1";
    options.operations = {"order"};
    options.delay = std::chrono::milliseconds(1);
    return options;
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

  std::vector<BackendEvent> execute(const std::string& operation, const std::string& target) {
    DispatchOperation dispatch;
    dispatch.address = target;
    dispatch.request.request_id = "r1";
    dispatch.request.tenant = "parts";
    dispatch.request.operation = operation;
    dispatch.request.idempotency_key = "k1";
    dispatch.request.prompt = "two keels";
    std::vector<BackendEvent> events;
    const auto call =
        client->execute(dispatch, [&events](const BackendEvent& event) { events.push_back(event); });
    runUntil([&] { return !events.empty() && !std::holds_alternative<BackendAccepted>(events.back()); });
    return events;
  }

  void runUntil(const std::function<bool()>& condition) { crankspur::runUntil(context, condition); }

  boost::asio::io_context context{1};
  SteadyClock clock;
  AppRunnerModel model;
  AppRunnerServer server;
  std::unique_ptr<http::Client> http_client;
  std::unique_ptr<AppRunnerClient> client;
};

TEST_CASE("an operation runs once and delivers its result as one piece", "[app_runner]") {
  RunnerFixture fixture;
  const std::vector<BackendEvent> events = fixture.execute("order", fixture.address());
  REQUIRE(events.size() == 3);
  const std::string expected = standin::expectedResult("parts", "order", "two keels");
  CHECK(std::get<BackendPiece>(events[1]).text == expected);
  CHECK(std::get<BackendEnd>(events[2]).checksum == hashBytes(expected));
  CHECK(std::get<BackendEnd>(events[2]).finish_reason == "done");
  CHECK(fixture.model.executions().at({"parts", "k1"}) == 1);
}

TEST_CASE("a lost response is reported as lost with bytes sent and is not retried", "[app_runner]") {
  RunnerFixture fixture;
  fixture.model.loseResponses(1);
  const std::vector<BackendEvent> events = fixture.execute("order", fixture.address());
  REQUIRE(events.size() == 1);
  CHECK(std::get<BackendLost>(events[0]).bytes_sent);
  CHECK(fixture.model.executions().at({"parts", "k1"}) == 1);
}

TEST_CASE("an operation that did not run is reported as refused or not sent", "[app_runner]") {
  RunnerFixture fixture;
  const std::vector<BackendEvent> unknown = fixture.execute("refund", fixture.address());
  CHECK(std::get<BackendRefused>(unknown.at(0)).code == ErrorCode::InvalidRequest);
  fixture.model.startLeaving();
  const std::vector<BackendEvent> leaving = fixture.execute("order", fixture.address());
  CHECK(std::get<BackendRefused>(leaving.at(0)).code == ErrorCode::Stopping);
  CHECK(std::get<BackendRefused>(leaving.at(0)).retry_after == std::chrono::seconds(1));
  const std::vector<BackendEvent> unreachable = fixture.execute("order", "127.0.0.1:1");
  CHECK_FALSE(std::get<BackendLost>(unreachable.at(0)).bytes_sent);
  CHECK(fixture.model.totalExecutions() == 0);
}

TEST_CASE("a runner's description is fetched and decoded strictly", "[app_runner]") {
  RunnerFixture fixture;
  bool received = false;
  fixture.client->fetchInfo(fixture.address(), [&](std::error_code error, const RunnerDescription& info) {
    CHECK_FALSE(error);
    CHECK(info.incarnation == fixture.model.incarnation());
    CHECK(info.operations == std::vector<std::string>{"order"});
    received = true;
  });
  fixture.runUntil([&] { return received; });
  RunnerDescription out;
  for (const char* bad : {"", "[]", "{}", R"({"name":"a","incarnation":"1","leaving":false})",
                          R"({"name":"a","incarnation":1,"leaving":0})",
                          R"({"name":"a","incarnation":1,"leaving":false,"operations":[1]})"}) {
    CHECK(decodeRunnerDescription(bad, out) == ErrorCode::Malformed);
  }
  std::string result;
  for (const char* bad : {"{", R"({"result":"x"})", R"({"result":1,"execution":1})"}) {
    CHECK(decodeExecuteResponse(bad, result) == ErrorCode::Malformed);
  }
}

}  // namespace
}  // namespace crankspur
