#include "router/engine_table.h"

#include <algorithm>
#include <utility>

namespace crankspur {

namespace {

/// Consecutive machine lists that must omit a back end before it is considered removed.
constexpr std::uint32_t kListsUntilRemoved = 2;
/// An engine is slow when its lateness exceeds both this and kSlowFactor times the median of its pool.
constexpr double kMinSlowLateness = 1.0;
constexpr double kSlowFactor = 4.0;
/// Maximum share of a pool that may be ejected when a slow engine is to be ejected.
constexpr double kMaxEjectedShare = 0.34;

}  // namespace

const char* engineStateName(EngineState state) {
  switch (state) {
    case EngineState::Live:
      return "live";
    case EngineState::Leaving:
      return "leaving";
    case EngineState::Ejected:
      return "ejected";
    case EngineState::Dead:
      return "dead";
  }
  return "dead";
}

EngineTable::EngineTable(EngineTableOptions options, std::uint64_t random_seed)
    : options_(std::move(options)), random_(random_seed) {}

void EngineTable::onMachineList(const MachineList& list, TimePoint now) {
  list_received_ = true;
  last_list_ms_ = list.as_of_ms;
  std::set<std::string> listed;
  for (const Machine& machine : list.machines) {
    const bool backend = machine.role == MachineRole::Engine || machine.role == MachineRole::Runner;
    if (!backend) continue;
    listed.insert(machine.name);
    updateMachine(machine, list.as_of_ms, now);
  }
  removeUnlisted(listed, now);
  updateInfoCounts();
}

void EngineTable::updateMachine(const Machine& machine, std::uint64_t as_of_ms, TimePoint now) {
  Entry* known = find(machine.name);
  if (known == nullptr) {
    Entry entry;
    entry.runner = machine.role == MachineRole::Runner;
    entry.view.name = machine.name;
    entry.view.slot = slots_.take(now);
    known = &entries_.emplace(machine.name, std::move(entry)).first->second;
    urgent_ = true;
  }
  Entry& entry = *known;
  entry.missing_from_lists = 0;
  const bool leaving = machine.state == MachineState::Leaving;
  const bool address_changed = entry.view.address != machine.address;
  const bool changed = address_changed || entry.listed_leaving != leaving || entry.view.pool != machine.pool;
  if (address_changed) {
    entry.health.reset();
    entry.next_info_at = now;
  }
  entry.view.address = machine.address;
  entry.view.zone = machine.zone;
  entry.view.region = machine.region;
  entry.view.pool = machine.pool;
  const bool leaving_changed = entry.listed_leaving != leaving;
  entry.listed_leaving = leaving;
  if (leaving_changed || entry.listed_at_ms == 0) entry.listed_at_ms = as_of_ms;
  if (as_of_ms > entry.peer_list_at_ms) entry.peer_list_leaving = false;
  urgent_ = urgent_ || changed;
  // Repeated with each list: routers that cannot read the list receive the mark by gossip only, and gossip
  // may be lost.
  if (leaving || leaving_changed) announceMachine(entry);
}

void EngineTable::removeUnlisted(const std::set<std::string>& listed, TimePoint now) {
  for (auto position = entries_.begin(); position != entries_.end();) {
    Entry& entry = position->second;
    if (listed.contains(position->first)) {
      ++position;
      continue;
    }
    if (++entry.missing_from_lists == kListsUntilRemoved) urgent_ = true;
    const bool removed = entry.missing_from_lists >= kListsUntilRemoved;
    const HealthState health = entry.health.state(now);
    if (removed && (health == HealthState::Dead || health == HealthState::Untried)) {
      slots_.free(entry.view.slot, now);
      position = entries_.erase(position);
      urgent_ = true;
      continue;
    }
    ++position;
  }
}

void EngineTable::onPeerBackends(const std::vector<BackendRecord>& backends, TimePoint now) {
  if (list_received_) return;
  for (const BackendRecord& backend : backends) {
    if (find(backend.name) != nullptr) continue;
    Machine machine;
    machine.name = backend.name;
    machine.role = backend.runner ? MachineRole::Runner : MachineRole::Engine;
    machine.pool = backend.pool;
    machine.address = backend.address;
    machine.zone = backend.zone;
    machine.region = backend.region;
    machine.state = backend.leaving ? MachineState::Leaving : MachineState::Live;
    updateMachine(machine, 0, now);
  }
  updateInfoCounts();
}

std::vector<BackendRecord> EngineTable::backends() const {
  std::vector<BackendRecord> records;
  for (const auto& [name, entry] : entries_) {
    const EngineView& view = entry.view;
    records.push_back(
        {name, view.address, view.zone, view.region, view.pool, entry.runner, entry.markedLeaving()});
  }
  return records;
}

void EngineTable::onReport(const std::string& name, const BackendReport& report, TimePoint now) {
  Entry* entry = find(name);
  if (entry == nullptr) return;
  entry->info_running = false;
  const bool was_dead = entry->health.state(now) == HealthState::Dead;
  entry->health.onPollSucceeded(now);
  updateIncarnation(*entry, report.incarnation, now);
  const bool newly_leaving = report.leaving && !entry->reported_leaving;
  urgent_ = urgent_ || was_dead || newly_leaving || entry->view.role != report.role;
  const auto same_model = [](const LoadedModel& left, const LoadedModel& right) {
    return left.model == right.model && left.weights_version == right.weights_version &&
           left.adapters == right.adapters;
  };
  const bool same_models = std::equal(entry->view.models.begin(), entry->view.models.end(),
                                      report.models.begin(), report.models.end(), same_model);
  urgent_ = urgent_ || !same_models;
  entry->view.role = report.role;
  entry->view.models = report.models;
  entry->reported_leaving = entry->reported_leaving || report.leaving;
  if (entry->view.load.batch_limit == 0) {
    entry->view.load.batch_limit = report.batch_limit;
    entry->view.load.cache_blocks_total = report.cache_blocks_total;
  }
  if (!newly_leaving) return;
  announce(*entry, false);
  if (pollClass(*entry) == InfoPollClass::Owned) urgent_announcements_.push_back(recordOf(*entry, false));
}

void EngineTable::updateIncarnation(Entry& entry, std::uint64_t incarnation, TimePoint now) {
  if (entry.view.incarnation == incarnation) return;
  const bool restarted = entry.view.incarnation != 0;
  entry.view.incarnation = incarnation;
  entry.view.models.clear();
  entry.view.load = LoadReport();
  entry.view.load.measured_at = now;
  entry.reported_leaving = incarnation != 0 && entry.leaving_incarnation == incarnation;
  entry.next_load_at = now;
  urgent_ = true;
  if (!restarted) return;
  entry.health.reset();
  entry.health.onPollSucceeded(now);
  announce(entry, false);
}

void EngineTable::onLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load,
                         TimePoint now) {
  Entry* entry = find(name);
  if (entry == nullptr) return;
  entry->load_running = false;
  updateLoad(*entry, incarnation, load, now);
}

void EngineTable::onPeerEngineLoad(const std::string& name, std::uint64_t incarnation, const LoadReport& load,
                                   TimePoint now) {
  Entry* entry = find(name);
  if (entry != nullptr && polled_by_peers_.contains(name)) updateLoad(*entry, incarnation, load, now);
}

void EngineTable::updateLoad(Entry& entry, std::uint64_t incarnation, const LoadReport& load, TimePoint now) {
  if (incarnation != entry.view.incarnation) {
    entry.next_info_at = now;
    return;
  }
  if (load.measured_at < entry.view.load.measured_at) return;
  const LoadReport previous = entry.view.load;
  entry.view.load = load;
  // A peer's digest contains only the queue; the other values remain as last reported.
  if (load.batch_limit == 0) {
    entry.view.load.batch_limit = previous.batch_limit;
    entry.view.load.cache_blocks_total = previous.cache_blocks_total;
    entry.view.load.cache_blocks_used = previous.cache_blocks_used;
    entry.view.load.prefill_tokens_per_second = previous.prefill_tokens_per_second;
  }
  loads_changed_ = true;
}

void EngineTable::onPollFailed(const std::string& name, PollFailure failure, TimePoint now) {
  Entry* entry = find(name);
  if (entry == nullptr) return;
  entry->info_running = false;
  entry->load_running = false;
  const bool was_dead = entry->health.state(now) == HealthState::Dead;
  entry->health.onPollFailed(failure, now);
  const bool is_dead = entry->health.state(now) == HealthState::Dead;
  if (is_dead && !was_dead && entry->view.incarnation != 0) announce(*entry, true);
}

void EngineTable::onGossip(const EngineRecord& record, TimePoint now) {
  Entry* entry = find(record.name);
  if (entry == nullptr) return;
  if (record.incarnation == kMachineIncarnation) {
    onMachineGossip(*entry, record);
    return;
  }
  if (record.incarnation != entry->view.incarnation) {
    // Incarnations are chosen by the engine and have no order, so the engine is polled to determine the
    // current one. A leaving mark is kept until that incarnation is observed, because the engine may not know
    // of it.
    if (record.leaving) entry->leaving_incarnation = record.incarnation;
    entry->next_info_at = now;
    return;
  }
  if (record.leaving && !entry->reported_leaving) {
    entry->reported_leaving = true;
    urgent_ = true;
  }
  if (record.dead && entry->health.state(now) == HealthState::Healthy) {
    // The sender may be partitioned itself. An immediate poll by this router decides.
    entry->next_info_at = now;
  }
}

/// Applies the state of a machine in a peer's machine list. It applies to every process of the machine,
/// because a router that cannot read the list itself may observe several new incarnations before it receives
/// a mark for any of them.
void EngineTable::onMachineGossip(Entry& entry, const EngineRecord& record) {
  const bool own_list_is_newer = last_list_ms_ > record.listed_at_ms;
  if (own_list_is_newer || record.listed_at_ms < entry.peer_list_at_ms) return;
  urgent_ = urgent_ || entry.peer_list_leaving != record.leaving;
  entry.peer_list_leaving = record.leaving;
  entry.peer_list_at_ms = record.listed_at_ms;
}

void EngineTable::onOutcome(const EngineOutcome& outcome, TimePoint now) {
  Entry* entry = findSlot(outcome.slot);
  if (entry == nullptr || entry->view.incarnation != outcome.incarnation) return;
  entry->health.onOutcome(outcome.kind, outcome.lateness, now);
  if (outcome.kind == OutcomeKind::Answered) {
    ejectIfSlow(*entry, now);
  } else {
    entry->next_info_at = now;
  }
}

void EngineTable::ejectIfSlow(Entry& entry, TimePoint now) {
  if (!entry.health.latenessKnown() || entry.health.lateness() < kMinSlowLateness) return;
  std::vector<double> lateness;
  std::size_t pool_size = 0;
  std::size_t ejected = 0;
  for (const auto& [name, other] : entries_) {
    if (other.runner || other.view.pool != entry.view.pool) continue;
    ++pool_size;
    if (other.health.state(now) == HealthState::Ejected) ++ejected;
    if (&other != &entry && other.health.latenessKnown()) lateness.push_back(other.health.lateness());
  }
  const bool too_many = static_cast<double>(ejected + 1) > kMaxEjectedShare * static_cast<double>(pool_size);
  if (lateness.empty() || too_many) return;
  const auto median = lateness.begin() + static_cast<std::ptrdiff_t>(lateness.size() / 2);
  std::nth_element(lateness.begin(), median, lateness.end());
  if (entry.health.lateness() > kSlowFactor * *median) entry.health.eject(now);
}

EngineState EngineTable::stateOf(const Entry& entry, TimePoint now) const {
  const HealthState health = entry.health.state(now);
  if (health == HealthState::Dead || health == HealthState::Untried) return EngineState::Dead;
  const bool unlisted = entry.missing_from_lists >= kListsUntilRemoved;
  if (entry.markedLeaving() || unlisted) return EngineState::Leaving;
  return health == HealthState::Ejected ? EngineState::Ejected : EngineState::Live;
}

EngineView EngineTable::viewOf(const Entry& entry, TimePoint now) const {
  EngineView view = entry.view;
  view.state = stateOf(entry, now);
  return view;
}

std::set<std::string> EngineTable::servedPools(TimePoint now) const {
  std::set<std::string> pools;
  for (const auto& [name, entry] : entries_) {
    const EngineState state = stateOf(entry, now);
    const bool usable = state == EngineState::Live || state == EngineState::Ejected;
    if (usable && inLocalRegion(entry)) pools.insert(entry.view.pool);
  }
  return pools;
}

std::vector<EngineView> EngineTable::engines(TimePoint now) const {
  const std::set<std::string> served_pools = servedPools(now);
  std::vector<EngineView> views;
  for (const auto& [name, entry] : entries_) {
    if (entry.runner) continue;
    if (inLocalRegion(entry) || !served_pools.contains(entry.view.pool)) views.push_back(viewOf(entry, now));
  }
  std::sort(views.begin(), views.end(),
            [](const EngineView& left, const EngineView& right) { return left.slot < right.slot; });
  return views;
}

std::vector<EngineView> EngineTable::allEngines(TimePoint now) const {
  std::vector<EngineView> views;
  for (const auto& [name, entry] : entries_) {
    if (!entry.runner) views.push_back(viewOf(entry, now));
  }
  return views;
}

std::vector<EngineView> EngineTable::runners(TimePoint now) const {
  std::vector<EngineView> views;
  for (const auto& [name, entry] : entries_) {
    if (entry.runner) views.push_back(viewOf(entry, now));
  }
  return views;
}

std::string EngineTable::nameOf(EngineSlot slot) const {
  for (const auto& [name, entry] : entries_) {
    if (entry.view.slot == slot) return name;
  }
  return {};
}

bool EngineTable::takeUrgentChange(TimePoint now) {
  for (auto& [name, entry] : entries_) {
    const EngineState state = stateOf(entry, now);
    if (state == entry.last_state) continue;
    changes_.push_back({name, entry.last_state, state, entry.view.incarnation});
    entry.last_state = state;
    urgent_ = true;
  }
  return std::exchange(urgent_, false);
}

bool EngineTable::takeLoadsChanged() {
  return std::exchange(loads_changed_, false);
}

std::vector<EngineRecord> EngineTable::takeAnnouncements() {
  return std::exchange(announcements_, {});
}

std::vector<EngineRecord> EngineTable::takeUrgentAnnouncements() {
  return std::exchange(urgent_announcements_, {});
}

std::vector<BackendChange> EngineTable::takeChanges() {
  return std::exchange(changes_, {});
}

void EngineTable::announce(const Entry& entry, bool dead) {
  if (entry.view.incarnation != 0) announcements_.push_back(recordOf(entry, dead));
}

void EngineTable::announceMachine(const Entry& entry) {
  if (entry.listed_at_ms == 0) return;  // Received from a peer, not from a machine list.
  announcements_.push_back(
      {entry.view.name, kMachineIncarnation, entry.listed_leaving, false, entry.listed_at_ms});
}

EngineRecord EngineTable::recordOf(const Entry& entry, bool dead) {
  return {entry.view.name, entry.view.incarnation, entry.reported_leaving, dead};
}

EngineTable::Entry* EngineTable::find(const std::string& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

EngineTable::Entry* EngineTable::findSlot(EngineSlot slot) {
  for (auto& [name, entry] : entries_) {
    if (entry.view.slot == slot) return &entry;
  }
  return nullptr;
}

}  // namespace crankspur
