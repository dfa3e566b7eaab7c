/// @file Oversized and malformed input to a real sidecar and router. Only the affected connection or request
/// may fail; concurrent valid requests must not be disturbed.

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

/// A router and a sidecar that are ready to serve requests.
struct BadInputSite {
  BadInputSite() : processes(1) {
    processes.roll(processes.signBundle(1));
    processes.startRouter(0);
    sidecar = &processes.startSidecar();
    caller_address = fmt::format("127.0.0.1:{}", sidecar->port("listening"));
    admin_address = fmt::format("127.0.0.1:{}", sidecar->port("admin"));
    REQUIRE(eventually([&] { return call(caller_address, chat(kChatBody)).status == 200; }));
  }

  std::string routerMetrics() const { return get(processes.adminAddress(0), "/metrics").body; }

  RouterSite processes;
  Process* sidecar = nullptr;
  std::string caller_address;
  std::string admin_address;
};

/// Sends valid requests one after the other until it is stopped.
class BackgroundTraffic {
public:
  explicit BackgroundTraffic(const std::string& address) : thread_([this, address] { run(address); }) {}
  ~BackgroundTraffic() { stop(); }

  /// @return number of complete responses so far.
  int completed() const { return completed_; }
  /// Stops after the current request.
  /// @return number of requests without the expected complete response.
  int stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
    return failures_;
  }

private:
  void run(const std::string& address) {
    std::string expected_text;
    while (!stopping_) {
      const CallResult result = call(address, chat(kChatBody));
      if (result.status != 200 || !result.complete) {
        ++failures_;
        continue;
      }
      const auto response = boost::json::parse(result.body);
      const std::string text(response.at("choices").at(0).at("message").at("content").as_string());
      if (expected_text.empty()) expected_text = text;
      if (text != expected_text) ++failures_;
      ++completed_;
    }
  }

  std::atomic<bool> stopping_ = false;
  std::atomic<int> completed_ = 0;
  std::atomic<int> failures_ = 0;
  std::thread thread_;
};

/// Sends bad input while valid requests run, and checks that all of them succeed. At least one completes
/// after the bad input.
template <typename SendBadInput>
void checkDuringTraffic(const std::string& address, SendBadInput send_bad_input) {
  BackgroundTraffic traffic(address);
  send_bad_input();
  const int completed_before = traffic.completed();
  CHECK(eventually([&] { return traffic.completed() > completed_before; }));
  CHECK(traffic.stop() == 0);
}

int statusOf(const RawResponse& response) {
  const bool is_http = response.bytes.rfind("HTTP/1.1 ", 0) == 0 && response.bytes.size() > 12;
  return is_http ? std::stoi(response.bytes.substr(9, 3)) : 0;
}

Hello helloOf(const std::string& name) {
  Hello hello;
  hello.node_name = name;
  hello.incarnation = 1;
  hello.role = NodeRole::Sidecar;
  return hello;
}

std::string bigEndianBytes(std::uint32_t number) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>((number >> shift) & 0xffU);
  return bytes;
}

}  // namespace

TEST_CASE("malformed HTTP receives a 4xx marked not run and closes only its own connection", "[bad_input]") {
  BadInputSite site;
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
  checkDuringTraffic(site.caller_address, [&] {
    for (const std::string& address :
         {site.caller_address, site.admin_address, site.processes.adminAddress(0)}) {
      for (const std::string& bytes : malformed) {
        const RawResponse response = sendRaw(address, bytes);
        INFO(address << " received " << bytes.substr(0, 90) << " and responded "
                     << response.bytes.substr(0, 300));
        CHECK(response.closed_by_server);
        CHECK(statusOf(response) >= 400);
        CHECK(statusOf(response) < 500);
        CHECK(response.bytes.find("\"ran\":\"not_run\"") != std::string::npos);
      }
    }
  });
}

TEST_CASE("no request remains in flight after a caller stops sending in the middle of one", "[bad_input]") {
  BadInputSite site;
  checkDuringTraffic(site.caller_address, [&] {
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n";
    for (const std::string& bytes : {std::string("PO"), head.substr(0, 40), head, head + "{\"model\""}) {
      CHECK(sendRaw(site.caller_address, bytes, true).closed_by_server);
    }
  });
  const auto idle = [&] {
    return boost::json::parse(get(site.admin_address, "/status").body).at("requests_in_flight").as_int64() ==
           0;
  };
  CHECK(eventually(idle));
}

TEST_CASE("an invalid JSON body receives status 400 marked not run", "[bad_input]") {
  BadInputSite site;
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
  checkDuringTraffic(site.caller_address, [&] {
    for (const std::string& body : bodies) {
      const CallResult result = call(site.caller_address, chat(body));
      INFO(body.substr(0, 90) << " received " << result.body);
      CHECK(result.status == 400);
      CHECK(result.body.find("\"ran\":\"not_run\"") != std::string::npos);
    }
  });
}

TEST_CASE("a malformed frame closes only its own connection to a router", "[bad_input]") {
  BadInputSite site;
  const std::string hello = encodeFrame(helloOf("broken"));
  Hello unsupported_hello = helloOf("future");
  unsupported_hello.lowest_version = 900;
  unsupported_hello.highest_version = 901;
  std::string corrupt_submit = encodeFrame(completion("cut", "hello"));
  corrupt_submit[corrupt_submit.size() - 1] = '\xff';
  const std::vector<std::string> malformed = {
      "GET / HTTP/1.1\r\n\r\n",
      bigEndianBytes(0xffffffffU) + "\x01",
      bigEndianBytes(kMaxFrameBytes + 1) + "\x01",
      bigEndianBytes(4) + std::string("\x00", 1) + "abcd",
      bigEndianBytes(4) + "\xee" + "abcd",
      bigEndianBytes(8) + "\x01" + std::string(8, '\xff'),
      encodeFrame(completion("early", "hello")),
      encodeFrame(unsupported_hello),
      hello + hello,
      hello + bigEndianBytes(0xffffffffU) + "\x02",
      hello + corrupt_submit,
  };
  checkDuringTraffic(site.caller_address, [&] {
    for (const std::string& bytes : malformed) {
      INFO(toHex(hashBytes(bytes)) << " " << bytes.size() << " bytes");
      CHECK(sendRaw(site.processes.routerAddress(0), bytes).closed_by_server);
    }
    // Truncated frames: before and after the Hello message.
    CHECK(sendRaw(site.processes.routerAddress(0), hello.substr(0, 3), true).closed_by_server);
    CHECK(sendRaw(site.processes.routerAddress(0), hello + bigEndianBytes(100) + "\x02", true)
              .closed_by_server);
  });
  const auto one_sidecar_left = [&] {
    return site.routerMetrics().find("crankspur_router_sidecars 1") != std::string::npos;
  };
  CHECK(eventually(one_sidecar_left));
}

TEST_CASE("a router rejects invalid bundles that a sidecar offers and keeps the bundle in effect",
          "[bad_input]") {
  BadInputSite site;
  const BundleBody valid = site.processes.signBundle(9);
  const auto corrupted = [&valid](auto change) {
    BundleBody body = valid;
    change(body);
    return body;
  };
  std::vector<BundleBody> invalid = {
      corrupted([](BundleBody& body) { body.document = ""; }),
      corrupted([](BundleBody& body) { body.document += std::string(1U << 20U, '#'); }),
      corrupted([](BundleBody& body) { body.version = 10; }),
      corrupted([](BundleBody& body) { body.author_signature = ""; }),
      corrupted([](BundleBody& body) { body.author_signature = "not base64!"; }),
      corrupted([](BundleBody& body) { body.approver_signature = std::string(100'000, 'A'); }),
      corrupted([](BundleBody& body) { std::swap(body.author_signature, body.approver_signature); }),
  };
  checkDuringTraffic(site.caller_address, [&] {
    std::uint64_t version = 20;
    for (BundleBody& body : invalid) {
      // Each has its own version because a rejected version is not requested again for a while.
      if (body.version == valid.version) body.version = version++;
      TestSidecar sidecar(site.processes.routerAddress(0), body);
      const std::string rejection_count = fmt::format("bundles_refused_total {}", &body - invalid.data() + 1);
      INFO(rejection_count);
      CHECK(eventually([&] { return site.routerMetrics().find(rejection_count) != std::string::npos; }));
    }
  });
  CHECK(site.processes.status(0).find("\"bundle_version\":1,") != std::string::npos);
}

TEST_CASE("a corrupted bundle row in the table leaves the bundle in effect unchanged", "[bad_input]") {
  BadInputSite site;
  const std::string platform = site.processes.platformAddress();
  checkDuringTraffic(site.caller_address, [&] {
    for (const std::string& row : {std::string("{"), std::string("[]"), std::string(R"({"version":99})"),
                                   std::string(1U << 16U, 'x')}) {
      const auto current_row = boost::json::parse(get(platform, "/v1/rows?key=crankspur%2Fbundle").body);
      const boost::json::object transaction{
          {"conditions", boost::json::array{boost::json::object{{"key", "crankspur/bundle"},
                                                                {"version", current_row.at("version")}}}},
          {"writes", boost::json::array{boost::json::object{{"key", "crankspur/bundle"}, {"value", row}}}}};
      REQUIRE(post(platform, "/v1/transactions", boost::json::serialize(transaction)).status == 200);
      // A router that starts now reads the row immediately.
      site.processes.startRouter(
          1, {"--peers=" + site.processes.routerAddress(0), "--bundle_row_interval_ms=50"});
      CHECK(eventually(
          [&] { return site.processes.status(1).find("\"bundle_version\":1,") != std::string::npos; }));
      CHECK(site.processes.status(0).find("\"bundle_version\":1,") != std::string::npos);
    }
  });
}
