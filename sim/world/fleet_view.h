#pragma once
/// @file The back ends as one simulated router knows them, from the machine list, polls and gossip; builds the
/// snapshots that RequestRouter decides by.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"
#include "placement/engine_view.h"
#include "sim/world/platform_node.h"
#include "standins/engine/engine_types.h"

namespace crankspur::sim {

/// Answer of one poll of an engine.
struct EnginePoll {
  standin::EngineInfo info;
  standin::EngineLoadReport load;
  standin::CacheChanges changes;
};

/// Answer of one poll of a runner.
struct RunnerPoll {
  std::uint64_t incarnation = 0;
  bool leaving = false;
};

/// Table of back ends of one router process.
class FleetView {
public:
  /// Takes the machine list. A machine that it does not name keeps its state.
  void onMachines(const MachineList& machines);
  void onEnginePoll(const std::string& name, const EnginePoll& poll, TimePoint now);
  void onRunnerPoll(const std::string& name, const RunnerPoll& poll);
  /// The back end did not answer a poll.
  void onPollFailed(const std::string& name);
  /// Takes a fact from gossip.
  void onEngineRecord(const EngineRecord& record);
  /// @return facts that peers should hear, taken once.
  std::vector<EngineRecord> takeAnnouncements();
  /// @return whether a snapshot would differ from the last one made.
  bool changed() const { return changed_; }
  std::shared_ptr<const RoutingSnapshot> makeSnapshot(std::shared_ptr<const Bundle> bundle, const Place& place,
                                                      std::uint32_t router_count);
  const std::vector<EngineView>& engines() const { return engines_; }
  const std::vector<EngineView>& runners() const { return runners_; }

private:
  struct Knowledge {
    std::uint32_t failed_polls = 0;
    bool leaving = false;
  };
  EngineView* find(const std::string& name);
  void add(const ListedMachine& machine);
  void setLeaving(EngineView& view, bool announce);
  void takeIncarnation(EngineView& view, std::uint64_t incarnation);

  std::vector<EngineView> engines_;
  std::vector<EngineView> runners_;
  std::map<std::string, Knowledge> knowledge_;
  std::vector<EngineRecord> announcements_;
  bool changed_ = false;
};

}  // namespace crankspur::sim
