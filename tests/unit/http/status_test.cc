/// @file Guards against status codes outside the classes of HTTP: those of a garbled response, such as 0 and
/// 999, were forwarded to clients.

#include <catch2/catch.hpp>

#include "base/error.h"
#include "unit/http/http_fixture.h"
#include "unit/http/raw_server.h"

using namespace crankspur;
using namespace crankspur::http;

namespace {

Outcome outcomeOfStatus(const std::string& status) {
  HttpFixture fixture([](const Request&, const std::shared_ptr<ResponseWriter>&) {});
  RawServer server(fixture.context, {{"HTTP/1.1 " + status + " -\r\nContent-Length: 0\r\n\r\n", false}});
  return fixture.run({"GET", "/", {}, {}}, server.address());
}

}  // namespace

TEST_CASE("a response with a status outside 100 to 599 cannot be read", "[http][status]") {
  const std::string status = GENERATE("000", "099", "600", "872", "999");
  INFO(status);
  CHECK(outcomeOfStatus(status).error == ErrorCode::Malformed);
}

TEST_CASE("a response with an unregistered status of a known class is accepted", "[http][status]") {
  const std::string status = GENERATE("200", "299", "499", "599");
  INFO(status);
  const Outcome outcome = outcomeOfStatus(status);
  CHECK_FALSE(outcome.error);
  CHECK(std::to_string(outcome.response.status) == status);
}
