#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>

#include "caller/chat_request.h"
#include "http/client.h"
#include "integration/http_call.h"
#include "integration/router/router_site.h"
#include "prefix_index/block_hash.h"
#include "standins/engine/completion_text.h"

using namespace crankspur;
using namespace crankspur::testing;
using namespace std::chrono_literals;

namespace {

constexpr char kKey[] = "demo-key-harbour-fittings";
/// Slowdown at which a token takes 0.16 s, so that a response that is to be interrupted lasts 10 s or more.
constexpr double kSlowdown = 8;

/// Site whose sidecar is ready to serve requests.
class SidecarSite {
public:
  explicit SidecarSite(int routers) : router_site(2) {
    router_site.roll(router_site.signBundle(1));
    router_site.startRouter(0);
    for (int index = 1; index < routers; ++index) {
      router_site.startRouter(index, {"--peers=" + router_site.routerAddress(0)});
    }
    sidecar = &router_site.startSidecar();
    address = fmt::format("127.0.0.1:{}", sidecar->port("listening"));
    admin = fmt::format("127.0.0.1:{}", sidecar->port("admin"));
    const auto has_all_routers = [&] {
      return boost::json::parse(get(admin, "/status").body).at("routers").as_array().size() ==
             static_cast<std::size_t>(routers);
    };
    REQUIRE(eventually([&] { return get(admin, "/healthz").status == 200 && has_all_routers(); }));
    REQUIRE(eventually([&] { return call(address, chat("ready?", 1, false)).status == 200; }));
  }

  static http::Request chat(const std::string& prompt, int max_tokens, bool stream = true) {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers["Authorization"] = std::string("Bearer ") + kKey;
    const boost::json::object message{{"role", "user"}, {"content", prompt}};
    request.body = boost::json::serialize(boost::json::object{{"model", "m"},
                                                              {"stream", stream},
                                                              {"max_tokens", max_tokens},
                                                              {"messages", boost::json::array{message}}});
    return request;
  }

  RouterSite router_site;
  Process* sidecar = nullptr;
  std::string address;
  std::string admin;
};

std::string expectedText(const std::string& prompt, int max_tokens) {
  const std::string text = canonicalMessage("user", prompt) + std::string(kAssistantTurn);
  return standin::expectedCompletion("m", "w1", "", text, static_cast<std::uint64_t>(max_tokens)).text;
}

/// Text of a stream of chunks, and whether the stream ended with [DONE].
struct StreamText {
  std::string text;
  bool complete = false;
};

StreamText streamText(const std::string& body) {
  StreamText stream;
  http::EventStreamParser().feed(body, [&stream](std::string_view event) {
    if (event == "[DONE]") {
      stream.complete = true;
      return;
    }
    const auto chunk = boost::json::parse(boost::json::string_view(event.data(), event.size()));
    if (!chunk.as_object().contains("choices")) return;
    const auto& delta = chunk.at("choices").at(0).at("delta").as_object();
    if (delta.contains("content")) stream.text += delta.at("content").as_string();
  });
  return stream;
}

std::int64_t runningRequests(const std::string& engine) {
  return boost::json::parse(get(engine, "/v1/load").body).at("running_requests").to_number<std::int64_t>();
}

/// @return index of the router that runs the only request in flight.
int servingRouter(const RouterSite& site, int routers) {
  for (int index = 0; index < routers; ++index) {
    const auto status = boost::json::parse(site.status(index));
    if (status.at("requests_in_flight").to_number<std::int64_t>() > 0) return index;
  }
  FAIL("no router runs a request");
  return -1;
}

/// @return a prompt for which the engine generates at least `min_tokens` tokens.
std::string promptWithLongAnswer(int min_tokens) {
  for (int number = 0;; ++number) {
    std::string prompt = fmt::format("review {}", number);
    if (expectedText(prompt, min_tokens).size() == static_cast<std::size_t>(min_tokens) * kBytesPerToken)
      return prompt;
  }
}

}  // namespace

TEST_CASE("a caller loses no byte of a stream when its router is killed", "[sidecar]") {
  SidecarSite site(2);
  const std::string prompt = promptWithLongAnswer(120);
  site.router_site.slowEngines(kSlowdown);
  BackgroundCall running(site.address, SidecarSite::chat(prompt, 120));
  REQUIRE(eventually([&] { return streamText(running.bodySoFar()).text.size() > 40; }));
  site.router_site.router(servingRouter(site.router_site, 2)).kill();
  site.router_site.slowEngines(1);
  const CallResult result = running.result();
  const StreamText stream = streamText(result.body);
  CHECK(stream.complete);
  CHECK(stream.text == expectedText(prompt, 120));
  CHECK(get(site.admin, "/metrics").body.find("resubmissions_total 1") != std::string::npos);
}

TEST_CASE("a stream moves to another router when its router freezes", "[sidecar]") {
  SidecarSite site(2);
  const std::string prompt = promptWithLongAnswer(120);
  site.router_site.slowEngines(kSlowdown);
  BackgroundCall running(site.address, SidecarSite::chat(prompt, 120));
  REQUIRE(eventually([&] { return streamText(running.bodySoFar()).text.size() > 40; }));
  const int serving = servingRouter(site.router_site, 2);
  site.router_site.router(serving).signal(SIGSTOP);
  site.router_site.slowEngines(1);
  const CallResult result = running.result();
  CHECK(streamText(result.body).complete);
  CHECK(streamText(result.body).text == expectedText(prompt, 120));
  CHECK(get(site.admin, "/metrics").body.find("resubmissions_total 1") != std::string::npos);
  site.router_site.router(serving).signal(SIGCONT);
}

TEST_CASE(
    "streaming and non-streaming responses have the same text, and engine and cached tokens are reported",
    "[sidecar]") {
  SidecarSite site(1);
  const std::string prompt = "which cleat? " + std::string(2000, 'c');
  const CallResult streamed = call(site.address, SidecarSite::chat(prompt, 16));
  const CallResult non_streamed = call(site.address, SidecarSite::chat(prompt, 16, false));
  REQUIRE(non_streamed.status == 200);
  const auto body = boost::json::parse(non_streamed.body);
  const std::string content(body.at("choices").at(0).at("message").at("content").as_string());
  CHECK(content == expectedText(prompt, 16));
  CHECK(streamText(streamed.body).text == expectedText(prompt, 16));
  CHECK(body.at("usage").at("prompt_tokens_details").at("cached_tokens").to_number<int>() > 400);
  CHECK(non_streamed.headers.at("x-crankspur-engine").starts_with("engine-"));
  CHECK_FALSE(non_streamed.headers.at("x-request-id").empty());
}

TEST_CASE("a planned stop of the sidecar interrupts no request in flight", "[sidecar]") {
  SidecarSite site(1);
  const std::string prompt = promptWithLongAnswer(60);
  site.router_site.slowEngines(kSlowdown);
  BackgroundCall running(site.address, SidecarSite::chat(prompt, 60));
  REQUIRE(eventually([&] { return streamText(running.bodySoFar()).text.size() > 20; }));
  site.sidecar->signal(SIGTERM);
  REQUIRE(eventually([&] { return get(site.admin, "/healthz").status == 503; }));
  CHECK_FALSE(running.done());
  site.router_site.slowEngines(1);
  const CallResult result = running.result();
  CHECK(streamText(result.body).complete);
  CHECK(streamText(result.body).text == expectedText(prompt, 60));
  CHECK(site.sidecar->wait(10s) == 0);
}

TEST_CASE("the engine stops generating when the caller disconnects", "[sidecar]") {
  SidecarSite site(1);
  const std::string prompt = promptWithLongAnswer(1000);
  BackgroundCall running(site.address, SidecarSite::chat(prompt, 1000));
  REQUIRE(eventually([&] { return streamText(running.bodySoFar()).text.size() > 20; }));
  const auto running_requests = [&] {
    return runningRequests(site.router_site.engineAddress(0)) +
           runningRequests(site.router_site.engineAddress(1));
  };
  REQUIRE(eventually([&] { return running_requests() == 1; }));
  running.cancel();
  CHECK(eventually([&] { return running_requests() == 0; }, 5s));
  CHECK(call(site.address, SidecarSite::chat("next", 4)).status == 200);
}

TEST_CASE("an invalid request receives an error marked not run and does not affect later requests",
          "[sidecar]") {
  SidecarSite site(1);
  const auto modified_request = [](auto change) {
    http::Request request = SidecarSite::chat("hello", 4);
    change(request);
    return request;
  };
  struct TestCase {
    http::Request request;
    int status;
    std::string code;
  };
  const std::vector<TestCase> cases = {
      {modified_request([](auto& r) { r.body = "{\"model\":"; }), 400, "invalid_request"},
      {modified_request([](auto& r) { r.headers.erase("Authorization"); }), 401, "unauthorized"},
      {modified_request([](auto& r) { r.headers["Authorization"] = "Bearer wrong"; }), 401, "unauthorized"},
      {modified_request([](auto& r) { r.target = "/v1/nothing"; }), 404, "invalid_request"},
      {modified_request([](auto& r) { r.method = "DELETE"; }), 405, "invalid_request"},
      {modified_request([](auto& r) { r.headers["X-Deadline-Ms"] = "soon"; }), 400, "invalid_request"},
      {modified_request([](auto& r) { r.target = "/v1/operations/order"; }), 404, "unknown_model"},
      {modified_request([](auto& r) {
         std::string text = r.body.text();
         r.body = text.replace(text.find("\"m\""), 3, "\"x\"");
       }),
       404, "unknown_model"},
      {modified_request([](auto& r) { r.body = std::string(5U << 20U, ' '); }), 413, "too_large"},
      {modified_request([](auto& r) { r.headers["X-Filler"] = std::string(20'000, 'f'); }), 431, "too_large"},
  };
  for (const TestCase& test_case : cases) {
    const CallResult result = call(site.address, test_case.request);
    INFO(test_case.code << " " << test_case.request.target);
    REQUIRE(result.status == test_case.status);
    const auto detail = boost::json::parse(result.body).at("error");
    CHECK(std::string(detail.at("code").as_string()) == test_case.code);
    CHECK(detail.at("ran") == "not_run");
  }
  CHECK(call(site.address, SidecarSite::chat("hello", 4)).status == 200);
}

TEST_CASE("a sidecar without a router responds not run with a retry delay", "[sidecar]") {
  SidecarSite site(1);
  site.router_site.router(0).kill();
  const CallResult result = call(site.address, SidecarSite::chat("hello", 4));
  CHECK(result.status == 503);
  const auto detail = boost::json::parse(result.body).at("error");
  CHECK(detail.at("code") == "router_unavailable");
  CHECK(detail.at("ran") == "not_run");
  CHECK(result.headers.contains("Retry-After"));
}

TEST_CASE("a sidecar with invalid settings exits with code 2", "[sidecar]") {
  const std::string folder = makeScratchFolder();
  writeText(folder + "/sidecar.toml", "name = \"s\"\nzone = \"z\"\nregion = \"r\"\nspeed = 3\n");
  std::string output;
  CHECK(runProgram("crankspur_sidecar", {"--settings=" + folder + "/sidecar.toml"}, output) == 2);
  CHECK(runProgram("crankspur_sidecar", {"--settings=" + folder + "/absent.toml"}, output) == 2);
  CHECK(runProgram("crankspur_sidecar", {}, output) == 2);
}
