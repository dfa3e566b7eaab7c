#include "router/engine_table.h"

#include <catch2/catch.hpp>

using namespace crankspur;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

Machine engineMachine(const std::string& name, MachineState state = MachineState::Live,
                      const std::string& region = "east") {
  return {name, MachineRole::Engine, "pool", name + ":1", "zone", region, state};
}

BackendReport report(std::uint64_t incarnation, bool leaving = false) {
  BackendReport report;
  report.incarnation = incarnation;
  report.leaving = leaving;
  report.models = {{"m", "w1", {}}};
  return report;
}

/// Table of three engines that have reported incarnation 5.
class Fleet {
public:
  Fleet() : table({"east"}, 1) {
    list({engineMachine("a"), engineMachine("b"), engineMachine("c")});
    for (const char* name : {"a", "b", "c"}) table.onReport(name, report(5), kStart);
    table.takeUrgentChange(kStart);
    table.takeAnnouncements();
  }
  void list(std::vector<Machine> machines) { table.onMachineList({1, std::move(machines)}, kStart); }
  EngineView view(const std::string& name, TimePoint now = kStart) {
    for (const EngineView& engine : table.engines(now)) {
      if (engine.name == name) return engine;
    }
    return {};
  }
  EngineTable table;
};

}  // namespace

TEST_CASE("an engine is used only after its first response, and slots are dense and ordered",
          "[engine_table]") {
  EngineTable table({"east"}, 1);
  table.onMachineList({1, {engineMachine("a"), engineMachine("b")}}, kStart);
  CHECK(table.engines(kStart)[0].state == EngineState::Dead);
  CHECK(table.duePolls(kStart).size() == 2);
  CHECK(table.duePolls(kStart).empty());
  table.onReport("a", report(5), kStart);
  const auto engines = table.engines(kStart);
  CHECK(engines[0].state == EngineState::Live);
  CHECK(engines[0].slot == 0);
  CHECK(engines[1].slot == 1);
}

TEST_CASE("a leaving mark applies from whichever source reports it first", "[engine_table]") {
  Fleet fleet;
  SECTION("machine list") {
    fleet.list({engineMachine("a", MachineState::Leaving), engineMachine("b"), engineMachine("c")});
  }
  SECTION("the engine") {
    fleet.table.onReport("a", report(5, true), kStart);
  }
  SECTION("gossip") {
    fleet.table.onGossip({"a", 5, true, false}, kStart);
  }
  CHECK(fleet.table.takeUrgentChange(kStart));
  CHECK(fleet.view("a").state == EngineState::Leaving);
  CHECK(fleet.view("b").state == EngineState::Live);
}

TEST_CASE("a leaving mark for an unobserved incarnation applies once that incarnation is observed",
          "[engine_table]") {
  Fleet fleet;
  fleet.table.onGossip({"a", 6, true, false}, kStart);
  CHECK(fleet.view("a").state == EngineState::Live);
  fleet.table.onReport("a", report(6), kStart);
  CHECK(fleet.view("a").state == EngineState::Leaving);
  fleet.table.onReport("a", report(7), kStart);
  CHECK(fleet.view("a").state == EngineState::Live);
}

TEST_CASE("a machine missing from two consecutive lists receives no new work", "[engine_table]") {
  Fleet fleet;
  fleet.list({engineMachine("b"), engineMachine("c")});
  CHECK(fleet.view("a").state == EngineState::Live);
  fleet.list({engineMachine("b"), engineMachine("c")});
  CHECK(fleet.view("a").state == EngineState::Leaving);
  fleet.table.onPollFailed("a", PollFailure::Refused, kStart);
  fleet.list({engineMachine("b"), engineMachine("c")});
  CHECK(fleet.table.engines(kStart).size() == 2);
}

TEST_CASE("a new incarnation is published at once, without the previous models, and announced",
          "[engine_table]") {
  Fleet fleet;
  fleet.table.onGossip({"a", 5, true, false}, kStart);
  fleet.table.takeUrgentChange(kStart);
  LoadReport load;
  load.measured_at = kStart;
  load.queued_tokens = 900;
  fleet.table.onLoad("a", 6, load, kStart);
  CHECK(fleet.view("a").load.queued_tokens == 0);
  BackendReport restarted = report(6);
  restarted.models.clear();
  fleet.table.onReport("a", restarted, kStart);
  CHECK(fleet.table.takeUrgentChange(kStart));
  CHECK(fleet.view("a").incarnation == 6);
  CHECK(fleet.view("a").models.empty());
  CHECK(fleet.view("a").state == EngineState::Live);
  const auto announcements = fleet.table.takeAnnouncements();
  REQUIRE(announcements.size() == 1);
  CHECK(announcements[0].incarnation == 6);
}

TEST_CASE("a leaving mark of the list is announced with each list, because an announcement may be lost",
          "[engine_table]") {
  Fleet fleet;
  Machine leaving = engineMachine("b");
  leaving.state = MachineState::Leaving;
  for (int list = 0; list < 3; ++list) {
    fleet.list({engineMachine("a"), leaving, engineMachine("c")});
    const auto announcements = fleet.table.takeAnnouncements();
    REQUIRE(announcements.size() == 1);
    CHECK(announcements[0].name == "b");
    CHECK(announcements[0].leaving);
    CHECK(announcements[0].incarnation == kMachineIncarnation);
    CHECK(announcements[0].listed_at_ms == 1);
  }
}

TEST_CASE("a mark of a peer's machine list applies to each later process of the machine", "[engine_table]") {
  Fleet fleet;
  const EngineRecord mark{"a", kMachineIncarnation, true, false, 10};
  fleet.table.onGossip(mark, kStart);
  for (const std::uint64_t incarnation : {6, 7, 8}) {
    fleet.table.onReport("a", report(incarnation), kStart);
    CHECK(fleet.view("a").state == EngineState::Leaving);
  }
  CHECK(fleet.view("b").state == EngineState::Live);
}

TEST_CASE("the newest of the own and the peers' machine lists applies", "[engine_table]") {
  Fleet fleet;
  const auto listAt = [&](std::uint64_t as_of_ms) {
    fleet.table.onMachineList({as_of_ms, {engineMachine("a"), engineMachine("b")}}, kStart);
  };
  fleet.table.onGossip({"a", kMachineIncarnation, true, false, 10}, kStart);
  listAt(9);
  CHECK(fleet.view("a").state == EngineState::Leaving);
  fleet.table.onGossip({"a", kMachineIncarnation, false, false, 8}, kStart);
  CHECK(fleet.view("a").state == EngineState::Leaving);
  SECTION("a newer own list removes the mark") {
    listAt(11);
    CHECK(fleet.view("a").state == EngineState::Live);
    fleet.table.onGossip({"a", kMachineIncarnation, true, false, 10}, kStart);
    CHECK(fleet.view("a").state == EngineState::Live);
  }
  SECTION("a newer list of a peer removes the mark") {
    fleet.table.onGossip({"a", kMachineIncarnation, false, false, 11}, kStart);
    CHECK(fleet.view("a").state == EngineState::Live);
  }
}

TEST_CASE("the removal of a leaving mark by the list is announced", "[engine_table]") {
  Fleet fleet;
  fleet.table.onMachineList({2, {engineMachine("a", MachineState::Leaving)}}, kStart);
  fleet.table.takeAnnouncements();
  fleet.table.onMachineList({3, {engineMachine("a")}}, kStart);
  const auto announcements = fleet.table.takeAnnouncements();
  REQUIRE(announcements.size() == 1);
  CHECK_FALSE(announcements[0].leaving);
  CHECK(announcements[0].incarnation == kMachineIncarnation);
  CHECK(announcements[0].listed_at_ms == 3);
}

TEST_CASE("a peer's report that an engine is dead only causes a poll", "[engine_table]") {
  Fleet fleet;
  fleet.table.duePolls(kStart);
  for (const char* name : {"a", "b", "c"}) fleet.table.onReport(name, report(5), kStart);
  fleet.table.onGossip({"b", 5, false, true}, kStart);
  CHECK(fleet.view("b").state == EngineState::Live);
  const auto polls = fleet.table.duePolls(kStart);
  REQUIRE(polls.size() == 1);
  CHECK(polls[0].name == "b");
  fleet.table.onPollFailed("b", PollFailure::Refused, kStart);
  CHECK(fleet.view("b").state == EngineState::Dead);
}

TEST_CASE("an unresponsive engine is ejected at its first timeout and dead after three", "[engine_table]") {
  Fleet fleet;
  fleet.table.onPollFailed("a", PollFailure::TimedOut, kStart);
  CHECK(fleet.view("a").state == EngineState::Ejected);
  fleet.table.onPollFailed("a", PollFailure::TimedOut, kStart);
  fleet.table.onPollFailed("a", PollFailure::TimedOut, kStart);
  CHECK(fleet.view("a").state == EngineState::Dead);
  fleet.table.onReport("a", report(5), kStart + 10s);
  CHECK(fleet.view("a", kStart + 10s).state == EngineState::Live);
}

TEST_CASE("an engine that fails dispatches is ejected, for longer when it fails on probation",
          "[engine_table]") {
  Fleet fleet;
  const EngineSlot slot = fleet.view("a").slot;
  const EngineOutcome lost{slot, 5, OutcomeKind::Lost, Duration(0)};
  fleet.table.onOutcome(lost, kStart);
  CHECK(fleet.view("a").state == EngineState::Live);
  fleet.table.onOutcome(lost, kStart);
  fleet.table.onOutcome(lost, kStart);
  CHECK(fleet.view("a").state == EngineState::Ejected);
  const TimePoint reinstated = kStart + 3s;
  CHECK(fleet.view("a", reinstated).state == EngineState::Live);
  fleet.table.onOutcome(lost, reinstated);
  CHECK(fleet.view("a", reinstated + 3s).state == EngineState::Ejected);
  const EngineOutcome previous_incarnation{slot, 4, OutcomeKind::Lost, Duration(0)};
  for (int count = 0; count < 5; ++count) fleet.table.onOutcome(previous_incarnation, reinstated + 5s);
  CHECK(fleet.view("a", reinstated + 5s).state == EngineState::Live);
}

TEST_CASE("a single slow engine of a pool is ejected, a uniformly slow pool is not", "[engine_table]") {
  Fleet fleet;
  const auto respond = [&](const std::string& name, Duration lateness) {
    for (int count = 0; count < 10; ++count) {
      fleet.table.onOutcome({fleet.view(name).slot, 5, OutcomeKind::Answered, lateness}, kStart);
    }
  };
  respond("b", 3s);
  respond("c", 3s);
  respond("a", 3s);
  CHECK(fleet.view("a").state == EngineState::Live);
  fleet.list({engineMachine("a"), engineMachine("b"), engineMachine("c"), engineMachine("d")});
  fleet.table.onReport("d", report(5), kStart);
  respond("d", 20s);
  CHECK(fleet.view("d").state == EngineState::Ejected);
}

TEST_CASE("engines of other regions are offered only for pools that the own region cannot serve",
          "[engine_table]") {
  Fleet fleet;
  fleet.list({engineMachine("a"), engineMachine("b"), engineMachine("c"),
              engineMachine("far", MachineState::Live, "west")});
  fleet.table.onReport("far", report(9), kStart);
  CHECK(fleet.table.engines(kStart).size() == 3);
  for (const char* name : {"a", "b", "c"}) fleet.table.onPollFailed(name, PollFailure::Refused, kStart);
  CHECK(fleet.view("far").state == EngineState::Live);
}

TEST_CASE("a peer's back ends are used only until a machine list is received", "[engine_table]") {
  Fleet fleet;
  fleet.table.onGossip({"b", 5, true, false}, kStart);
  EngineTable restarted({"east"}, 2);
  restarted.onPeerBackends(fleet.table.backends(), kStart);
  restarted.onReport("a", report(5), kStart);
  restarted.onReport("b", report(5), kStart);
  CHECK(restarted.engines(kStart).size() == 3);
  CHECK(restarted.engines(kStart)[0].state == EngineState::Live);
  CHECK(restarted.engines(kStart)[1].state == EngineState::Leaving);
  restarted.onMachineList({1, {engineMachine("a")}}, kStart);
  restarted.onPeerBackends({{"z", "z:1", "zone", "east", "pool", false, false}}, kStart);
  CHECK(restarted.engines(kStart).size() == 3);
}

TEST_CASE("polling two thousand engines stays within its rate", "[engine_table]") {
  EngineTable table({"east"}, 1);
  std::vector<Machine> machines;
  for (int index = 0; index < 2000; ++index) machines.push_back(engineMachine("e" + std::to_string(index)));
  table.onMachineList({1, machines}, kStart);
  for (const Machine& machine : machines) table.onReport(machine.name, report(5), kStart);
  std::size_t polls = 0;
  for (TimePoint now = kStart; now < kStart + 400s; now += 100ms) {
    for (const BackendPoll& poll : table.duePolls(now)) {
      // Polls are counted after the first half, which spreads them over time.
      if (now >= kStart + 200s) ++polls;
      LoadReport load;
      load.measured_at = now;
      if (poll.kind == BackendPoll::Kind::EngineInfo) table.onReport(poll.name, report(5), now);
      if (poll.kind == BackendPoll::Kind::EngineLoad) table.onLoad(poll.name, 5, load, now);
    }
  }
  CHECK(polls < 200 * (25 + 8) * 1.2);
}
