/// @file Oversize and malformed input to a real sidecar and router: the one connection or request ends, and
/// the requests of a neighbour go on unharmed.

#include <fmt/format.h>

#include <atomic>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "base/hash.h"
#include "integration/bad_input/raw_call.h"
#include "integration/http_call.h"
#include "integration/router/router_site.h"
#include "internal_protocol/codec.h"

using namespace crankspur;
using namespace crankspur::testing;

namespace {

constexpr char kKey[] = "demo-key-harbour-fittings";
constexpr char kChatBody[] =
    R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":"which cleat?"}]})";

http::Request chat(const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers["Authorization"] = std::string("Bearer ") + kKey;
  request.body = body;
  return request;
}

/// A router and a sidecar that serve.
struct Site {
  Site() : site(1) {
    site.roll(site.signBundle(1));
    site.startRouter(0);
    sidecar = &site.startSidecar();
    callers = fmt::format("127.0.0.1:{}", sidecar->port("listening"));
    admin = fmt::format("127.0.0.1:{}", sidecar->port("admin"));
    REQUIRE(eventually([&] { return call(callers, chat(kChatBody)).status == 200; }));
  }

  std::string routerMetrics() const { return get(site.adminAddress(0), "/metrics").body; }

  RouterSite site;
  Process* sidecar = nullptr;
  std::string callers;
  std::string admin;
};

/// Sends one good request after the other until it is stopped.
class Neighbour {
public:
  explicit Neighbour(const std::string& address) : thread_([this, address] { run(address); }) {}
  ~Neighbour() { stop(); }

  /// @return answers so far.
  int answers() const { return answers_; }
  /// Lets the neighbour end its last request. @return requests that were not answered whole.
  int stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
    return failures_;
  }

private:
  void run(const std::string& address) {
    std::string first;
    while (!stopping_) {
      const CallResult result = call(address, chat(kChatBody));
      if (result.status != 200 || !result.complete) {
        ++failures_;
        continue;
      }
      const auto answer = boost::json::parse(result.body);
      const std::string text(answer.at("choices").at(0).at("message").at("content").as_string());
      if (first.empty()) first = text;
      if (text != first) ++failures_;
      ++answers_;
    }
  }

  std::atomic<bool> stopping_ = false;
  std::atomic<int> answers_ = 0;
  std::atomic<int> failures_ = 0;
  std::thread thread_;
};

/// Runs `bad` while a neighbour sends good requests, at least one of them after the bad input.
template <typename BadInput>
void besideNeighbour(const std::string& address, BadInput bad) {
  Neighbour neighbour(address);
  bad();
  const int before = neighbour.answers();
  CHECK(eventually([&] { return neighbour.answers() > before; }));
  CHECK(neighbour.stop() == 0);
}

int statusOf(const RawAnswer& answer) {
  const bool is_http = answer.bytes.rfind("HTTP/1.1 ", 0) == 0 && answer.bytes.size() > 12;
  return is_http ? std::stoi(answer.bytes.substr(9, 3)) : 0;
}

Hello helloOf(const std::string& name) {
  Hello hello;
  hello.node_name = name;
  hello.incarnation = 1;
  hello.role = NodeRole::Sidecar;
  return hello;
}

std::string bigEndian(std::uint32_t number) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>((number >> shift) & 0xffU);
  return bytes;
}

}  // namespace

TEST_CASE("malformed HTTP gets a 4xx that says not run and ends its connection only", "[bad_input]") {
  Site site;
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::string> malformed = {
      std::string("\x00\x01\xff\xfe not http\r\n\r\n", 18),
      "GET\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      head + "Content-Length: -1\r\n\r\n",
      head + "Content-Length: 99999999999999999999999\r\n\r\n",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
      head + "No-Colon\r\n\r\n",
      head + "X-Long: " + std::string(100'000, 'x') + "\r\n\r\n",
      head + fmt::format("Content-Length: {}\r\n\r\n", 1U << 30U),
      "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n",
  };
  besideNeighbour(site.callers, [&] {
    for (const std::string& address : {site.callers, site.admin, site.site.adminAddress(0)}) {
      for (const std::string& bytes : malformed) {
        const RawAnswer answer = sendRaw(address, bytes);
        INFO(address << " got " << bytes.substr(0, 90) << " and said " << answer.bytes.substr(0, 300));
        CHECK(answer.ended);
        CHECK(statusOf(answer) >= 400);
        CHECK(statusOf(answer) < 500);
        CHECK(answer.bytes.find("\"ran\":\"not_run\"") != std::string::npos);
      }
    }
  });
}

TEST_CASE("a caller that breaks off in the middle of a request leaves nothing behind", "[bad_input]") {
  Site site;
  besideNeighbour(site.callers, [&] {
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n";
    for (const std::string& bytes : {std::string("PO"), head.substr(0, 40), head, head + "{\"model\""}) {
      CHECK(sendRaw(site.callers, bytes, true).ended);
    }
  });
  const auto idle = [&] {
    return boost::json::parse(get(site.admin, "/status").body).at("requests_in_flight").as_int64() == 0;
  };
  CHECK(eventually(idle));
}

TEST_CASE("hostile JSON gets a clear error that says not run", "[bad_input]") {
  Site site;
  const std::string message = R"("messages":[{"role":"user","content":"x"}])";
  const std::vector<std::string> bodies = {
      "",
      "null",
      "[]",
      std::string(200'000, '['),
      R"({"model":"m","messages":[]})",
      R"({"model":"m","messages":"x"})",
      R"({"model":"m","messages":[{"role":"user","content":)" + std::string(1000, '{') + "}]}",
      R"({"model":7,)" + message + "}",
      R"({"model":"m","max_tokens":-1,)" + message + "}",
      R"({"model":"m","max_tokens":1e300,)" + message + "}",
      R"({"model":"m","stream":"yes",)" + message + "}",
      std::string("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xc0\"}]}"),
      R"({"model":"m","model":"m")",
  };
  besideNeighbour(site.callers, [&] {
    for (const std::string& body : bodies) {
      const CallResult result = call(site.callers, chat(body));
      INFO(body.substr(0, 90) << " got " << result.body);
      CHECK(result.status == 400);
      CHECK(result.body.find("\"ran\":\"not_run\"") != std::string::npos);
    }
  });
}

TEST_CASE("hostile frames end their own connection to a router only", "[bad_input]") {
  Site site;
  const std::string hello = encodeFrame(helloOf("broken"));
  Hello future = helloOf("future");
  future.lowest_version = 900;
  future.highest_version = 901;
  std::string cut_submit = encodeFrame(completion("cut", "hello"));
  cut_submit[cut_submit.size() - 1] = '\xff';
  const std::vector<std::string> malformed = {
      "GET / HTTP/1.1\r\n\r\n",
      bigEndian(0xffffffffU) + "\x01",
      bigEndian(kMaxFrameBytes + 1) + "\x01",
      bigEndian(4) + std::string("\x00", 1) + "abcd",
      bigEndian(4) + "\xee" + "abcd",
      bigEndian(8) + "\x01" + std::string(8, '\xff'),
      encodeFrame(completion("early", "hello")),
      encodeFrame(future),
      hello + hello,
      hello + bigEndian(0xffffffffU) + "\x02",
      hello + cut_submit,
  };
  besideNeighbour(site.callers, [&] {
    for (const std::string& bytes : malformed) {
      INFO(toHex(hashBytes(bytes)) << " " << bytes.size() << " bytes");
      CHECK(sendRaw(site.site.routerAddress(0), bytes).ended);
    }
    // Broken off within a frame, before and after the greeting.
    CHECK(sendRaw(site.site.routerAddress(0), hello.substr(0, 3), true).ended);
    CHECK(sendRaw(site.site.routerAddress(0), hello + bigEndian(100) + "\x02", true).ended);
  });
  const auto forgotten = [&] {
    return site.routerMetrics().find("crankspur_router_sidecars 1") != std::string::npos;
  };
  CHECK(eventually(forgotten));
}

TEST_CASE("bundles that are no bundles are refused, whoever offers them", "[bad_input]") {
  Site site;
  const BundleBody good = site.site.signBundle(9);
  const auto spoilt = [&good](auto change) {
    BundleBody body = good;
    change(body);
    return body;
  };
  std::vector<BundleBody> bad = {
      spoilt([](BundleBody& body) { body.document = ""; }),
      spoilt([](BundleBody& body) { body.document += std::string(1U << 20U, '#'); }),
      spoilt([](BundleBody& body) { body.version = 10; }),
      spoilt([](BundleBody& body) { body.author_signature = ""; }),
      spoilt([](BundleBody& body) { body.author_signature = "not base64!"; }),
      spoilt([](BundleBody& body) { body.approver_signature = std::string(100'000, 'A'); }),
      spoilt([](BundleBody& body) { std::swap(body.author_signature, body.approver_signature); }),
  };
  besideNeighbour(site.callers, [&] {
    std::uint64_t version = 20;
    for (BundleBody& body : bad) {
      // Each under a version of its own, as a refused version is not asked for again for a while.
      if (body.version == good.version) body.version = version++;
      TestSidecar offering(site.site.routerAddress(0), body);
      const std::string refused = fmt::format("bundles_refused_total {}", &body - bad.data() + 1);
      INFO(refused);
      CHECK(eventually([&] { return site.routerMetrics().find(refused) != std::string::npos; }));
    }
  });
  CHECK(site.site.status(0).find("\"bundle_version\":1,") != std::string::npos);
}

TEST_CASE("a spoilt row of the accepted bundle changes nothing", "[bad_input]") {
  Site site;
  const std::string platform = site.site.platformAddress();
  besideNeighbour(site.callers, [&] {
    for (const std::string& row : {std::string("{"), std::string("[]"), std::string(R"({"version":99})"),
                                   std::string(1U << 16U, 'x')}) {
      const auto held = boost::json::parse(get(platform, "/v1/rows?key=crankspur%2Fbundle").body);
      const boost::json::object transaction{
          {"conditions", boost::json::array{boost::json::object{{"key", "crankspur/bundle"},
                                                                {"version", held.at("version")}}}},
          {"writes", boost::json::array{boost::json::object{{"key", "crankspur/bundle"}, {"value", row}}}}};
      REQUIRE(post(platform, "/v1/transactions", boost::json::serialize(transaction)).status == 200);
      // A router that starts meanwhile looks at the row at once.
      site.site.startRouter(1, {"--peers=" + site.site.routerAddress(0), "--bundle_row_interval_ms=50"});
      CHECK(
          eventually([&] { return site.site.status(1).find("\"bundle_version\":1,") != std::string::npos; }));
      CHECK(site.site.status(0).find("\"bundle_version\":1,") != std::string::npos);
    }
  });
}
