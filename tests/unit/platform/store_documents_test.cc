#include "platform/store_documents.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace crankspur::platform;
using namespace std::chrono_literals;
using gateway::Repeatability;

namespace {

constexpr char kConfiguration[] = R"({"version":4,"routes":[
 {"name":"a","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,
  "priority":1,"weightedServices":[{"service":"s","weight":9},{"service":"t","weight":1}],"maxAttempts":2,
  "sticky":true,"resumable":true,"gapTargetMs":500},
 {"name":"b","host":"h","pathPrefix":"/a/b/","kind":"unsafe","timeoutMs":10,"service":"t","public":true}],
 "services":[{"name":"s","healthPath":"/h","maxConnections":30,"engine":{"slots":6,"kvCapacity":1000,
  "kvTokenBytes":10,"linkMbps":2.5,"maxInFlight":3,"models":[{"name":"m"}]}},{"name":"t","maxConnections":5},
  {"name":"k","kvStoreUrl":"10.0.0.9:1","zone":"z","kvCapacity":77}],
 "limits":{"maxHeaderBytes":100,"idleTimeoutMs":2000},
 "tenants":[{"name":"x","apiKeys":["k1","k2"],"priority":3,"isolated":true}],"later":{"is":"ignored"}})";

}  // namespace

TEST_CASE("a configuration is parsed into routes, pools and tenants", "[store_documents]") {
  const auto parsed = readConfiguration(kConfiguration);
  REQUIRE(parsed.value);
  const gateway::Configuration& read = *parsed.value;
  CHECK(read.version == 4);
  const gateway::Route* stream = read.findRoute("h", "/a/x");
  REQUIRE(stream != nullptr);
  CHECK(stream->repeatability == Repeatability::ResumableStream);
  CHECK(stream->uses_prefixes);
  CHECK(stream->needs_tenant);
  CHECK(stream->pools.size() == 2);
  CHECK(stream->timeout == Duration(6s));
  const gateway::Route* open = read.findRoute("h", "/a/b/c");
  REQUIRE(open != nullptr);
  CHECK(open->repeatability == Repeatability::AtMostOnce);
  CHECK_FALSE(open->needs_tenant);
  CHECK(open->max_attempts == 1);
  const gateway::Pool* engines = read.findPool("s");
  REQUIRE(engines != nullptr);
  CHECK(engines->cache_tokens == 1000);
  CHECK(engines->link_bits_per_second == Approx(2.5e6));
  CHECK(engines->max_event_calls == 3);
  CHECK(read.findPool("k")->kv_store_address == "10.0.0.9:1");
  CHECK(read.limits.header_bytes == 100);
  CHECK(read.limits.header_timeout == Duration(3s));
  CHECK(read.findTenantByKey("k2")->isolated);
  CHECK(read.findTenantByKey("k3") == nullptr);
}

TEST_CASE("malformed documents are rejected with the key of the problem", "[store_documents]") {
  CHECK(readConfiguration("{").problem.find("body") == 0);
  CHECK(readConfiguration(R"({"routes":[],"services":[]})").problem.find("version") == 0);
  const auto bad_prefix = readConfiguration(
      R"({"version":1,"services":[],"routes":[{"name":"a","host":"h","pathPrefix":"a","kind":"safe","service":"s"}]})");
  CHECK(bad_prefix.problem.find("pathPrefix") == 0);
  const auto no_service = readConfiguration(
      R"({"version":1,"services":[],"routes":[{"name":"a","host":"h","pathPrefix":"/","kind":"safe"}]})");
  CHECK(no_service.problem.find("service") == 0);
  CHECK(readRunnerEntry("i", R"({"service":"s"})").problem.find("address") == 0);
  CHECK(readNamedWeights(R"({"model":"m","version":-1})").problem.find("version") == 0);
  CHECK_FALSE(readReport("[]"));
  CHECK_FALSE(gateway::CachedPartsPage(readCacheEvents("{}")).responded);
}

TEST_CASE("a runner's entry, report and cache are parsed", "[store_documents]") {
  const auto entry =
      readRunnerEntry("i-1", R"({"service":"s","address":"10.0.0.1:8","zone":"z","version":"v1",
    "slots":4,"sequence":1,"born":1700000000123,"state":"draining","coldRemainingMs":1500.5,"models":[{"name":"m","version":3,"adapters":["a"]}]})");
  REQUIRE(entry.value);
  CHECK(entry.value->draining);
  CHECK(entry.value->born_ms == 1700000000123);
  CHECK(entry.value->cold_left >= Duration(1500ms));
  CHECK(entry.value->models.at(0).weights_version == "3");
  const auto report = readReport(R"({"busy":true,"sequence":7,"queued":1,"running":2,"models":[]})");
  REQUIRE(report);
  CHECK(report->order_running);
  CHECK(report->orders_taken == 7);
  const auto page = readCacheEvents(R"({"epoch":5,"nextPageToken":9,"lost":true,
    "events":[[8,"+","w1","ff",100,"m"],[9,"-","w1","0a",0,"m"],[10,"+","w1","not hex",1,"m"],"odd"]})");
  CHECK(page.gap);
  CHECK(page.position == 9);
  REQUIRE(page.parts.size() == 2);
  CHECK(page.parts[0].part == 255);
  CHECK(page.parts[1].tokens == 0);
  CHECK(readCacheContent(R"({"epoch":5,"nextPageToken":9,"held":[["w1","1",10,"m"]]})").parts.size() == 1);
}

TEST_CASE("a stored record keeps its bytes and its age", "[store_documents]") {
  const std::string text("a\0b", 3);
  const RelayedRow row{"record/x", writeStoredRecord(text, 5000), 9, false};
  const gateway::StoredRecord record = readStoredRecord(row, 7500);
  CHECK(record.text == text);
  CHECK(record.row_version == 9);
  CHECK(record.age == Duration(2500ms));
  CHECK(readStoredRecord(row, 0).age == Duration(0));
  CHECK(readStoredRecord({"record/x", "{", 9, false}, 0).text.empty());
  CHECK(readStoredRecord({"record/x", "", 0, false}, 0).row_version == 0);
}

TEST_CASE("a tenant's quota is read in tokens or requests, and no rate means no limit", "[store_documents]") {
  const auto tenantWith = [](const std::string& members) {
    const auto parsed = readConfiguration(
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":[])" + members + "}]}");
    REQUIRE(parsed.value);
    return parsed.value->tenants.at(0);
  };
  const gateway::GatewayTenant tokens =
      tenantWith(R"(,"unit":"tokens","ratePerS":100.5,"burst":200,"uncachedTokens":7)");
  CHECK(tokens.quota.per_second == 100.5);
  CHECK(tokens.quota.burst == 200);
  CHECK(tokens.quota_in_tokens);
  CHECK(tokens.default_tokens == 7);
  CHECK_FALSE(tenantWith(R"(,"ratePerS":5)").quota_in_tokens);
  CHECK_FALSE(tenantWith("").quota.isLimited());
  CHECK_FALSE(tenantWith(R"(,"ratePerS":0,"burst":9)").quota.isLimited());
}

// A quota that was read as "no limit" because of a wrong document would let one tenant take everything.
TEST_CASE("a quota that cannot be read makes the configuration invalid", "[store_documents]") {
  for (const std::string members :
       {R"("unit":"bytes")", R"("unit":3)", R"("ratePerS":-1)", R"("ratePerS":"5")", R"("burst":-2)"}) {
    const auto parsed = readConfiguration(
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":[],)" + members + "}]}");
    CHECK_FALSE(parsed.value);
    CHECK_FALSE(parsed.problem.empty());
  }
}
