#include "gateway_control/gateway_control.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/endpoint.h"
#include "base/hash.h"

namespace crankspur::gateway {

namespace {

/// A back end that received an order takes no new request for this time, about the duration of a load.
constexpr Duration kLoadingTime = std::chrono::milliseconds(1'500);
/// Deadline, counted from their discovery, for weights that were already named when this process started.
constexpr Duration kWeightsFoundMargin = std::chrono::milliseconds(4'500);

std::uint32_t milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::vector<std::string> gossipAddresses(const NodeSettings& settings) {
  std::vector<std::string> addresses;
  for (const std::string& seed : settings.seeds) {
    addresses.push_back(hostOf(seed) + ":" + portOf(settings.gossip));
  }
  return addresses;
}

/// Processor time per request in seconds. It is half of what 69 gateways took per request while each of them
/// followed caches and broadcast its load (162 s for 40,166 requests).
constexpr double kProcessorSecondsPerRequest = 0.002;
/// Bits that a request transfers over a machine's link in the busier direction: a body of 10 KB and a
/// response of a few KB each pass in and out.
constexpr double kLinkBitsPerRequest = 200'000;

/// @return requests per second that the machine can handle, limited by its processor and its link.
std::uint32_t capacityOf(const NodeSettings& settings) {
  const double by_processor =
      settings.processor_share * settings.processor_speed / kProcessorSecondsPerRequest;
  const double by_link = settings.link_megabits_per_second * 1e6 / kLinkBitsPerRequest;
  return static_cast<std::uint32_t>(std::max(1.0, std::min(by_processor, by_link)));
}

ServingOptions servingOptions(const NodeSettings& settings) {
  ServingOptions options;
  options.min_per_zone = settings.serving_least_in_zone;
  options.all_serve_up_to = settings.serving_all_up_to;
  return options;
}

GossipOptions gossipOptions(const NodeSettings& settings, std::uint64_t incarnation) {
  GossipOptions options;
  options.address = settings.gossip;
  options.zone = settings.zone;
  options.region = settings.region;
  options.incarnation = incarnation;
  options.capacity = capacityOf(settings);
  options.seeds = gossipAddresses(settings);
  options.random_seed = combineHashes(hashBytes(settings.name), incarnation);
  return options;
}

RolloutCoordinatorOptions orderOptions(const NodeSettings& settings, std::uint64_t incarnation) {
  RolloutCoordinatorOptions options;
  options.holder = settings.gossip;
  options.takeover_delay = settings.order_rest;
  options.rollout.limit = settings.weights_limit;
  options.rollout.parallel = settings.parallel_weight_loads;
  options.random_seed = combineHashes(hashBytes(settings.name, 1), incarnation);
  return options;
}

}  // namespace

GatewayControl::GatewayControl(const boost::asio::any_io_executor& executor, const NodeSettings& settings,
                               std::uint64_t incarnation, PlatformLink& platform,
                               GatewayControlOutputs outputs, EventLog& log)
    : settings_(settings),
      platform_(platform),
      outputs_(std::move(outputs)),
      log_(log),
      gossip_(executor, gossipOptions(settings, incarnation), *this),
      serving_(settings.gossip, servingOptions(settings)),
      fleet_(settings.departure_limit),
      orders_(executor, orderOptions(settings, incarnation), platform, orderCallbacks(), log),
      cache_watch_(executor, platform, cacheCallbacks()),
      crashes_(combineHashes(hashBytes(settings.name, 4), incarnation), clock_.now()),
      build_record_(combineHashes(hashBytes(settings.name, 5), incarnation), clock_.now()),
      origin_record_(gossip_.ownName(), clock_.now()),
      publish_timer_(executor),
      change_timer_(executor),
      cache_send_timer_(executor),
      received_cache_timer_(executor),
      peer_load_timer_(executor),
      serving_timer_(executor),
      crash_timer_(executor),
      build_record_timer_(executor),
      origin_record_timer_(executor),
      suspension_timer_(executor) {}

void GatewayControl::start() {
  contact_.start(now());
  list_contact_.start(now());
  member_added_at_ = now();
  gossip_.start();
  platform_.start(platformCallbacks());
  refreshServing();
  crashes_.onTimer({}, now());
  executeCrashActions();
  callBuildRecord();
  callOriginRecord();
  watchForSuspension();
}

PlatformCallbacks GatewayControl::platformCallbacks() {
  PlatformCallbacks callbacks;
  callbacks.on_configuration = [this](std::shared_ptr<const Configuration> configuration) {
    onConfiguration(std::move(configuration));
  };
  callbacks.on_weights = [this](NamedWeights named) {
    named.named_at = now();
    // Weights found at startup were named at an unknown earlier time.
    if (!contact_.isConfirmed()) named.named_at -= settings_.weights_limit - kWeightsFoundMargin;
    if (!orders_.onNamed(named)) return;
    log_.write(EventId::WeightsNamed, {{"model", named.model},
                                       {"version", named.version},
                                       {"age_ms", milliseconds(now() - named.named_at)}});
    schedulePublish();
  };
  callbacks.on_backend = [this](const ListedBackend& listed) {
    fleet_.onListed(listed, now());
    build_record_.onBackend(listed.pool, listed.build, now());
    onListChanged();
  };
  callbacks.on_backend_removed = [this](const std::string& id) {
    fleet_.onRemoved(id, now());
    onListChanged();
  };
  callbacks.on_full_list = [this](const std::vector<std::string>& ids) {
    fleet_.onFullList(ids, now());
    onListChanged();
  };
  callbacks.on_contact = [this](TimePoint as_of) { onContact(as_of); };
  callbacks.on_list_contact = [this](TimePoint as_of) { onListContact(as_of); };
  callbacks.on_failure = [this] { onPlatformFailure(); };
  callbacks.on_list_outage = [this] { fleet_.onPlatformFailure(now()); };
  callbacks.on_connections_silent = [this] { onConnectionsSilent(); };
  return callbacks;
}

RolloutCoordinatorCallbacks GatewayControl::orderCallbacks() {
  RolloutCoordinatorCallbacks callbacks;
  callbacks.backends = [this] { return backends_; };
  callbacks.rank = [this] { return rank(); };
  callbacks.holder_is_live = [this](const std::string& holder) { return isMemberLive(holder); };
  callbacks.on_report = [this](const std::string& backend, const WeightsReport& report, bool loading) {
    onWeightsReport(backend, report, loading);
  };
  callbacks.on_loading = [this](const std::string& backend) { onLoading(backend); };
  return callbacks;
}

CacheWatchCallbacks GatewayControl::cacheCallbacks() {
  CacheWatchCallbacks callbacks;
  callbacks.on_update = [this](CachedPartsUpdate update) { onOwnCacheUpdate(std::move(update)); };
  callbacks.on_unresponsive = [this](const UnresponsiveCache& cache) { onCacheUnresponsive(cache); };
  callbacks.on_response = [this](EngineSlot slot, std::uint64_t incarnation) {
    onCacheResponse(slot, incarnation);
  };
  callbacks.on_responsive = [this](EngineSlot slot, std::uint64_t incarnation) {
    onCacheResponsive(slot, incarnation);
  };
  return callbacks;
}

void GatewayControl::onBackendNote(const BackendNote& note) {
  if (note.silent_milliseconds > 0 || note.heard) return onUnresponsiveNote(note);
  orders_.onOthersActive();
  applyBackendNote(note);
}

void GatewayControl::onMembersChanged() {
  std::map<std::string, MemberRecord> present;
  for (const MemberRecord& member : gossip_.members()) present[member.name] = member;
  for (const auto& [name, member] : present) {
    const auto known = members_.find(name);
    const bool joined_before = known != members_.end() && known->second.incarnation != 0;
    if (!joined_before && member.incarnation != 0) member_added_at_ = now();
    const bool is_back = known != members_.end() && known->second.state != MemberState::Alive &&
                         member.state == MemberState::Alive;
    if (!joined_before || is_back) crashes_.onMemberJoined(now());
    const bool same = known != members_.end() && known->second.state == member.state &&
                      known->second.incarnation == member.incarnation;
    if (!same)
      logMember(member, known == members_.end() ? "unknown" : memberStateName(known->second.state),
                memberStateName(member.state));
  }
  for (const auto& [name, member] : members_) {
    if (!present.contains(name)) logMember(member, memberStateName(member.state), "dead");
  }
  members_ = std::move(present);
  onServingRefreshed(serving_.onMembers(gossip_.members(), now()));
  updateReaders();
  schedulePublish();
}

void GatewayControl::logMember(const MemberRecord& member, std::string_view from, std::string_view to) {
  log_.write(EventId::MemberChanged, {{"name", member.name},
                                      {"incarnation", member.incarnation},
                                      {"from", from},
                                      {"to", to},
                                      {"configuration", member.bundle_version}});
}

void GatewayControl::onConfiguration(std::shared_ptr<const Configuration> configuration) {
  if (configuration_ != nullptr && configuration->version <= configuration_->version) return;
  log_.write(EventId::GatewayConfigurationTaken, {{"version", configuration->version},
                                                  {"routes", configuration->routes.size()},
                                                  {"pools", configuration->pools.size()},
                                                  {"tenants", configuration->tenants.size()}});
  configuration_ = std::move(configuration);
  contact_.onChanged();
  listKvStores();
  gossip_.setConfigurationVersion(configuration_->version);
  // Without the publish delay: time limits for a configuration count from its acceptance.
  publish();
}

void GatewayControl::onContact(TimePoint as_of) {
  const bool first = contact_.confirm(as_of);
  if (!std::exchange(platform_reachable_, true)) {
    log_.write(EventId::PlatformReachable,
               {{"service", "store"}, {"unreachable_ms", milliseconds(now() - unreachable_since_)}});
  }
  const bool now_in_force = first && configuration_ != nullptr;
  if (now_in_force || keysCurrent() != keys_current_) publish();
}

void GatewayControl::onListChanged() {
  list_contact_.onChanged();
  schedulePublish();
}

void GatewayControl::onPlatformFailure() {
  if (std::exchange(platform_reachable_, false)) {
    unreachable_since_ = now();
    log_.write(EventId::PlatformUnreachable,
               {{"service", "store"},
                {"reason", "no answer"},
                {"last_contact_ms", milliseconds(now() - contact_.confirmedAt())}});
  }
}

void GatewayControl::onConnectionsSilent() {
  log_.write(EventId::ConnectionsSilent, {{"last_contact_ms", milliseconds(now() - contact_.confirmedAt())}});
  outputs_.on_connections_silent();
}

void GatewayControl::onLoading(const std::string& backend) {
  fleet_.onLoading(backend, now() + kLoadingTime);
  publish();
  gossip_.broadcast({{BackendNote{backend, milliseconds(kLoadingTime), "", "", 0, false}}});
}

void GatewayControl::onWeightsReport(const std::string& backend, const WeightsReport& report,
                                     bool is_loading) {
  const Duration loading = is_loading ? kLoadingTime : Duration(0);
  BackendNotes notes;
  for (const LoadedModel& loaded : report.models) {
    const BackendNote note{backend, milliseconds(loading), loaded.model, loaded.weights_version, 0, false};
    applyBackendNote(note);
    notes.notes.push_back(note);
  }
  sendToPeers(notes);
}

void GatewayControl::applyBackendNote(const BackendNote& note) {
  const Duration loading = std::chrono::milliseconds(note.loading_milliseconds);
  fleet_.onLoading(note.name, now() + std::min(loading, kLoadingTime));
  if (!note.model.empty()) fleet_.onWeights(note.name, note.model, note.weights_version, now());
  schedulePublish();
}

void GatewayControl::onUnreachable(EngineSlot slot, std::uint64_t incarnation) {
  fleet_.onUnreachable(slot, incarnation, now());
  schedulePublish();
}

void GatewayControl::onWrongBackend(EngineSlot slot, std::uint64_t incarnation,
                                    std::optional<std::uint64_t> weights_version) {
  if (!weights_version) return;
  fleet_.onWeightsOfSlot(slot, incarnation, std::to_string(*weights_version), now());
  schedulePublish();
}

/// Serving gateways rank first because they receive what the rollout coordinator reports.
std::size_t GatewayControl::rank() const {
  const std::vector<MemberRecord> members = gossip_.members();
  const auto key = [this](const MemberRecord& member) {
    const bool on_standby = !serving_.serves(member.name);
    return std::tuple(on_standby, member.incarnation, member.name);
  };
  const auto self = std::find_if(members.begin(), members.end(), [this](const MemberRecord& member) {
    return member.name == gossip_.ownName();
  });
  if (self == members.end()) return 0;
  const auto own = key(*self);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const MemberRecord& member) {
        return member.state == MemberState::Alive && member.incarnation != 0 && key(member) < own;
      }));
}

bool GatewayControl::isMemberLive(const std::string& name) const {
  const std::vector<MemberRecord> members = gossip_.members();
  return std::any_of(members.begin(), members.end(), [&name](const MemberRecord& member) {
    return member.name == name && member.state == MemberState::Alive;
  });
}

ControlStatus GatewayControl::status() const {
  ControlStatus status;
  status.configuration_version = configuration_ == nullptr ? 0 : configuration_->version;
  status.knowledge_age = now() - contact_.confirmedAt();
  status.list_age = now() - list_contact_.confirmedAt();
  status.platform_reachable = platform_reachable_;
  status.leaving = leaving_;
  status.holds_order_lease = orders_.holding();
  status.orders_sent = orders_.ordersSent();
  status.members = gossip_.members();
  if (serving_.allServe()) {
    for (const MemberRecord& member : status.members) status.serving.push_back(member.name);
  } else {
    status.serving = serving_.serving();
  }
  status.serves = serving_.serves(gossip_.ownName());
  status.backends = backends_;
  return status;
}

bool GatewayControl::keysCurrent() const {
  return !settings_.key_validity || now() - contact_.confirmedAt() < *settings_.key_validity;
}

void GatewayControl::onSettings(const NodeSettings& settings) {
  settings_.key_validity = settings.key_validity;
  settings_.seeds = settings.seeds;
  gossip_.seed(gossipAddresses(settings_));
  schedulePublish();
}

void GatewayControl::leave() {
  leaving_ = true;
  orders_.stop();
  gossip_.leave();
  serving_.leave();
  ServingNotice notice;
  notice.leaving = true;
  if (!serving_.allServe()) broadcastNotice(notice, true);
}

}  // namespace crankspur::gateway
