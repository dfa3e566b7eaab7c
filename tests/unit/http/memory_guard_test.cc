/// @file Guards against processes that the platform ends for their memory: callers that send bodies slowly,
/// send bodies that will be rejected anyway, or do not read their responses made a server hold bytes without
/// a common limit.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "unit/http/http_fixture.h"
#include "unit/http/raw_client.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

constexpr std::size_t kBudgetBytes = 1'000'000;
constexpr std::size_t kBodyBytes = 100'000;

std::string postHead(std::size_t body_bytes, const std::string& fields = "") {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

/// A server with a budget that keeps all requests that it receives.
struct BudgetFixture {
  explicit BudgetFixture(std::size_t budget_bytes = kBudgetBytes)
      : budget(std::make_shared<ByteBudget>(budget_bytes)), http(handler(), limits()) {
    http.server->setBodyUseHandler([this](const Request& head) {
      if (head.headers.contains("X-Unknown")) return BodyUse::ignore;
      return head.headers.contains("X-Anonymous") ? BodyUse::read_unidentified : BodyUse::read;
    });
    http.server->setMemoryPressureHandler(
        [this](const MemoryPressure& pressure) { pressures.push_back(pressure); });
    http.server->setRejectedRequestHandler([this](const RejectedRequest& request) {
      no_memory += request.reason == RejectionReason::no_memory ? 1 : 0;
    });
  }
  RequestHandler handler() {
    return [this](Request request, std::shared_ptr<ResponseWriter> writer) {
      requests.push_back(std::move(request));
      writers.push_back(std::move(writer));
    };
  }
  ServerLimits limits() const {
    ServerLimits limits;
    limits.budget = budget;
    limits.idle_timeout = std::chrono::seconds(30);
    return limits;
  }
  RawClient& send(const std::string& text) {
    clients.push_back(std::make_unique<RawClient>(http, text));
    return *clients.back();
  }
  void runFor(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    http.runUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  std::shared_ptr<ByteBudget> budget;
  std::vector<Request> requests;
  std::vector<std::shared_ptr<ResponseWriter>> writers;
  std::vector<MemoryPressure> pressures;
  int no_memory = 0;
  HttpFixture http;
  std::vector<std::unique_ptr<RawClient>> clients;
};

}  // namespace

TEST_CASE("bodies that are never complete stay within the budget, and later ones get through",
          "[http][memory]") {
  BudgetFixture fixture;
  const std::string incomplete = postHead(kBodyBytes) + std::string(kBodyBytes - 1, 'b');
  for (int client = 0; client < 30; ++client) fixture.send(incomplete);
  fixture.runFor(std::chrono::milliseconds(300));
  CHECK(fixture.budget->used() <= kBudgetBytes);
  CHECK(fixture.requests.empty());
  fixture.runFor(std::chrono::milliseconds(1'500));
  RawClient& whole = fixture.send(postHead(kBodyBytes) + std::string(kBodyBytes, 'w'));
  fixture.http.runUntil([&] { return !fixture.requests.empty() || whole.closed; });
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.requests.front().body.size() == kBodyBytes);
  CHECK(fixture.no_memory > 0);
}

TEST_CASE("a request that finds no room is rejected as not run, with a time to return", "[http][memory]") {
  BudgetFixture fixture;
  for (int client = 0; client < 7; ++client) {
    fixture.send(postHead(kBodyBytes) + std::string(kBodyBytes, 'b'));
  }
  fixture.http.runUntil([&] { return fixture.requests.size() == 7; });
  RawClient& late = fixture.send(postHead(kBodyBytes) + std::string(kBodyBytes, 'l'));
  fixture.http.runUntil([&] { return late.closed; });
  CHECK(late.status() == "503");
  CHECK(late.received.find("Retry-After: 1") != std::string::npos);
  CHECK(late.received.find("not_run") != std::string::npos);
  CHECK(fixture.requests.size() == 7);
  CHECK(fixture.no_memory == 1);
  REQUIRE(fixture.pressures.size() == 1);
  CHECK(fixture.pressures.front().began);
  CHECK(fixture.pressures.front().limit_bytes == kBudgetBytes);
}

TEST_CASE("the bytes of a body are held until its request is destroyed", "[http][memory]") {
  BudgetFixture fixture;
  RawClient& client = fixture.send(postHead(kBodyBytes) + std::string(kBodyBytes, 'b'));
  fixture.http.runUntil([&] { return fixture.requests.size() == 1; });
  const Request copy = fixture.requests.front();
  CHECK(fixture.budget->used() >= kBodyBytes);
  fixture.writers.front()->respond({200, {}, ""});
  fixture.requests.clear();
  CHECK(fixture.budget->used() >= kBodyBytes);
  client.socket.close();
  fixture.runFor(std::chrono::milliseconds(50));
  CHECK(fixture.budget->used() >= kBodyBytes);
  CHECK(copy.body.size() == kBodyBytes);
}

TEST_CASE("the body of a request that its head rules out is not held", "[http][memory]") {
  BudgetFixture fixture;
  RawClient& client =
      fixture.send(postHead(kBodyBytes, "X-Unknown: 1\r\n") + std::string(kBodyBytes - 1, 'b'));
  fixture.http.runUntil([&] { return fixture.requests.size() == 1; });
  CHECK(fixture.requests.front().body.empty());
  fixture.writers.front()->respond({404, {}, "no"});
  fixture.http.runUntil([&] { return client.closed; });
  CHECK(client.status() == "404");
  CHECK(client.received.find("Connection: close") != std::string::npos);
  CHECK(fixture.budget->used() < kBodyBytes / 2);
  fixture.http.runUntil([&] { return fixture.budget->used() == 0; });  // What is being discarded is counted.
}

TEST_CASE("clients without a key cannot use up the budget", "[http][memory]") {
  BudgetFixture fixture;
  const std::string incomplete =
      postHead(kBodyBytes, "X-Anonymous: 1\r\n") + std::string(kBodyBytes - 1, 'b');
  for (int client = 0; client < 30; ++client) fixture.send(incomplete);
  fixture.runFor(std::chrono::milliseconds(300));
  CHECK(fixture.budget->used() <= kBudgetBytes / 2);
  RawClient& known = fixture.send(postHead(kBodyBytes) + std::string(kBodyBytes, 'k'));
  fixture.http.runUntil([&] { return !fixture.requests.empty() || known.closed; });
  CHECK(fixture.requests.size() == 1);
}

TEST_CASE("whole bodies of clients without a key use no more than their share while their requests wait",
          "[http][memory]") {
  BudgetFixture fixture;
  const std::string whole = postHead(kBodyBytes, "X-Anonymous: 1\r\n") + std::string(kBodyBytes, 'a');
  for (int client = 0; client < 10; ++client) fixture.send(whole);
  fixture.http.runUntil([&] { return fixture.no_memory == 8; });
  CHECK(fixture.requests.size() == 2);
}

TEST_CASE("a body without a declared size that finds no room is rejected", "[http][memory]") {
  BudgetFixture fixture;
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "10000\r\n" + std::string(65'536, 'c') + "\r\n";
  for (int count = 0; count < 20; ++count) text += chunk;
  RawClient& client = fixture.send(text + "0\r\n\r\n");
  fixture.http.runUntil([&] { return client.closed; });
  CHECK(client.status() == "503");
  CHECK(fixture.requests.empty());
  CHECK(fixture.budget->used() == 0);
}

// Without a pending read a server does not see that a client has left, and runs its request for nobody.
TEST_CASE("a client that leaves is noticed although the budget is used up", "[http][memory]") {
  BudgetFixture fixture;
  ByteReservation others(fixture.budget);
  others.resize(kBudgetBytes * 9 / 10);
  RawClient& client = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.http.runUntil([&] { return fixture.writers.size() == 1; });
  bool disconnected = false;
  fixture.writers.front()->onClientDisconnected([&] { disconnected = true; });
  client.socket.close();
  fixture.http.runUntil([&] { return disconnected; });
}

TEST_CASE("a head is held until its request is destroyed, with the copies that are made of it",
          "[http][memory]") {
  BudgetFixture fixture;
  const std::string filler(10'000, 'f');
  fixture.send("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + filler + "\r\n\r\n");
  fixture.http.runUntil([&] { return fixture.requests.size() == 1; });
  CHECK(fixture.budget->used() >= 3 * filler.size());
  fixture.requests.clear();
  CHECK(fixture.budget->used() < filler.size());
}

TEST_CASE("the buffer of a connection that read far ahead is counted, and freed for the next request",
          "[http][memory]") {
  BudgetFixture fixture;
  std::string text;
  for (int request = 0; request < 2'000; ++request) text += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  fixture.send(text);
  fixture.http.runUntil([&] { return fixture.writers.size() == 1; });
  fixture.runFor(std::chrono::milliseconds(50));
  CHECK(fixture.budget->used() >= text.size() / 2);
  for (std::size_t answered = 0; answered < 2'000; ++answered) {
    fixture.http.runUntil([&] { return fixture.writers.size() > answered; });
    fixture.writers[answered]->respond({200, {}, ""});
    fixture.requests.clear();
  }
  fixture.runFor(std::chrono::milliseconds(50));
  CHECK(fixture.budget->used() == 0);
}

TEST_CASE("a client that reads slowly is not disconnected when the budget is exceeded", "[http][memory]") {
  BudgetFixture fixture;
  RawClient& slow = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.http.runUntil([&] { return fixture.writers.size() == 1; });
  slow.socket.cancel();
  bool disconnected = false;
  fixture.writers.front()->onClientDisconnected([&] { disconnected = true; });
  fixture.writers.front()->begin(200, {});
  fixture.writers.front()->write(std::string(20 * kBudgetBytes, 'r'));
  std::vector<char> part(20'000);
  for (int tick = 0; tick < 60; ++tick) {
    slow.socket.read_some(boost::asio::buffer(part));
    fixture.runFor(std::chrono::milliseconds(50));
  }
  CHECK_FALSE(disconnected);
}

TEST_CASE("a client that does not read is disconnected when the budget is exceeded", "[http][memory]") {
  BudgetFixture fixture;
  RawClient& idle = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.http.runUntil([&] { return fixture.writers.size() == 1; });
  idle.socket.cancel();  // Reads no further.
  bool disconnected = false;
  fixture.writers.front()->onClientDisconnected([&] { disconnected = true; });
  fixture.writers.front()->begin(200, {});
  fixture.writers.front()->write(std::string(20 * kBudgetBytes, 'r'));
  fixture.http.runUntil([&] { return disconnected; });
  CHECK(fixture.budget->used() < kBudgetBytes);
}

// A driver that paused its source at a full queue would otherwise never continue.
TEST_CASE("a writer tells when its queue was written", "[http][memory]") {
  BudgetFixture fixture;
  RawClient& client = fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.http.runUntil([&] { return fixture.writers.size() == 1; });
  int written = 0;
  fixture.writers.front()->onQueueWritten([&] { ++written; });
  fixture.writers.front()->begin(200, {});
  fixture.writers.front()->write(std::string(kBodyBytes, 'r'));
  fixture.http.runUntil([&] { return written > 0; });
  CHECK(fixture.writers.front()->queuedBytes() == 0);
  fixture.http.runUntil([&] { return client.received.size() > kBodyBytes; });
  fixture.requests.clear();
  CHECK(fixture.budget->used() == 0);
}
