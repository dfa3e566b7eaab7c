#include "gateway_control/fleet_view.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/hash.h"

namespace crankspur::gateway {

namespace {

/// An entry that disappears around a platform failure counts as removed only after this time since the
/// failure, so that a healthy back end can write it again.
constexpr Duration kPlatformFailureGrace = std::chrono::milliseconds(2'800);
/// The grace period ends this long before the departure limit, for the publication of the change and the way
/// of the last requests to the back end.
constexpr Duration kDepartureMargin = std::chrono::milliseconds(200);
/// A removed back end is kept for this time because its runs may still continue.
constexpr Duration kRetention = std::chrono::seconds(30);
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(500);
constexpr Duration kMaxAvoidance = std::chrono::seconds(4);
/// A failure this long after the previous one restarts the failure count.
constexpr Duration kFailureStreakTimeout = std::chrono::seconds(10);
/// A report that a back end is unresponsive expires after this time; the follower of its cache polls about
/// every 0.9 s.
constexpr Duration kUnresponsiveLifetime = std::chrono::milliseconds(2'000);
/// For this time after a version was observed, an older one in a list is ignored, because lists lag behind.
constexpr Duration kListLag = std::chrono::seconds(3);

/// Replaces a listed version by the previously known one if that is newer.
void keepNewerVersion(LoadedModel& loaded, const std::vector<LoadedModel>& previous_models) {
  for (const LoadedModel& before : previous_models) {
    const bool newer =
        weightsVersionNumber(before.weights_version) > weightsVersionNumber(loaded.weights_version);
    if (before.model == loaded.model && newer) loaded.weights_version = before.weights_version;
  }
}

}  // namespace

std::string_view nameOf(StateSource source) {
  switch (source) {
    case StateSource::list:
      return "list";
    case StateSource::own_traffic:
      return "own_traffic";
    case StateSource::report:
      return "report";
    case StateSource::order:
      return "order";
    case StateSource::elapsed_time:
      return "elapsed_time";
  }
  return "list";
}

std::uint64_t weightsVersionNumber(const std::string& version) {
  std::uint64_t number = 0;
  const auto result = std::from_chars(version.data(), version.data() + version.size(), number);
  return result.ec == std::errc() && result.ptr == version.data() + version.size() ? number : 0;
}

void FleetView::onListed(const ListedBackend& listed, TimePoint now) {
  const auto [position, added] = entries_.try_emplace(listed.id);
  Entry& entry = position->second;
  EngineView& view = entry.backend.view;
  if (added) {
    view.slot = slots_.take(now);
    view.name = listed.id;
    view.incarnation = std::max<std::uint64_t>(1, hashBytes(listed.id));
  }
  if (added || view.address != listed.address) {
    entry.first_version = listed.entry_version;
    entry.added_order = ++entries_added_;
  }
  view.address = listed.address;
  view.zone = listed.zone;
  view.pool = listed.pool;
  entry.backend.build = listed.build;
  entry.backend.slots = listed.slots;
  entry.backend.is_kv_store = listed.is_kv_store;
  entry.backend.link_bits_per_second = listed.link_bits_per_second;
  view.load.batch_limit = listed.slots;
  entry.backend.cold_until = listed.cold_left > Duration(0) ? now + listed.cold_left : TimePoint{};
  entry.listed = true;
  entry.draining = listed.draining;
  const std::vector<LoadedModel> previous_models = std::exchange(view.models, listed.models);
  const bool list_lags = now - entry.weights_observed_at < kListLag && !added;
  if (list_lags) {
    for (LoadedModel& loaded : view.models) keepNewerVersion(loaded, previous_models);
  }
  recordListedWeights(entry, previous_models);
}

void FleetView::raiseWeights(Entry& entry, const std::string& model, const std::string& version,
                             StateSource source) {
  for (LoadedModel& loaded : entry.backend.view.models) {
    const bool newer = weightsVersionNumber(version) > weightsVersionNumber(loaded.weights_version);
    if (loaded.model != model || !newer) continue;
    weights_changes_.push_back({entry.backend.view.name, model, loaded.weights_version, version, source});
    loaded.weights_version = version;
  }
}

void FleetView::recordListedWeights(const Entry& entry, const std::vector<LoadedModel>& previous_models) {
  const EngineView& view = entry.backend.view;
  for (const LoadedModel& before : previous_models) {
    const std::string version = view.weightsOf(before.model);
    if (version == before.weights_version) continue;
    weights_changes_.push_back({view.name, before.model, before.weights_version, version, StateSource::list});
  }
}

std::vector<WeightsChange> FleetView::takeWeightsChanges() {
  return std::exchange(weights_changes_, {});
}

void FleetView::onRemoved(const std::string& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.listed) return;
  Entry& entry = found->second;
  entry.listed = false;
  entry.unlisted_at = now;
  const bool may_be_healthy =
      platform_has_failed_ && now - platform_failed_at_ < kPlatformFailureGrace && !entry.draining;
  const TimePoint grace_end =
      std::min(platform_failed_at_ + kPlatformFailureGrace, now + departure_limit_ - kDepartureMargin);
  entry.leaving_from = may_be_healthy ? std::max(grace_end, now) : now;
}

void FleetView::onFullList(const std::vector<std::string>& ids, TimePoint now) {
  const std::set<std::string> listed(ids.begin(), ids.end());
  std::vector<std::string> removed;
  for (const auto& [id, entry] : entries_) {
    if (entry.listed && !entry.backend.is_kv_store && !listed.contains(id)) removed.push_back(id);
  }
  for (const std::string& id : removed) onRemoved(id, now);
}

void FleetView::onPlatformFailure(TimePoint now) {
  platform_has_failed_ = true;
  platform_failed_at_ = now;
}

void FleetView::onUnreachable(EngineSlot slot, std::uint64_t incarnation, TimePoint now) {
  Entry* entry = findSlot(slot, incarnation);
  if (entry == nullptr || now < entry->avoided_until) return;
  entry->failures = now - entry->last_failure < kFailureStreakTimeout ? entry->failures + 1 : 1;
  entry->last_failure = now;
  const std::uint32_t doublings = std::min<std::uint32_t>(entry->failures - 1, 8);
  entry->avoided_until = now + std::min(kMaxAvoidance, kInitialAvoidance * (1U << doublings));
}

void FleetView::UnresponsiveTime::extend(TimePoint reported_since, TimePoint now) {
  if (!includes(now)) since = reported_since;
  until = now + kUnresponsiveLifetime;
}

bool FleetView::UnresponsiveTime::end(TimePoint now) {
  const bool included = includes(now);
  if (included) until = now;
  return included;
}

void FleetView::onUnresponsive(const std::string& id, TimePoint since, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  found->second.unresponsive.extend(since, now);
  found->second.responded_at = TimePoint{};
}

bool FleetView::onResponsive(const std::string& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  found->second.reported_unresponsive.end(now);
  return found->second.unresponsive.end(now);
}

bool FleetView::onResponse(const std::string& id, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  const bool known = answersCalls(found->second, now);
  found->second.responded_at = now;
  return !known;
}

void FleetView::onUnresponsiveReport(const std::string& id, TimePoint since, TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) found->second.reported_unresponsive.extend(since, now);
}

bool FleetView::onResponsiveReport(const std::string& id, TimePoint now) {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.reported_unresponsive.end(now);
}

bool FleetView::isMostlyUnresponsive(TimePoint now) const {
  std::size_t called = 0;
  std::size_t unresponsive = 0;
  for (const auto& [id, entry] : entries_) {
    const bool is_unresponsive = entry.unresponsive.includes(now);
    called += is_unresponsive || answersCalls(entry, now) ? 1 : 0;
    unresponsive += is_unresponsive ? 1 : 0;
  }
  return unresponsive * 2 >= called;
}

bool FleetView::answersCalls(const Entry& entry, TimePoint now) {
  return entry.responded_at != TimePoint{} && now - entry.responded_at < kUnresponsiveLifetime;
}

void FleetView::onWeights(const std::string& id, const std::string& model, const std::string& version,
                          TimePoint now, StateSource source) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  raiseWeights(found->second, model, version, source);
  found->second.weights_observed_at = now;
}

void FleetView::onWeightsOfSlot(EngineSlot slot, std::uint64_t incarnation, const std::string& version,
                                TimePoint now) {
  Entry* entry = findSlot(slot, incarnation);
  if (entry == nullptr || entry->backend.view.models.size() != 1) return;
  const std::string model = entry->backend.view.models.front().model;
  onWeights(entry->backend.view.name, model, version, now, StateSource::own_traffic);
}

void FleetView::onLoading(const std::string& id, TimePoint until) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) found->second.loading_until = until;
}

void FleetView::onLoadReport(const std::string& id, const LoadReport& load, TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  LoadReport& current = found->second.backend.view.load;
  const std::uint32_t limit = current.batch_limit;
  current = load;
  current.batch_limit = limit;
  current.measured_at = now;
}

FleetView::Entry* FleetView::findSlot(EngineSlot slot, std::uint64_t incarnation) {
  for (auto& [id, entry] : entries_) {
    const EngineView& view = entry.backend.view;
    if (view.slot == slot && view.incarnation == incarnation) return &entry;
  }
  return nullptr;
}

/// The order in which entries are received tells little: a complete list is sorted by id, and a list may lag
/// behind. It decides only between entries without a version. The first version of an entry is used, since a
/// delayed write may follow the end of its back end.
bool FleetView::startedBefore(const Entry& entry, const Entry& other) {
  return std::pair(entry.first_version, entry.added_order) <
         std::pair(other.first_version, other.added_order);
}

/// @return the listed entry of each address that started last.
FleetView::NewestByAddress FleetView::newestListed() const {
  NewestByAddress newest;
  newest.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    if (!entry.listed) continue;
    const auto [position, added] = newest.try_emplace(entry.backend.view.address, &entry);
    if (!added && startedBefore(*position->second, entry)) position->second = &entry;
  }
  return newest;
}

/// Only a listed entry supersedes another one: the entry of a back end that has ended lapses.
bool FleetView::isSuperseded(const Entry& entry, const NewestByAddress& newest) {
  const auto found = newest.find(entry.backend.view.address);
  return found != newest.end() && startedBefore(entry, *found->second);
}

FleetView::EvaluatedState FleetView::evaluate(const Entry& entry, const NewestByAddress& newest,
                                              TimePoint now) {
  if (isSuperseded(entry, newest)) return {EngineState::Dead, "address_taken_over", StateSource::list};
  if (entry.draining) return {EngineState::Leaving, "draining", StateSource::list};
  if (!entry.listed && now >= entry.leaving_from)
    return {EngineState::Leaving, "unlisted", StateSource::list};
  if (now < entry.loading_until && entry.backend.is_kv_store) {
    return {EngineState::Ejected, "silent", StateSource::report};
  }
  if (now < entry.loading_until) return {EngineState::Ejected, "loading_weights", StateSource::order};
  if (now < entry.avoided_until) return {EngineState::Ejected, "unreachable", StateSource::own_traffic};
  if (entry.last_state == EngineState::Ejected) {
    return {EngineState::Live, "tried_again", StateSource::elapsed_time};
  }
  return {EngineState::Live, "listed", StateSource::list};
}

std::vector<Backend> FleetView::backends(TimePoint now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const Entry& entry = item.second;
    const bool expired = !entry.listed && now - std::max(entry.leaving_from, entry.unlisted_at) >= kRetention;
    if (expired) slots_.free(entry.backend.view.slot, now);
    return expired;
  });
  const NewestByAddress newest = newestListed();
  std::vector<Backend> backends;
  backends.reserve(entries_.size());
  for (auto& [id, entry] : entries_) {
    const auto [state, cause, source] = evaluate(entry, newest, now);
    if (state != entry.last_state) {
      const bool unlisted = state == EngineState::Leaving && !entry.listed;
      const Duration kept = unlisted ? now - entry.unlisted_at : Duration(0);
      changes_.push_back({id, entry.backend.view.pool, entry.last_state, state, cause, source, kept});
      entry.last_state = state;
    }
    entry.backend.view.state = state;
    entry.backend.unresponsive_since = entry.unresponsive.startIfIncludes(now);
    entry.backend.reported_unresponsive_since = entry.reported_unresponsive.startIfIncludes(now);
    entry.backend.answers_calls = answersCalls(entry, now);
    backends.push_back(entry.backend);
  }
  std::sort(backends.begin(), backends.end(),
            [](const Backend& left, const Backend& right) { return left.view.slot < right.view.slot; });
  return backends;
}

TimePoint FleetView::nextChange(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, entry] : entries_) {
    for (const TimePoint at : {entry.avoided_until, entry.loading_until, entry.unresponsive.until,
                               entry.reported_unresponsive.until}) {
      if (at > now) next = std::min(next, at);
    }
    if (!entry.listed && entry.leaving_from > now) next = std::min(next, entry.leaving_from);
  }
  return next;
}

std::vector<FleetChange> FleetView::takeChanges() {
  return std::exchange(changes_, {});
}

}  // namespace crankspur::gateway
