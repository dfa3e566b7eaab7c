#include "http/admin.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <catch2/catch.hpp>

#include "http_fixture.h"

using namespace crankspur;
using namespace crankspur::http;

TEST_CASE("admin endpoints serve health with its reason, metrics and registered paths", "[http]") {
  auto registry = std::make_shared<prometheus::Registry>();
  prometheus::BuildCounter().Name("requests_total").Register(*registry).Add({{"kind", "a"}}).Increment(3);
  std::string reason;
  auto endpoints = std::make_shared<AdminEndpoints>(registry, [&] { return reason; });
  endpoints->add("/status", [](Request request, std::shared_ptr<ResponseWriter> writer) {
    writer->respond(jsonResponse(200, request.query("x")));
  });
  HttpFixture fixture([endpoints](Request request, std::shared_ptr<ResponseWriter> writer) {
    endpoints->handle(std::move(request), std::move(writer));
  });
  CHECK(fixture.run({"GET", "/healthz", {}, {}}).response.status == 200);
  reason = "no \"bundle\"";
  const Response unhealthy = fixture.run({"GET", "/healthz", {}, {}}).response;
  CHECK(unhealthy.status == 503);
  CHECK(unhealthy.body == R"({"status":"not_serving","reason":"no \"bundle\""})");
  const Response metrics = fixture.run({"GET", "/metrics", {}, {}}).response;
  CHECK(metrics.body.find("requests_total{kind=\"a\"} 3") != std::string::npos);
  CHECK(fixture.run({"GET", "/status?x=1", {}, {}}).response.body == "1");
  CHECK(fixture.run({"GET", "/none", {}, {}}).response.status == 404);
  CHECK(fixture.run({"POST", "/status", {}, {}}).response.status == 405);
}
