#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "http_fixture.h"

using namespace crankspur;
using namespace crankspur::http;

TEST_CASE("a request with a body gets a response and its connection is reused", "[http]") {
  HttpFixture fixture([](Request request, std::shared_ptr<ResponseWriter> writer) {
    const std::string echo =
        request.method + " " + request.path() + " " + request.query("a") + request.body.text();
    writer->respond({201, {{"X-Seen", request.header("x-sent")}}, echo});
  });
  for (int round = 0; round < 3; ++round) {
    Outcome outcome = fixture.run({"POST", "/path?a=1%20b", {{"X-Sent", "yes"}}, "body"});
    CHECK_FALSE(outcome.error);
    CHECK(outcome.response.status == 201);
    CHECK(outcome.response.headers["x-seen"] == "yes");
    CHECK(outcome.response.body == "POST /path 1 bbody");
  }
}

TEST_CASE("the client receives each chunk as soon as it is written", "[http]") {
  std::shared_ptr<ResponseWriter> stream;
  HttpFixture fixture([&](Request, std::shared_ptr<ResponseWriter> writer) {
    stream = writer;
    writer->begin(200, {{"Content-Type", "text/event-stream"}});
    writer->write("first");
  });
  std::vector<std::string> chunks;
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_data = [&](std::string_view chunk) {
    chunks.emplace_back(chunk);
    if (chunks.size() == 1) stream->write("second");
    if (chunks.size() == 2) stream->end();
  };
  callbacks.on_done = [&](std::error_code error, SendState, Response) { ended = error; };
  fixture.client->start(fixture.address(), {"GET", "/", {}, {}}, callbacks);
  fixture.runUntil([&] { return ended.has_value(); });
  CHECK_FALSE(*ended);
  CHECK(chunks == std::vector<std::string>{"first", "second"});
  CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("a handler is notified that its client disconnected, and later writes are ignored", "[http]") {
  std::shared_ptr<ResponseWriter> stream;
  bool disconnected = false;
  HttpFixture fixture([&](Request, std::shared_ptr<ResponseWriter> writer) {
    stream = writer;
    writer->onClientDisconnected([&] { disconnected = true; });
    writer->begin(200, {});
    writer->write("piece");
  });
  std::shared_ptr<Exchange> exchange;
  ExchangeCallbacks callbacks;
  bool done = false;
  callbacks.on_data = [&](std::string_view) { exchange->cancel(); };
  callbacks.on_done = [&](std::error_code, SendState, Response) { done = true; };
  exchange = fixture.client->start(fixture.address(), {"GET", "/", {}, {}}, callbacks);
  fixture.runUntil([&] { return disconnected; });
  CHECK_FALSE(done);
  stream->write("more");
  stream->end();
  CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("a stream that the server aborts ends with an error and an unknown outcome", "[http]") {
  HttpFixture fixture([](Request, std::shared_ptr<ResponseWriter> writer) {
    writer->begin(200, {});
    writer->write("piece");
    writer->abort();
  });
  const Outcome outcome = fixture.run({"POST", "/", {}, "body"});
  CHECK(outcome.error);
  CHECK(outcome.state == SendState::SentOutcomeUnknown);
}

TEST_CASE("a refused connection reports that nothing was sent", "[http]") {
  HttpFixture fixture([](Request, std::shared_ptr<ResponseWriter>) {});
  const std::string address = fixture.address();
  fixture.server.reset();
  const Outcome outcome = fixture.run({"POST", "/", {}, "body"}, address);
  CHECK(outcome.error);
  CHECK(outcome.state == SendState::NotSent);
}

TEST_CASE("an exchange is cancelled as not sent only until its request is written", "[http][departures]") {
  std::shared_ptr<ResponseWriter> response;
  HttpFixture fixture([&](Request, std::shared_ptr<ResponseWriter> writer) { response = std::move(writer); });
  bool done = false;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code, SendState, Response) { done = true; };
  const auto connecting = fixture.client->start(fixture.address(), {"GET", "/", {}, {}}, callbacks);
  CHECK(connecting->cancelIfNotSent());
  CHECK_FALSE(connecting->cancelIfNotSent());
  const auto sent = fixture.client->start(fixture.address(), {"GET", "/", {}, {}}, callbacks);
  fixture.runUntil([&] { return response != nullptr; });
  CHECK_FALSE(sent->cancelIfNotSent());
  CHECK_FALSE(done);
  response->respond({200, {}, ""});
  fixture.runUntil([&] { return done; });
}

TEST_CASE("an unframed response that is ended after its bytes were written closes the connection", "[http]") {
  // Guards against responses that never end for the client: the connection was closed only when a write
  // completed, and nothing was left to write.
  const std::string method = GENERATE("GET", "HEAD");
  std::shared_ptr<ResponseWriter> stream;
  HttpFixture fixture([&](const Request&, std::shared_ptr<ResponseWriter> writer) {
    stream = std::move(writer);
    stream->beginUnframed(200, {});
    stream->write("whole");
  });
  std::optional<std::error_code> ended;
  ExchangeCallbacks callbacks;
  callbacks.on_done = [&](std::error_code error, SendState, const Response&) { ended = error; };
  ExchangeOptions options;
  options.idle_timeout = std::chrono::seconds(2);
  fixture.client->start(fixture.address(), {method, "/", {}, {}}, callbacks, options);
  fixture.runUntil([&] { return stream && stream->queuedBytes() == 0; });
  stream->end();
  fixture.runUntil([&] { return ended.has_value(); });
  CHECK_FALSE(*ended);
}
