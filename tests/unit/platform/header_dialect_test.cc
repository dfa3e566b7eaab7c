#include "platform/header_dialect.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;

namespace {

http::Request clientRequest() {
  http::Request request;
  request.headers = {{"Host", "h"},
                     {"Attempt-Id", "r1"},
                     {"Model", "m"},
                     {"Token-Usage", "1460,80"},
                     {"Prefix-Hash", "5c1e07a2:800, 0a:410"},
                     {"Deadline-Ms", "2500"},
                     {"Authorization", "Bearer key"},
                     {"Tenant", "forged"},
                     {"Cache-Salt", "forged"},
                     {"Kv-Fetch", "10.0.0.1:1"},
                     {"X-Own", "kept"},
                     {"X-Hop", "dropped"},
                     {"Connection", "keep-alive, X-Hop, Attempt-Id"}};
  return request;
}

}  // namespace

TEST_CASE("the head of a client's request is parsed", "[header_dialect]") {
  const HeaderDialect dialect;
  const auto read = dialect.readRequest(clientRequest());
  REQUIRE(read);
  CHECK(read->request_id == "r1");
  CHECK(read->api_key == "key");
  CHECK(read->prompt_tokens == 1460);
  CHECK(read->max_completion_tokens == 80);
  REQUIRE(read->prompt.size() == 2);
  CHECK(read->prompt[1].id == 10);
  CHECK(read->prompt[1].tokens == 410);
  CHECK(read->deadline == Duration(2500ms));
  CHECK_FALSE(read->resume_after);
  CHECK(read->resumed_attempt.empty());
}

TEST_CASE("the attempt that a client resumes is parsed and forwarded", "[header_dialect]") {
  const HeaderDialect dialect;
  http::Request request = clientRequest();
  request.headers["Last-Event-Id"] = "12";
  request.headers["Resumes"] = "r0";
  const auto read = dialect.readRequest(request);
  REQUIRE(read);
  CHECK(read->resume_after == 12);
  CHECK(read->resumed_attempt == "r0");
  CHECK(dialect.forwardHeaders(request, {}).at("Resumes") == "r0");
}

TEST_CASE("a head without an id is malformed, malformed hints only leave the prompt unknown",
          "[header_dialect]") {
  const HeaderDialect dialect;
  http::Request request = clientRequest();
  request.headers["Prefix-Hash"] = "5c1e07a2:800,zz:1";
  request.headers["Token-Usage"] = "many";
  request.headers["Deadline-Ms"] = "-1";
  const auto read = dialect.readRequest(request);
  REQUIRE(read);
  CHECK(read->prompt.empty());
  CHECK(read->prompt_tokens == 0);
  CHECK_FALSE(read->deadline);
  request.headers.erase("Attempt-Id");
  CHECK_FALSE(dialect.readRequest(request));
}

TEST_CASE("hop-by-hop headers, the API key and headers that clients may not set are not forwarded",
          "[header_dialect]") {
  const HeaderDialect dialect;
  gateway::ForwardTerms terms;
  terms.expected_backend = "i-1";
  terms.tenant = "t";
  terms.deadline = 900ms;
  terms.expected_weights = 3;
  terms.cache_scope = "w3";
  terms.resume_after = 12;
  const http::Headers sent = dialect.forwardHeaders(clientRequest(), terms);
  const http::Headers expected = {{"Host", "h"},
                                  {"Attempt-Id", "r1"},
                                  {"Model", "m"},
                                  {"Token-Usage", "1460,80"},
                                  {"Prefix-Hash", "5c1e07a2:800, 0a:410"},
                                  {"X-Own", "kept"},
                                  {"Deadline-Ms", "900"},
                                  {"Expect-Instance", "i-1"},
                                  {"Expect-Version", "3"},
                                  {"Tenant", "t"},
                                  {"Cache-Salt", "w3"},
                                  {"Last-Event-Id", "12"}};
  CHECK(sent == expected);
}

TEST_CASE("the head of a runner's response states the outcome of the request", "[header_dialect]") {
  const HeaderDialect dialect;
  http::Response response;
  response.status = 503;
  CHECK_FALSE(dialect.readResponse(response, "r1").not_run);
  response.headers["Not-Executed"] = "1";
  CHECK(dialect.readResponse(response, "r1").not_run);
  response = {421, {}, ""};
  CHECK(dialect.readResponse(response, "r1").wrong_backend);
  response = {200, {{"Attempt-Id", "r2"}, {"Server-Seal", "s"}, {"Weight-Versions", "4"}}, ""};
  CHECK(dialect.readResponse(response, "r1").owner == http::ResponseOwner::earlier_request);
  CHECK(dialect.readResponse(response, "r2").genuine);
  CHECK(dialect.readResponse(response, "r2").weights_version == 4);
  response.headers["Content-Encoding"] = "gzip";
  CHECK_FALSE(dialect.readResponse(response, "r2").genuine);
}

TEST_CASE("a rate limit of a response is a positive decimal number, anything else is reported as invalid",
          "[header_dialect][backend_limits]") {
  const HeaderDialect dialect;
  const auto read = [&dialect](const std::string& limit) {
    http::Response head{200, {{"Attempt-Id", "r1"}, {"Server-Seal", "s"}}, ""};
    if (!limit.empty()) head.headers["Server-Limit"] = limit;
    return dialect.readResponse(head, "r1");
  };
  CHECK(read("3").requests_per_second == 3.0);
  CHECK(read(" 2.9 ").requests_per_second == 2.9);
  CHECK_FALSE(read("").requests_per_second);
  CHECK(read("").invalid_limit.empty());
  for (const std::string invalid :
       {"0", "0.0", "-3", "many", "3 a second", "nan", "inf", "1e9", "99999999999", "3,2"}) {
    INFO(invalid);
    CHECK_FALSE(read(invalid).requests_per_second);
    CHECK(read(invalid).invalid_limit == invalid);
  }
}

// A pause in a form that is not read would be taken for none, and the back end be tried again at once.
TEST_CASE("a pause of a rejection is a number of seconds, anything else is reported as invalid",
          "[header_dialect][backend_notices]") {
  const HeaderDialect dialect;
  const auto read = [&dialect](int status, const std::string& pause) {
    const http::Response head{status, {{"Attempt-Id", "r1"}, {"Retry-After", pause}}, ""};
    return dialect.readResponse(head, "r1");
  };
  CHECK(read(503, "3").pause == Duration(3s));
  CHECK(read(503, " 0.25 ").pause == Duration(250ms));
  CHECK(read(503, "0").pause == Duration(0));
  CHECK(read(503, "1000000000000000000000").pause > Duration(24h));
  for (const std::string invalid :
       {"-3", "soon", "1e9", "nan", "inf", "3 s", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    INFO(invalid);
    CHECK_FALSE(read(503, invalid).pause);
    CHECK(read(503, invalid).invalid_pause == invalid);
  }
  CHECK_FALSE(read(503, "").invalid_pause.empty());
  CHECK_FALSE(read(429, "3").pause);
  CHECK_FALSE(dialect.readResponse({503, {}, ""}, "r1").pause);
  CHECK(dialect.readResponse({503, {}, ""}, "r1").invalid_pause.empty());
}

TEST_CASE("a runner states in any response that it leaves", "[header_dialect][backend_notices]") {
  const HeaderDialect dialect;
  const int status = GENERATE(200, 421, 500, 503);
  CHECK(dialect.readResponse({status, {{"Server-Leaving", "1"}}, ""}, "r1").leaving);
  CHECK_FALSE(dialect.readResponse({status, {{"Server-Leaving", "0"}}, ""}, "r1").leaving);
  CHECK_FALSE(dialect.readResponse({status, {}, ""}, "r1").leaving);
}

TEST_CASE("a runner states in any response that it falls over when it rejects too many requests",
          "[header_dialect][brittle]") {
  const HeaderDialect dialect;
  const int status = GENERATE(200, 421, 500, 503);
  const auto tolerated = [&](const std::string& text) {
    return dialect.readResponse({status, {{"Server-Brittle", text}}, ""}, "r1").tolerated_rejections;
  };
  CHECK(tolerated("6") == 6U);
  CHECK(tolerated(" 6 ") == 6U);
  CHECK(tolerated("0") == 0U);
  CHECK(tolerated("99999999999") == UINT32_MAX);
  CHECK_FALSE(dialect.readResponse({status, {}, ""}, "r1").tolerated_rejections);
  SECTION("a number that cannot be read tolerates none") {
    CHECK(tolerated("") == 0U);
    CHECK(tolerated("many") == 0U);
    CHECK(tolerated("-6") == 0U);
    CHECK(tolerated("6.5") == 0U);
  }
}

TEST_CASE("a client cannot have headers removed that its request needs, in any spelling",
          "[header_dialect]") {
  // Guards against requests that run without the client's id, prompt or last event: the names were compared
  // with their case, and only two of them.
  const HeaderDialect dialect;
  http::Request request = clientRequest();
  request.headers["Last-Event-Id"] = "12";
  request.headers["Connection"] =
      "attempt-id,\tMODEL, token-usage, Prefix-hash, last-event-id, host, deadline-ms, authorization, x-hop";
  const http::Headers relayed = dialect.relayHeaders(request, 1s);
  const http::Headers forwarded = dialect.forwardHeaders(request, {});
  for (const char* name : {"Attempt-Id", "Model", "Token-Usage", "Prefix-Hash", "Last-Event-Id", "Host"}) {
    INFO(name);
    CHECK(forwarded.contains(name));
    CHECK(relayed.contains(name));
  }
  CHECK(relayed.contains("Authorization"));
  CHECK_FALSE(forwarded.contains("X-Hop"));
  CHECK_FALSE(relayed.contains("X-Hop"));
}
