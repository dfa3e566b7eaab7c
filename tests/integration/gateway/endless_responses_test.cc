/// @file Guards against back ends whose responses do not end: a gateway read rejections, errors and an event
/// without end for as long as they were sent, also after it had answered the client.

#include <boost/asio/steady_timer.hpp>

#include "integration/gateway/gateway_site.h"

namespace crankspur::gateway {
namespace {

/// Time after which the gateway has stopped to read, with some for the machine.
constexpr std::chrono::seconds kMaxUselessTime{4};
constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// Gateway before back ends that write to a response again and again.
struct EndlessSite : GatewaySite {
  using GatewaySite::GatewaySite;

  /// Continues the body of a response until the gateway closes the connection.
  void writeWithoutEnd(const std::shared_ptr<http::ResponseWriter>& writer, std::size_t bytes) {
    writer->write(std::string(bytes, 'x'));
    auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(5));
    timer->async_wait([this, writer, bytes, timer](boost::system::error_code failure) {
      if (!failure && disconnects == 0) writeWithoutEnd(writer, bytes);
    });
  }

  /// @return whether the gateway closes the connection of an endless response within the limit.
  bool closesConnection() {
    const auto start = std::chrono::steady_clock::now();
    runUntil([&] { return disconnects > 0 || std::chrono::steady_clock::now() - start > kMaxUselessTime; });
    return disconnects > 0;
  }

  void respond(const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->respond({kOk, sealed("one"), ""});
  }
};

http::Headers rejected(const std::string& id) {
  return {{"X-Id", id}, {"X-Not-Run", "1"}};
}

}  // namespace

TEST_CASE("a rejection whose body does not end is not read for long", "[integration][endless]") {
  std::size_t bytes = 0;
  SECTION("much at a time") {
    bytes = 8'000;
  }
  SECTION("little at a time") {
    bytes = 1;
  }
  EndlessSite site(Repeatability::Repeatable, false);
  site.send("one");
  const auto endless = site.awaitRequest(1).writer;
  endless->begin(kUnavailable, rejected("one"));
  site.writeWithoutEnd(endless, bytes);
  site.respond(site.awaitRequest(2).writer);
  site.runUntil([&] { return site.done; });
  CHECK(site.status == kOk);
  CHECK(site.closesConnection());
}

TEST_CASE("an error whose body does not end is not read for long", "[integration][endless]") {
  std::size_t bytes = 0;
  SECTION("much at a time") {
    bytes = 8'000;
  }
  SECTION("little at a time") {
    bytes = 1;
  }
  SECTION("the request may be repeated") {
    EndlessSite site(Repeatability::Repeatable, false);
    site.send("one");
    const auto endless = site.awaitRequest(1).writer;
    endless->begin(kServerError, sealed("one"));
    site.writeWithoutEnd(endless, 8'000);
    site.respond(site.awaitRequest(2).writer);
    site.runUntil([&] { return site.done; });
    CHECK(site.status == kOk);
    CHECK(site.closesConnection());
    return;
  }
  EndlessSite site(Repeatability::AtMostOnce, false);
  site.send("one");
  const auto endless = site.awaitRequest(1).writer;
  endless->begin(kServerError, sealed("one"));
  site.writeWithoutEnd(endless, bytes);
  CHECK(site.closesConnection());
  site.runUntil([&] { return site.done; });
  CHECK(site.status == 502);
}

TEST_CASE("an event that does not end moves its stream to another back end", "[integration][endless]") {
  EndlessSite site(Repeatability::ResumableStream, true);
  site.send("one");
  const auto endless = site.awaitRequest(1).writer;
  endless->begin(kOk, sealed("one"));
  endless->write("id: 1\ndata: a\n\nid: 2\ndata: ");
  site.writeWithoutEnd(endless, 8'000);
  const auto other = site.awaitRequest(2).writer;
  other->begin(kOk, sealed("one"));
  other->write("id: 2\ndata: b\n\n");
  other->end();
  site.runUntil([&] { return site.done; });
  CHECK(site.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(site.closesConnection());
}

TEST_CASE("an event that does not end breaks off a stream that cannot be resumed", "[integration][endless]") {
  EndlessSite site(Repeatability::AtMostOnce, true);
  site.send("one");
  const auto endless = site.awaitRequest(1).writer;
  endless->begin(kOk, sealed("one"));
  site.writeWithoutEnd(endless, 8'000);
  CHECK(site.closesConnection());
  site.runUntil([&] { return site.done; });
  CHECK(site.error);
}

}  // namespace crankspur::gateway
