#include "sim/world/fleet_view.h"

#include <algorithm>
#include <utility>

namespace crankspur::sim {

namespace {
constexpr std::uint32_t kPollsUntilDead = 3;
}  // namespace

EngineView* FleetView::find(const std::string& name) {
  for (std::vector<EngineView>* group : {&engines_, &runners_}) {
    for (EngineView& view : *group) {
      if (view.name == name) return &view;
    }
  }
  return nullptr;
}

void FleetView::onMachines(const MachineList& machines) {
  for (const ListedMachine& machine : machines) {
    if (machine.role == MachineRole::Router) continue;
    if (find(machine.name) == nullptr) add(machine);
    if (machine.leaving) setLeaving(*find(machine.name), true);
  }
}

void FleetView::add(const ListedMachine& machine) {
  std::vector<EngineView>& group = machine.role == MachineRole::Engine ? engines_ : runners_;
  EngineView view;
  view.slot = static_cast<EngineSlot>(group.size());
  view.name = machine.name;
  view.address = machine.name;
  view.zone = machine.place.zone;
  view.region = machine.place.region;
  view.pool = machine.pool;
  view.state = EngineState::Dead;
  group.push_back(std::move(view));
  changed_ = true;
}

void FleetView::setLeaving(EngineView& view, bool announce) {
  Knowledge& knowledge = knowledge_[view.name];
  if (knowledge.leaving) return;
  knowledge.leaving = true;
  if (view.state == EngineState::Live) view.state = EngineState::Leaving;
  changed_ = true;
  if (announce) announcements_.push_back({view.name, view.incarnation, true, false});
}

void FleetView::takeIncarnation(EngineView& view, std::uint64_t incarnation) {
  Knowledge& knowledge = knowledge_[view.name];
  knowledge.failed_polls = 0;
  const bool restarted = view.incarnation != incarnation;
  if (restarted) {
    changed_ = true;
    view.incarnation = incarnation;
    announcements_.push_back({view.name, incarnation, knowledge.leaving, false});
  }
  const EngineState state = knowledge.leaving ? EngineState::Leaving : EngineState::Live;
  if (view.state != state) changed_ = true;
  view.state = state;
}

void FleetView::onEnginePoll(const std::string& name, const EnginePoll& poll, TimePoint now) {
  EngineView* view = find(name);
  if (view == nullptr) return;
  if (poll.info.leaving) setLeaving(*view, true);
  takeIncarnation(*view, poll.info.incarnation);
  view->models.clear();
  for (const standin::ServedModel& model : poll.info.models) {
    view->models.push_back({model.model, model.weights_version, model.adapters});
  }
  LoadReport& load = view->load;
  load.measured_at = now - poll.load.age;
  load.queued_tokens = poll.load.queued_tokens;
  load.queued_requests = poll.load.queued_requests;
  load.running_requests = poll.load.running_requests;
  load.batch_limit = poll.load.batch_limit;
  load.cache_blocks_total = poll.load.cache_blocks_total;
  load.cache_blocks_used = poll.load.cache_blocks_used;
  load.prefill_tokens_per_second = poll.load.prefill_tokens_per_second;
  changed_ = true;
}

void FleetView::onRunnerPoll(const std::string& name, const RunnerPoll& poll) {
  EngineView* view = find(name);
  if (view == nullptr) return;
  if (poll.leaving) setLeaving(*view, true);
  takeIncarnation(*view, poll.incarnation);
}

void FleetView::onPollFailed(const std::string& name) {
  EngineView* view = find(name);
  if (view == nullptr || ++knowledge_[name].failed_polls < kPollsUntilDead) return;
  if (view->state == EngineState::Dead) return;
  view->state = EngineState::Dead;
  changed_ = true;
}

void FleetView::onEngineRecord(const EngineRecord& record) {
  EngineView* view = find(record.name);
  if (view == nullptr) return;
  if (record.leaving) setLeaving(*view, false);
}

std::vector<EngineRecord> FleetView::takeAnnouncements() {
  return std::exchange(announcements_, {});
}

std::shared_ptr<const RoutingSnapshot> FleetView::makeSnapshot(std::shared_ptr<const Bundle> bundle,
                                                               const Place& place,
                                                               std::uint32_t router_count) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->bundle = std::move(bundle);
  snapshot->engines = engines_;
  snapshot->runners = runners_;
  snapshot->own_zone = place.zone;
  snapshot->own_region = place.region;
  snapshot->router_count = std::max(router_count, 1U);
  changed_ = false;
  return snapshot;
}

}  // namespace crankspur::sim
