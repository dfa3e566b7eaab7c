/// @file A gateway process between real sockets: a client on this side, back ends on the other, a dialect of
/// its own.

#include "gateway_process/gateway_process.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"

namespace crankspur::gateway {
namespace {

/// A dialect with names of its own.
class TestDialect : public Dialect {
public:
  std::optional<ClientRequest> readRequest(const http::Request& head) const override {
    ClientRequest request;
    request.request_id = head.header("X-Id");
    request.deadline = std::chrono::seconds(20);
    if (request.request_id.empty()) return std::nullopt;
    return request;
  }
  http::Headers forwardHeaders(const http::Request& head, const ForwardTerms& terms) const override {
    http::Headers headers = head.headers;
    headers["X-Expect"] = terms.expected_backend;
    if (terms.resume_after) headers["X-After"] = std::to_string(*terms.resume_after);
    return headers;
  }
  BackendAnswer readAnswer(const http::Response& head, const std::string& request_id) const override {
    BackendAnswer answer;
    const auto id = head.headers.find("X-Id");
    answer.other_request = id != head.headers.end() && id->second != request_id;
    answer.genuine = head.headers.contains("X-Seal");
    answer.not_run = head.headers.contains("X-Not-Run");
    return answer;
  }
};

/// What a back end was asked, and how to answer it.
struct Asked {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
};

http::Headers sealed(const std::string& id) {
  return {{"X-Id", id},
          {"X-Seal", "s"},
          {"Content-Type", "text/event-stream"},
          {"Connection", "X-Hop"},
          {"X-Hop", "h"}};
}

/// A gateway with two back ends and a client, all in one event loop but for the gateway's own thread.
class Site {
public:
  static constexpr std::chrono::seconds kPatience{20};

  explicit Site(Repeatability repeatability, bool streaming) {
    for (std::size_t index = 0; index < 2; ++index) startBackend();
    GatewayProcessSettings settings;
    settings.listen_address = "127.0.0.1:0";
    process = std::make_unique<GatewayProcess>(settings, std::make_shared<TestDialect>(), GatewayFacts{});
    REQUIRE_FALSE(process->start());
    client = http::makeClient(context.get_executor());
    process->publish(snapshot(repeatability, streaming));
    runUntil([&] { return process->ready(); });
  }

  void startBackend() {
    std::error_code failure;
    const auto handler = [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
      asked.push_back({std::move(request), std::move(writer)});
      asked.back().writer->onClientGone([this] { ++gone; });
    };
    backends.push_back(http::listen(context.get_executor(), "127.0.0.1:0", handler, failure));
    REQUIRE_FALSE(failure);
  }

  std::shared_ptr<const GatewaySnapshot> snapshot(Repeatability repeatability, bool streaming) const {
    auto configuration = std::make_shared<Configuration>();
    Route route;
    route.name = "r";
    route.host = "desk.example";
    route.path_prefix = "/r/";
    route.repeatability = repeatability;
    route.streaming = streaming;
    route.needs_tenant = false;
    route.timeout = std::chrono::seconds(30);
    route.maximum_attempts = 2;
    route.pools = {{"p", 1}};
    configuration->routes = {route};
    Pool pool;
    pool.name = "p";
    configuration->pools = {pool};
    auto made = std::make_shared<GatewaySnapshot>();
    made->configuration = configuration;
    for (std::size_t index = 0; index < backends.size(); ++index) {
      Backend backend;
      backend.view.slot = static_cast<EngineSlot>(index);
      backend.view.incarnation = index + 1;
      backend.view.name = "b" + std::to_string(index);
      backend.view.address = "127.0.0.1:" + std::to_string(backends[index]->port());
      backend.view.pool = "p";
      backend.slots = 8;
      made->backends.push_back(backend);
    }
    return made;
  }

  void runUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      if (context.stopped()) context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(condition());
  }

  /// Sends a request; what comes of it is in `status`, `body`, `done` and `error`.
  void send(const std::string& id, const std::string& request_body = "") {
    http::Request request;
    request.method = "POST";
    request.target = "/r/1?q=a%20b";
    request.headers = {{"Host", "desk.example"}, {"X-Id", id}, {"X-Kept", "k"}};
    request.body = request_body;
    http::ExchangeCallbacks callbacks;
    callbacks.on_headers = [this](int code, const http::Headers& fields) {
      status = code;
      headers = fields;
    };
    callbacks.on_data = [this](std::string_view bytes) { body += bytes; };
    callbacks.on_done = [this](std::error_code outcome, http::SendState, const http::Response&) {
      error = outcome;
      done = true;
    };
    done = false;
    body.clear();
    exchange = client->start("127.0.0.1:" + std::to_string(process->port()), std::move(request), callbacks);
  }

  Asked& nextAsked(std::size_t number) {
    runUntil([&] { return asked.size() >= number; });
    return asked[number - 1];
  }

  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<http::Server>> backends;
  std::vector<Asked> asked;
  int gone = 0;
  std::unique_ptr<GatewayProcess> process;
  std::unique_ptr<http::Client> client;
  std::shared_ptr<http::Exchange> exchange;
  int status = 0;
  http::Headers headers;
  std::string body;
  std::error_code error;
  bool done = false;
};

}  // namespace

TEST_CASE("a gateway passes request and answer on unaltered", "[gateway_process]") {
  Site site(Repeatability::AtMostOnce, false);
  const std::string text(100'000, 'x');
  site.send("one", text);
  Asked& asked = site.nextAsked(1);
  CHECK(asked.request.method == "POST");
  CHECK(asked.request.target == "/r/1?q=a%20b");
  CHECK(asked.request.header("Host") == "desk.example");
  CHECK(asked.request.header("X-Kept") == "k");
  CHECK(asked.request.header("X-Expect").starts_with("b"));
  CHECK(asked.request.body == text);
  asked.writer->respond({201, sealed("one"), text + "y"});
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.status == 201);
  CHECK(site.headers.at("X-Seal") == "s");
  CHECK_FALSE(site.headers.contains("X-Hop"));
  CHECK(site.body == text + "y");
  site.runUntil([&] { return site.process->inFlight() == 0; });
}

TEST_CASE("a gateway passes each event on as it comes", "[gateway_process]") {
  Site site(Repeatability::AtMostOnce, true);
  site.send("one");
  Asked& asked = site.nextAsked(1);
  asked.writer->begin(200, sealed("one"));
  site.runUntil([&] { return site.status == 200; });
  for (const std::string event : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}) {
    const std::string expected = site.body + event;
    asked.writer->write(event);
    site.runUntil([&] { return site.body == expected; });
  }
  CHECK_FALSE(site.done);
  SECTION("to its end") {
    asked.writer->end();
    site.runUntil([&] { return site.done; });
    CHECK_FALSE(site.error);
  }
  SECTION("a cut looks like one") {
    asked.writer->abort();
    site.runUntil([&] { return site.done; });
    CHECK(site.error);
  }
}

TEST_CASE("a gateway goes on with a resumable stream at another back end", "[gateway_process]") {
  Site site(Repeatability::ResumableStream, true);
  site.send("one");
  Asked first = site.nextAsked(1);
  first.writer->begin(200, sealed("one"));
  first.writer->write("id: 1\ndata: a\n\nid: 2\nda");
  site.runUntil([&] { return site.body == "id: 1\ndata: a\n\n"; });
  first.writer->abort();
  Asked second = site.nextAsked(2);
  CHECK(second.request.header("X-After") == "1");
  CHECK(second.request.header("X-Expect") != first.request.header("X-Expect"));
  second.writer->begin(200, sealed("one"));
  second.writer->write("id: 2\ndata: b\n\n");
  second.writer->end();
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a back end hears at once that the client has gone", "[gateway_process]") {
  Site site(Repeatability::Repeatable, false);
  site.send("one");
  site.nextAsked(1);
  site.exchange->cancel();
  site.runUntil([&] { return site.gone == 1; });
  site.runUntil([&] { return site.process->inFlight() == 0; });
}

TEST_CASE("a draining gateway serves open connections and closes them with the answer", "[gateway_process]") {
  Site site(Repeatability::AtMostOnce, false);
  site.send("one");
  Asked first = site.nextAsked(1);
  site.process->drain();
  CHECK_FALSE(site.process->ready());
  first.writer->respond({200, sealed("one"), "a"});
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.headers.at("Connection") == "close");
  site.send("two");
  Asked second = site.nextAsked(2);
  CHECK(site.process->inFlight() == 1);
  second.writer->respond({200, sealed("two"), "b"});
  site.runUntil([&] { return site.done; });
  CHECK(site.body == "b");
}

}  // namespace crankspur::gateway
