#include "platform_fixture.h"
#include "table_service/row_codec.h"
#include "table_service/table_codec.h"

using namespace crankspur;
using namespace crankspur::standin;
using namespace std::chrono_literals;

namespace {

struct TableFixture : PlatformFixture {
  TableFixture() { table = makeTableClient(context.get_executor(), *client, clock, options()); }

  ReadResult read(const std::string& key) {
    return wait<ReadResult>([&](auto done) { table->read(key, std::move(done)); });
  }
};

}  // namespace

TEST_CASE("a compare-and-set commits once, and a conflict returns the current row", "[table_service]") {
  TableFixture fixture;
  CHECK(std::get<TransactionCommitted>(fixture.compareAndSet(0, "one")).versions[0].version == 1);
  const auto conflict = std::get<TransactionConflict>(fixture.compareAndSet(0, "two"));
  REQUIRE(conflict.rows.size() == 1);
  CHECK(conflict.rows[0].value == "one");
  CHECK(std::get<TableRow>(fixture.read("k/1")).version == 1);
  CHECK(std::get<TableRow>(fixture.read("a key/with &odd=bytes%")).version == 0);
}

TEST_CASE("a failure states whether the write may have taken effect", "[table_service]") {
  TableFixture fixture;
  fixture.setMode(ServiceMode::LoseResponses);
  CHECK(std::get<ServiceUnavailable>(fixture.compareAndSet(0, "one")).effect_unknown);
  CHECK(fixture.model.row("k/1").value == "one");
  fixture.setMode(ServiceMode::Down);
  CHECK_FALSE(std::get<ServiceUnavailable>(fixture.compareAndSet(1, "two")).effect_unknown);

  ServiceOptions unreachable = fixture.options();
  unreachable.address = "127.0.0.1:1";
  fixture.table =
      makeTableClient(fixture.context.get_executor(), *fixture.client, fixture.clock, unreachable);
  CHECK_FALSE(std::get<ServiceUnavailable>(fixture.compareAndSet(1, "two")).effect_unknown);
}

TEST_CASE("a missing response is reported as unavailable with unknown effect", "[table_service]") {
  TableFixture fixture;
  fixture.model.setBehaviour(PlatformService::Table, {ServiceMode::Slow, 1h, 1, 1.0});
  ServiceOptions short_timeout = fixture.options();
  short_timeout.call_timeout = 50ms;
  fixture.table =
      makeTableClient(fixture.context.get_executor(), *fixture.client, fixture.clock, short_timeout);
  CHECK(std::get<ServiceUnavailable>(fixture.compareAndSet(0, "one")).effect_unknown);
}

TEST_CASE("a client honours its own rate limit and the service's Retry-After", "[platform_service]") {
  TableFixture fixture;
  ServiceOptions low_rate = fixture.options();
  low_rate.limit = {0.001, 1.0};
  fixture.table = makeTableClient(fixture.context.get_executor(), *fixture.client, fixture.clock, low_rate);
  CHECK(std::holds_alternative<TableRow>(fixture.read("a")));
  CHECK(std::get<ServiceRateLimited>(fixture.read("a")).retry_after > 100s);
  CHECK(fixture.model.served(PlatformService::Table) == 1);

  fixture.table =
      makeTableClient(fixture.context.get_executor(), *fixture.client, fixture.clock, fixture.options());
  fixture.model.setRateLimit(PlatformService::Table, {0.001, 1.0});
  CHECK(std::holds_alternative<TableRow>(fixture.read("a")));
  CHECK(std::get<ServiceRateLimited>(fixture.read("a")).retry_after > 100s);
  CHECK(std::get<ServiceRateLimited>(fixture.read("a")).retry_after > 100s);
  CHECK(fixture.model.rateLimited(PlatformService::Table) == 1);
}

TEST_CASE("a destroyed client runs no callback", "[platform_service]") {
  TableFixture fixture;
  fixture.model.setBehaviour(PlatformService::Table, {ServiceMode::Slow, 20ms, 0, 1.0});
  bool called = false;
  fixture.table->read("a", [&called](const ReadResult&) { called = true; });
  fixture.runUntil([&] { return fixture.model.served(PlatformService::Table) == 1; });
  fixture.table->read("b", [&called](const ReadResult&) { called = true; });
  fixture.table.reset();
  fixture.context.restart();
  fixture.context.run_for(50ms);
  CHECK_FALSE(called);
}

TEST_CASE("objects are stored and read, and concurrent reads share one call", "[object_store]") {
  PlatformFixture fixture;
  const auto objects =
      makeObjectClient(fixture.context.get_executor(), *fixture.client, fixture.clock, fixture.options());
  const auto get = [&] {
    return fixture.wait<GetObjectResult>([&](auto done) { objects->get("bundles/1-a", std::move(done)); });
  };
  CHECK(std::holds_alternative<ObjectNotFound>(get()));
  const std::string body(300'000, 'x');
  const auto put =
      fixture.wait<PutObjectResult>([&](auto done) { objects->put("bundles/1-a", body, std::move(done)); });
  CHECK(std::holds_alternative<ObjectWritten>(put));
  const std::uint64_t before = fixture.model.served(PlatformService::Objects);
  int completed = 0;
  const auto count = [&completed, &body](const GetObjectResult& result) {
    completed += std::get<ObjectBody>(result).bytes == body ? 1 : 0;
  };
  objects->get("bundles/1-a", count);
  objects->get("bundles/1-a", count);
  fixture.runUntil([&completed] { return completed == 2; });
  CHECK(fixture.model.served(PlatformService::Objects) == before + 1);
}

TEST_CASE("the machine list and the weight store are available through their clients", "[machine_list]") {
  PlatformFixture fixture;
  const Machine machine{"e1", MachineRole::Engine, "general", "127.0.0.1:9", "z", "r", MachineState::Leaving};
  fixture.model.setInitialMachines({machine});
  const auto machines = makeMachineListClient(fixture.context.get_executor(), *fixture.client, fixture.clock,
                                              fixture.options());
  const auto fetch = [&] {
    return fixture.wait<MachineListResult>([&](auto done) { machines->fetch(std::move(done)); });
  };
  const auto list = std::get<MachineList>(fetch());
  REQUIRE(list.machines.size() == 1);
  CHECK(list.machines[0].state == MachineState::Leaving);
  CHECK(list.machines[0].pool == "general");
  fixture.setMode(ServiceMode::Down);
  CHECK(std::holds_alternative<ServiceUnavailable>(fetch()));
  fixture.setMode(ServiceMode::Up);
  const auto weights =
      makeWeightClient(fixture.context.get_executor(), *fixture.client, fixture.clock, fixture.options());
  const auto transfer = fixture.wait<WeightsResult>(
      [&](auto done) { weights->load("hull-review", "2026-05", std::move(done)); });
  CHECK(std::get<WeightsTransfer>(transfer).duration == 7s);
}

TEST_CASE("claim and lease rows survive encoding and decoding, and invalid text is rejected",
          "[table_service]") {
  const ClaimRow claim{ClaimRow::Phase::Done, "t\"1", "hash", "{\"ok\":true}\n", 4};
  const auto decoded = decodeClaimRow({"k", 4, encodeClaimRow(claim)});
  REQUIRE(decoded);
  CHECK(decoded->phase == ClaimRow::Phase::Done);
  CHECK(decoded->token == claim.token);
  CHECK(decoded->result == claim.result);
  CHECK(decoded->row_version == 4);
  CHECK(decodeClaimRow({"k", 0, ""})->row_version == 0);
  const auto lease = decodeLeaseRow({"k", 9, encodeLeaseRow({"n1", 7, 8, 0})});
  REQUIRE(lease);
  CHECK(lease->token == 7);
  CHECK(lease->row_version == 9);
  const ClaimGroupRow group{7, {{"10.0.0.1:80", ~0ull}, {"10.0.0.2:80", 2}}, "installer", 5};
  const auto decoded_group = decodeClaimGroupRow({"k", 5, encodeClaimGroupRow(group)});
  REQUIRE(decoded_group);
  CHECK(decoded_group->epoch == 7);
  CHECK(decoded_group->members == group.members);
  CHECK(decoded_group->installer == group.installer);
  CHECK(decoded_group->row_version == 5);
  CHECK(decodeClaimGroupRow({"k", 0, ""})->epoch == 0);
  for (const std::string bad :
       {"", "{}", R"({"epoch":0,"installer":"","members":[{"address":"a","incarnation":1}]})",
        R"({"epoch":1,"installer":"","members":[]})",
        R"({"epoch":1,"installer":"","members":[{"address":1,"incarnation":1}]})"}) {
    CHECK_FALSE(decodeClaimGroupRow({"k", 1, bad}));
  }
  for (const std::string bad : {"", "{}", "[]", "null", R"({"holder":"a","token":-1,"renewal":1})",
                                R"({"phase":"held","token":"","body_hash":"","result":""})"}) {
    CHECK_FALSE(decodeClaimRow({"k", 1, bad}));
    CHECK_FALSE(decodeLeaseRow({"k", 1, bad}));
  }
}

TEST_CASE("responses that violate the protocol are rejected", "[table_service]") {
  for (const std::string bad : {"", "{}", "[1]", R"({"committed":1,"versions":{}})",
                                R"({"committed":true,"versions":{"k":"1"}})", R"({"committed":true})"}) {
    CHECK_FALSE(decodeCommitted(bad));
    CHECK_FALSE(decodeConflict(bad));
    CHECK_FALSE(decodeTransaction(bad));
    CHECK_FALSE(decodeRow(bad));
  }
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  CHECK_FALSE(decodeTransaction("{\"conditions\":" + deep + ",\"writes\":[]}"));
}
