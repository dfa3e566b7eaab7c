#include <fmt/format.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "base/hash.h"
#include "bundle/signing.h"
#include "integration/http_call.h"
#include "integration/process.h"

using namespace crankspur;
using namespace crankspur::testing;

namespace {

constexpr char kKey[] = "order-desk";
constexpr char kBundle[] = R"(version = 1
site = "orders"

[[operations]]
name = "order"
pools = ["orders"]
repeatable = false
timeout_ms = 8000

[[tenants]]
name = "recife"
api_key_sha256 = ["{}"]
operations = ["order"]
)";

std::string loopback(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

/// Two routers with one slow runner. The sidecar is connected through a proxy to the first router, which is
/// in its own zone, and directly to the second.
class OrderSite {
public:
  OrderSite() {
    runner = start("standin_app_runner", "runner", {"--operations=order", "--delay_ms=1500"});
    const std::string machines = folder + "/machines.toml";
    writeText(machines, fmt::format("[[machines]]\nname = \"runner\"\nrole = \"runner\"\npool = \"orders\"\n"
                                    "address = \"{}\"\nzone = \"z0\"\nregion = \"r\"\n",
                                    addressOf(*runner)));
    platform = start("standin_platform", "platform", {"--machines=" + machines, "--machine_list_lag_ms=0"});
    first_router = startRouter("router-0", "z0", "");
    second_router = startRouter("router-1", "z1", "--peers=" + addressOf(*first_router));
    proxy = start("fault_proxy", "proxy", {"--target=" + addressOf(*first_router)});
    roll();
    sidecar = start("crankspur_sidecar", "sidecar",
                    withTrustedKeys({"--name=sidecar", "--zone=z0", "--region=r", "--listen=127.0.0.1:0",
                                     "--admin=127.0.0.1:0",
                                     "--routers=" + addressOf(*proxy) + "," + addressOf(*second_router)}));
    const std::string admin = loopback(sidecar->port("admin"));
    const auto ready = [&] {
      const CallResult status = get(admin, "/status");
      if (status.status != 200) return false;
      const auto body = boost::json::parse(status.body);
      return body.at("routers").as_array().size() == 2 && body.at("bundle_version").as_int64() == 1;
    };
    REQUIRE(eventually(ready));
    REQUIRE(eventually([&] { return sendOrder("warm-up").status == 200; }));
  }

  static http::Request request(const std::string& idempotency_key) {
    http::Request order;
    order.method = "POST";
    order.target = "/v1/operations/order";
    order.headers["Authorization"] = std::string("Bearer ") + kKey;
    order.headers["Idempotency-Key"] = idempotency_key;
    order.body = R"({"part":"keel bolt"})";
    return order;
  }
  CallResult sendOrder(const std::string& idempotency_key) const {
    return call(addressOf(*sidecar), request(idempotency_key));
  }
  /// @return how often the runner has executed the order with this key.
  std::int64_t executions(const std::string& idempotency_key) const {
    const auto body = boost::json::parse(get(addressOf(*runner), "/v1/executions").body);
    std::int64_t count = 0;
    for (const auto& entry : body.at("executions").as_array()) {
      if (entry.at("idempotency_key") == boost::json::value(idempotency_key))
        count += entry.at("count").as_int64();
    }
    return count;
  }
  /// @return whether the platform's table has a claim for the order.
  bool claimed(const std::string& idempotency_key) const {
    const std::string row = "/v1/rows?key=crankspur%2Fclaim%2Frecife%2F" + idempotency_key;
    return boost::json::parse(get(addressOf(*platform), row).body).at("version").as_int64() > 0;
  }
  /// @return number of requests in flight at the first router.
  std::int64_t requestsAtFirstRouter() const {
    const auto body = boost::json::parse(get(loopback(first_router->port("admin")), "/status").body);
    return body.at("requests_in_flight").to_number<std::int64_t>();
  }
  static std::string addressOf(Process& process) { return loopback(process.port("listening")); }

  std::string folder = makeScratchFolder();
  SigningKeyPair author = generateSigningKeyPair();
  SigningKeyPair approver = generateSigningKeyPair();
  std::unique_ptr<Process> runner, platform, first_router, second_router, proxy, sidecar;

private:
  std::unique_ptr<Process> start(const std::string& program, const std::string& name,
                                 const std::vector<std::string>& flags) const {
    return std::make_unique<Process>(program, flags, folder + "/" + name + ".log");
  }
  std::vector<std::string> withTrustedKeys(std::vector<std::string> flags) const {
    flags.push_back("--author_keys=" + author.public_key);
    flags.push_back("--approver_keys=" + approver.public_key);
    return flags;
  }
  std::unique_ptr<Process> startRouter(const std::string& name, const std::string& zone,
                                       const std::string& peers) {
    std::vector<std::string> flags = {"--name=" + name,      "--zone=" + zone,
                                      "--region=r",          "--listen=127.0.0.1:0",
                                      "--admin=127.0.0.1:0", "--platform=" + addressOf(*platform)};
    if (!peers.empty()) flags.push_back(peers);
    return start("crankspur_router", name, withTrustedKeys(std::move(flags)));
  }
  void roll() const {
    const std::string document = folder + "/bundle.toml";
    writeText(document, fmt::format(kBundle, sha256Hex(kKey)));
    writeText(folder + "/author.key", author.private_key + "\n");
    writeText(folder + "/approver.key", approver.private_key + "\n");
    std::string output;
    REQUIRE(runProgram("crankspurctl", {"bundle", "sign", document, "--key=" + folder + "/author.key"},
                       output) == 0);
    REQUIRE(runProgram("crankspurctl",
                       {"bundle", "approve", document, "--key=" + folder + "/approver.key",
                        "--author_keys=" + author.public_key},
                       output) == 0);
    REQUIRE(runProgram("crankspurctl",
                       withTrustedKeys({"bundle", "roll", document, "--platform=" + addressOf(*platform)}),
                       output) == 0);
  }
};

}  // namespace

TEST_CASE("an order whose connection is closed runs once and its recorded result is delivered", "[sidecar]") {
  OrderSite site;
  BackgroundCall running(OrderSite::addressOf(*site.sidecar), OrderSite::request("order-1"));
  REQUIRE(eventually([&] { return site.requestsAtFirstRouter() == 1; }));
  REQUIRE(testing::post(loopback(site.proxy->port("control")), "/control", R"({"cut_now":true})").status ==
          200);
  const CallResult result = running.result();
  CHECK(result.status == 200);
  CHECK(site.executions("order-1") == 1);
  const CallResult repeated = site.sendOrder("order-1");
  CHECK(repeated.status == 200);
  CHECK(boost::json::parse(repeated.body).at("result") == boost::json::parse(result.body).at("result"));
  CHECK(site.executions("order-1") == 1);
}

TEST_CASE("an order whose router was killed is never run twice and never called not run", "[sidecar]") {
  OrderSite site;
  BackgroundCall running(OrderSite::addressOf(*site.sidecar), OrderSite::request("order-2"));
  // Until the claim is written, the other router may claim and run the order, which is correct as well.
  REQUIRE(eventually([&] { return site.claimed("order-2"); }));
  site.first_router->kill();
  const CallResult result = running.result();
  REQUIRE(result.status >= 400);
  const auto run_state = boost::json::parse(result.body).at("error").at("ran");
  INFO(result.body);
  CHECK((run_state == "unknown" || site.executions("order-2") == 0));
  site.sendOrder("order-2");
  CHECK(site.executions("order-2") <= 1);
}
