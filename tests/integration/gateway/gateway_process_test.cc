#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {

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
