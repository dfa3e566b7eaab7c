#include "standins/platform/platform_model.h"

#include <catch2/catch.hpp>

#include "standins/platform/machine_file.h"
#include "standins/platform/platform_control.h"

using namespace crankspur;
using namespace crankspur::standin;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{1000s};

TableTransaction writeRow(const std::string& key, std::uint64_t version, const std::string& value) {
  return {{{key, version}}, {{key, value}}};
}

Machine machineNamed(const std::string& name) {
  Machine machine;
  machine.name = name;
  return machine;
}

std::size_t listedMachineCount(PlatformModel& model, TimePoint now) {
  return std::get<MachineList>(model.call(ListMachines{}, now).response).machines.size();
}

http::Response control(PlatformModel& model, const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.body = body;
  return applyPlatformControl(request, model, kStart);
}

}  // namespace

TEST_CASE("a transaction is atomic", "[standin_platform]") {
  PlatformModel model({}, 1);
  const TableTransaction both{{{"a", 0}, {"b", 0}}, {{"a", "1"}, {"b", "2"}}};
  CHECK(std::get<TransactionCommitted>(model.call(both, kStart).response).versions.size() == 2);
  const TableTransaction partly_stale{{{"a", 1}, {"b", 0}}, {{"a", "x"}, {"b", "y"}}};
  const auto conflict = std::get<TransactionConflict>(model.call(partly_stale, kStart).response);
  REQUIRE(conflict.rows.size() == 2);
  CHECK(conflict.rows[1].version == 1);
  CHECK(model.row("a").value == "1");
  CHECK(std::get<TransactionCommitted>(model.call(writeRow("a", 1, "3"), kStart).response)
            .versions[0]
            .version == 2);
}

TEST_CASE("a call with a lost response takes effect, a refused call does not", "[standin_platform]") {
  PlatformModel model({}, 1);
  model.setBehaviour(PlatformService::Table, {ServiceMode::LoseResponses, 0s, 1, 1.0});
  CHECK(model.call(writeRow("a", 0, "1"), kStart).lost);
  CHECK(model.row("a").version == 1);
  CHECK_FALSE(model.call(ReadRow{"a"}, kStart).lost);
  model.setBehaviour(PlatformService::Table, {ServiceMode::Down, 0s, 0, 1.0});
  CHECK(std::holds_alternative<ServiceDown>(model.call(writeRow("a", 1, "2"), kStart).response));
  CHECK(model.row("a").version == 1);
}

TEST_CASE("calls above the rate limit are refused with the exact retry delay", "[standin_platform]") {
  PlatformOptions options;
  options.limits[0] = {10.0, 2.0};
  PlatformModel model(options, 1);
  model.call(ReadRow{"a"}, kStart);
  model.call(ReadRow{"a"}, kStart);
  const auto refused = std::get<TooManyCalls>(model.call(ReadRow{"a"}, kStart).response);
  CHECK(refused.retry_after == 100ms);
  CHECK(std::holds_alternative<TooManyCalls>(
      model.call(ReadRow{"a"}, kStart + refused.retry_after - 1us).response));
  CHECK(std::holds_alternative<TableRow>(model.call(ReadRow{"a"}, kStart + refused.retry_after).response));
  CHECK(model.rateLimited(PlatformService::Table) == 2);
}

TEST_CASE("weights load slower when more than the full-speed number of loads run concurrently",
          "[standin_platform]") {
  PlatformOptions options;
  options.weights_bytes = 2'000'000'000;
  options.full_speed_weight_loads = 2;
  PlatformModel model(options, 1);
  const auto load = [&model](TimePoint now) {
    return std::get<WeightsTransfer>(model.call(LoadWeights{"m", "1"}, now).response).duration;
  };
  CHECK(load(kStart) == 1s);
  CHECK(load(kStart) == 1s);
  CHECK(load(kStart) == 1500ms);
  CHECK(load(kStart) == 2s);
  CHECK(load(kStart + 1500ms) == 1s);
}

TEST_CASE("changes of machines are listed after the lag", "[standin_platform]") {
  PlatformOptions options;
  options.machine_list_lag = 2s;
  PlatformModel model(options, 1);
  model.setInitialMachines({machineNamed("a")});
  model.putMachine(machineNamed("b"), kStart);
  model.removeMachine("a", kStart + 1s);
  CHECK(listedMachineCount(model, kStart + 1999ms) == 1);
  CHECK(listedMachineCount(model, kStart + 2s) == 2);
  CHECK(listedMachineCount(model, kStart + 3s) == 1);
}

TEST_CASE("a control request is applied completely or not at all", "[standin_platform]") {
  PlatformModel model({}, 1);
  CHECK(control(model, R"({"service":"table","mode":"down","delay_ms":-1})").status == 400);
  CHECK(control(model, R"({"service":"tables","mode":"down"})").status == 400);
  CHECK(control(model, R"({"service":"table","mode":"down","machine":{"name":"x"}})").status == 400);
  CHECK(control(model, R"({"services":"table"})").status == 400);
  CHECK(std::holds_alternative<TableRow>(model.call(ReadRow{"a"}, kStart).response));
  CHECK(control(model, R"({"service":"all","mode":"slow","delay_ms":1.5,"calls":1})").status == 200);
  CHECK(model.call(ReadRow{"a"}, kStart).delay == 1500us);
  CHECK(model.call(ReadRow{"a"}, kStart).delay == 0us);
  CHECK(model.call(ListMachines{}, kStart).delay == 1500us);
}

TEST_CASE("an invalid machine file is refused with the position of the error", "[standin_platform]") {
  std::vector<SettingsProblem> problems;
  parseMachineFile("[[machines]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nrole = \"engin\"\n", "m.toml",
                   problems);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].toString() == "m.toml:4:8: machines[0].role: must be engine, runner, router or kv_store");
}
