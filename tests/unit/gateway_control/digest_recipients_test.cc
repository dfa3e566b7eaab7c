#include "gateway_control/digest_recipients.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::gateway;
using std::chrono::seconds;

// A gateway on standby is no peer of the serving ones, but clients that kept an old list still use it.
// Without their digests it would know nothing of what they have admitted, and admit each tenant's whole quota
// itself.
TEST_CASE("gateways on standby that have clients receive digests", "[gateway_control][quota]") {
  const TimePoint start{seconds(100)};
  DigestRecipients recipients;
  CHECK(recipients.select({"a", "b"}, start) == std::vector<std::string>{"a", "b"});
  recipients.onSender("standby", start);
  recipients.onSender("b", start);
  CHECK(recipients.select({"a", "b"}, start + seconds(1)) == std::vector<std::string>{"a", "b", "standby"});
  CHECK(recipients.select({"a", "b"}, start + seconds(4)) == std::vector<std::string>{"a", "b"});
}
