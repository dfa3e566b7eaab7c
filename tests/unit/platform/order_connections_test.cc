/// @file Guards against orders that count as executed although the engine never answered them: a faulty
/// engine sends its report a second time, and the copy is taken for the response to the order that follows.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "platform/platform_translator.h"
#include "unit/http/raw_server.h"
#include "unit/platform/fake_platform_store.h"
#include "unit/run_until.h"

using namespace crankspur;
using namespace crankspur::platform;

namespace {

const std::string kReportBody = R"({"sequence":1,"busy":false,"models":[]})";
const std::string kReport =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kReportBody.size()) + "\r\n\r\n" + kReportBody;
const std::string kBegun = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// A translator before an engine that responds as given, whatever the call.
struct OrderFixture {
  TranslatorOptions options() const {
    TranslatorOptions result;
    result.store_address = store.address();
    return result;
  }

  bool readReport() {
    std::optional<bool> read;
    translator.readWeights(engine.address(), [&read](const auto& report) { read = report.has_value(); });
    runUntil(context, [&read] { return read.has_value(); });
    return *read;
  }

  gateway::OrderResponse sendOrder() {
    gateway::WeightsOrder order;
    order.address = engine.address();
    order.backend = "e1";
    std::optional<gateway::OrderResponse> result;
    translator.sendOrder(order, [&result](gateway::OrderResponse response) { result = response; });
    runUntil(context, [&result] { return result.has_value(); });
    return *result;
  }

  boost::asio::io_context context;
  FakePlatformStore store{context};
  http::RawServer engine{context, {{kReport}, {kBegun}, {kReport}}};
  NullEventLog log;
  PlatformTranslator translator{context.get_executor(), options(), log};
};

}  // namespace

TEST_CASE("an order to an engine shares no connection with other calls to it", "[response_owner]") {
  OrderFixture fixture;
  CHECK(fixture.readReport());
  CHECK(fixture.sendOrder() == gateway::OrderResponse::Begun);
  CHECK(fixture.engine.connections() == 2);
  CHECK(fixture.readReport());
  CHECK(fixture.engine.connections() == 2);
}
