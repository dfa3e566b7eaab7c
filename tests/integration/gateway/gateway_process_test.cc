#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {

TEST_CASE("a gateway forwards request and response unaltered", "[gateway_process]") {
  GatewaySite site(Repeatability::AtMostOnce, false);
  const std::string text(100'000, 'x');
  site.send("one", text);
  ReceivedRequest& received = site.awaitRequest(1);
  CHECK(received.request.method == "POST");
  CHECK(received.request.target == "/r/1?q=a%20b");
  CHECK(received.request.header("Host") == "desk.example");
  CHECK(received.request.header("X-Kept") == "k");
  CHECK(received.request.header("X-Expect").starts_with("b"));
  CHECK(received.request.body == text);
  received.writer->respond({201, sealed("one"), text + "y"});
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.status == 201);
  CHECK(site.headers.at("X-Seal") == "s");
  CHECK_FALSE(site.headers.contains("X-Hop"));
  CHECK(site.body == text + "y");
  site.runUntil([&] { return site.process->inFlight() == 0; });
}

TEST_CASE("a GET that may run once is sent once when its kept connection closes without a response",
          "[gateway_process]") {
  // Guards against requests that run twice: the HTTP client sent each GET again by itself.
  const bool streaming = GENERATE(false, true);
  GatewaySite site(Repeatability::AtMostOnce, streaming);
  site.method = "GET";
  std::size_t received = 0;
  // Two rounds use a connection to each back end.
  for (const std::string id : {"one", "two", "three", "four"}) {
    site.send(id);
    site.awaitRequest(++received).writer->respond({200, sealed(id), "id: 1\ndata: a\n\n"});
    site.runUntil([&] { return site.done; });
    CHECK_FALSE(site.error);
  }
  site.send("lost");
  site.awaitRequest(++received).writer->abort();
  site.runUntil([&] { return site.done; });
  CHECK(site.status == 502);
  CHECK(site.requests.size() == received);
}

TEST_CASE("a gateway forwards each event of a stream as soon as it is received", "[gateway_process]") {
  GatewaySite site(Repeatability::AtMostOnce, true);
  site.send("one");
  ReceivedRequest& received = site.awaitRequest(1);
  received.writer->begin(200, sealed("one"));
  site.runUntil([&] { return site.status == 200; });
  for (const std::string event : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}) {
    const std::string expected = site.body + event;
    received.writer->write(event);
    site.runUntil([&] { return site.body == expected; });
  }
  CHECK_FALSE(site.done);
  SECTION("stream completed") {
    received.writer->end();
    site.runUntil([&] { return site.done; });
    CHECK_FALSE(site.error);
  }
  SECTION("stream aborted by the back end") {
    received.writer->abort();
    site.runUntil([&] { return site.done; });
    CHECK(site.error);
  }
}

TEST_CASE("a gateway resumes a resumable stream at another back end", "[gateway_process]") {
  GatewaySite site(Repeatability::ResumableStream, true);
  site.send("one");
  ReceivedRequest first = site.awaitRequest(1);
  first.writer->begin(200, sealed("one"));
  first.writer->write("id: 1\ndata: a\n\nid: 2\nda");
  site.runUntil([&] { return site.body == "id: 1\ndata: a\n\n"; });
  first.writer->abort();
  ReceivedRequest second = site.awaitRequest(2);
  CHECK(second.request.header("X-After") == "1");
  CHECK(second.request.header("X-Expect") != first.request.header("X-Expect"));
  second.writer->begin(200, sealed("one"));
  second.writer->write("id: 2\ndata: b\n\n");
  second.writer->end();
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a back end is notified when the client disconnects", "[gateway_process]") {
  GatewaySite site(Repeatability::Repeatable, false);
  site.send("one");
  site.awaitRequest(1);
  site.exchange->cancel();
  site.runUntil([&] { return site.disconnects == 1; });
  site.runUntil([&] { return site.process->inFlight() == 0; });
}

TEST_CASE("a draining gateway serves open connections and closes them after the response",
          "[gateway_process]") {
  GatewaySite site(Repeatability::AtMostOnce, false);
  site.send("one");
  ReceivedRequest first = site.awaitRequest(1);
  site.process->drain({std::chrono::seconds(30), std::chrono::seconds(60)});
  CHECK_FALSE(site.process->ready());
  first.writer->respond({200, sealed("one"), "a"});
  site.runUntil([&] { return site.done; });
  CHECK_FALSE(site.error);
  CHECK(site.headers.at("Connection") == "close");
  site.send("two");
  ReceivedRequest second = site.awaitRequest(2);
  CHECK(site.process->inFlight() == 1);
  second.writer->respond({200, sealed("two"), "b"});
  site.runUntil([&] { return site.done; });
  CHECK(site.body == "b");
}

}  // namespace crankspur::gateway
