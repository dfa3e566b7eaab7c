#include "router_process/control_thread.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "base/timer.h"

namespace crankspur {

namespace {

/// Minimum interval between snapshots in which only load reports have changed.
constexpr Duration kLoadPublishInterval = std::chrono::milliseconds(100);

constexpr Duration kZoneExchangeInterval = std::chrono::milliseconds(100);
/// Number of routers that contend for the order lease; the others do not call the table service for it.
constexpr std::size_t kMaxOrderContenders = 2;
constexpr char kOrderGroup[] = "fleet_orders";

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

PlatformWatcherOptions watcherOptions(const RouterSettings& settings) {
  return {settings.platform, settings.machine_list_interval, settings.bundle_row_interval};
}

std::vector<MemberRecord> routerRecords(const MachineList& list) {
  std::vector<MemberRecord> routers;
  for (const Machine& machine : list.machines) {
    if (machine.role != MachineRole::Router) continue;
    const bool leaving = machine.state == MachineState::Leaving;
    routers.push_back({machine.name, machine.address, machine.zone, machine.region, 0,
                       leaving ? MemberState::Leaving : MemberState::Alive, 0});
  }
  return routers;
}

}  // namespace

ControlThread::ControlThread(boost::asio::io_context& context, const RouterSettings& settings,
                             MemberRecord self, PeerThread& peer_thread, Shards& shards, EventLog& log,
                             RouterMetrics& metrics)
    : settings_(settings),
      self_(std::move(self)),
      peer_thread_(peer_thread),
      shards_(shards),
      log_(log),
      metrics_(metrics),
      bundle_(settings.trusted_keys),
      membership_(makeMembership(self_, {}, randomSeed(), now())),
      engine_table_({settings.region}, randomSeed()),
      poller_(context.get_executor(), engine_table_, [this] { processEngineTableEvents(); }),
      cache_feed_(
          context.get_executor(),
          [this](const std::shared_ptr<const EngineCacheUpdate>& update) { onCacheUpdate(update); }, metrics,
          randomSeed()),
      platform_watcher_(
          context.get_executor(), watcherOptions(settings),
          {[this](const MachineList& list) { onMachines(list); },
           [this](const BundleBody& body) { return onBundle(body); }, [this] { return bundle_.version(); },
           [this] { return membership_->liveMembers().size(); }},
          log, randomSeed()),
      zone_exchange_(self_, engine_table_,
                     {[this](std::vector<std::string> addresses, Message message) {
                        sendToRouters(std::move(addresses), std::move(message));
                      },
                      [this](const std::shared_ptr<const EngineCacheUpdate>& update) {
                        for (const auto& shard : shards_) shard->postCacheUpdate(update);
                      }}),
      order_dispatcher_(
          context.get_executor(), fmt::format("{}:{}", self_.name, self_.incarnation), settings.platform,
          poller_.engines(),
          {[this] { return bundle_.current() ? bundle_.current()->bundle : nullptr; },
           [this] { return engine_table_.allEngines(now()); }, [this] { return mayContendForOrders(); }},
          log, randomSeed()),
      claim_group_(
          context.get_executor(), self_, settings.platform,
          {[this](const std::string& address, const Message& message) { sendToRouters({address}, message); },
           [this](std::size_t shard, std::uint64_t claim, const GroupClaimDecision& decision) {
             shards_.at(shard)->postGroupClaim(claim, decision);
           },
           [this] { return membership_->liveMembers(); }, [this] { publish(); }},
          log, randomSeed()),
      membership_timer_(context),
      engine_table_timer_(context),
      publish_timer_(context),
      zone_exchange_timer_(context) {}

void ControlThread::start() {
  live_members_ = membership_->liveMembers();
  publish();
  platform_watcher_.start();
  peer_thread_.thread.post([this] {
    for (const std::string& peer : settings_.peers) peer_thread_.connections->connectToRouter(peer);
  });
  processMembershipEvents();
  startDuePolls();
  order_dispatcher_.start();
  claim_group_.start();
  tickZoneExchange();
}

void ControlThread::leave() {
  leaving_ = true;
  membership_->leave(now());
  MemberRecord record = self_;
  for (const MemberRecord& member : membership_->liveMembers()) {
    if (member.name == self_.name) record = member;
  }
  peer_thread_.thread.post([this, record] { peer_thread_.connections->announceLeaving(record); });
  processMembershipEvents();
}

ControlStatus ControlThread::status() const {
  ControlStatus status;
  status.bundle_version = bundle_.version();
  if (bundle_.current()) status.site = bundle_.current()->bundle->site;
  status.platform_reachable = platform_watcher_.reachable();
  status.leaving = leaving_;
  status.holds_order_lease = order_dispatcher_.holdsLease();
  status.engines = engine_table_.engines(now());
  status.runners = engine_table_.runners(now());
  status.members = membership_->liveMembers();
  status.claim_group = claim_group_.status();
  status.table_reachable = platform_watcher_.tableReachable();
  return status;
}

void ControlThread::onPing(const Ping& ping, const std::string& address) {
  membership_->onPing(ping, address, now());
  processMembershipEvents();
}

void ControlThread::onAck(const PingAck& ack) {
  membership_->onAck(ack, now());
  processMembershipEvents();
}

void ControlThread::onRouter(const Hello& hello) {
  membership_->seed({{hello.node_name, hello.address, hello.zone, hello.region, 0, MemberState::Alive, 0}},
                    now());
  processMembershipEvents();
}

void ControlThread::onMachines(const MachineList& list) {
  membership_->seed(routerRecords(list), now());
  engine_table_.onMachineList(list, now());
  publishBackends();
  processMembershipEvents();
  processEngineTableEvents();
  startDuePolls();
}

bool ControlThread::onBundle(const BundleBody& body) {
  const std::error_code error = bundle_.offer(body);
  if (error == ErrorCode::Stale) return false;
  if (error) {
    metrics_.bundles_refused.Increment();
    log_.write(EventId::RouterBundleRefused, {{"version", body.version}, {"reason", error.message()}});
    peer_thread_.thread.post(
        [this, version = body.version] { peer_thread_.connections->onBundleRefused(version); });
    return true;
  }
  metrics_.bundles_taken.Increment();
  log_.write(EventId::RouterBundleTaken, {{"version", body.version}});
  membership_->setBundleVersion(body.version);
  const Knobs& knobs = bundle_.current()->bundle->knobs;
  membership_->setTimings(knobs.gossip_interval, knobs.suspicion_timeout);
  engine_table_.setLoadInterval(knobs.load_report_interval);
  claim_group_.configure({knobs.claim_group_size, knobs.claim_lifetime});
  peer_thread_.thread.post([this, held = bundle_.current()] { peer_thread_.connections->setBundle(held); });
  publish();
  return false;
}

void ControlThread::onOutcome(const EngineOutcome& outcome) {
  engine_table_.onOutcome(outcome, now());
  processEngineTableEvents();
  if (outcome.kind != OutcomeKind::Answered) startDuePolls();
}

void ControlThread::onCacheGap(EngineSlot slot, std::uint64_t incarnation) {
  cache_feed_.onGap(slot, incarnation);
}

void ControlThread::onCacheUpdate(const std::shared_ptr<const EngineCacheUpdate>& update) {
  zone_exchange_.onOwnCacheUpdate(*update);
  for (const auto& shard : shards_) shard->postCacheUpdate(update);
}

void ControlThread::onBackends(const BackendList& list) {
  engine_table_.onPeerBackends(list.backends, now());
  publishBackends();
  processEngineTableEvents();
  startDuePolls();
}

void ControlThread::publishBackends() {
  peer_thread_.thread.post(
      [this, backends = engine_table_.backends()] { peer_thread_.connections->setBackends(backends); });
}

void ControlThread::onLoadDigest(const LoadDigest& digest) {
  metrics_.load_digests.Increment();
  zone_exchange_.onLoadDigest(digest, now());
  processEngineTableEvents();
}

void ControlThread::onCacheSummary(const CacheSummary& summary) {
  metrics_.cache_summaries.Increment();
  zone_exchange_.onCacheSummary(summary);
}

void ControlThread::sendToRouters(std::vector<std::string> addresses, Message message) {
  peer_thread_.thread.post([this, addresses = std::move(addresses), message = std::move(message)] {
    for (const std::string& address : addresses) peer_thread_.connections->sendToRouter(address, message);
  });
}

void ControlThread::tickZoneExchange() {
  zone_exchange_.tick(now());
  zone_exchange_timer_.expires_after(kZoneExchangeInterval);
  zone_exchange_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tickZoneExchange();
  });
}

bool ControlThread::mayContendForOrders() const {
  std::vector<std::string> routers;
  for (const MemberRecord& member : live_members_) {
    if (member.state == MemberState::Alive) routers.push_back(member.name);
  }
  for (std::size_t rank = 0; rank < kMaxOrderContenders && !routers.empty(); ++rank) {
    const std::string owner = ownerOf(kOrderGroup, routers);
    if (owner == self_.name) return !leaving_;
    std::erase(routers, owner);
  }
  return false;
}

void ControlThread::processMembershipEvents() {
  for (const EngineRecord& record : membership_->takeEngineChanges()) engine_table_.onGossip(record, now());
  applyMembershipChanges();
  sendGossip();
  armMembershipTimer();
  processEngineTableEvents();
}

void ControlThread::sendGossip() {
  std::vector<OutgoingGossip> outgoing = membership_->takeOutgoing();
  if (outgoing.empty()) return;
  peer_thread_.thread.post([this, outgoing = std::move(outgoing)] {
    for (const OutgoingGossip& gossip : outgoing) {
      std::visit(
          [&](const auto& message) { peer_thread_.connections->sendToRouter(gossip.address, message); },
          gossip.message);
    }
  });
}

void ControlThread::applyMembershipChanges() {
  const std::vector<MembershipChange> changes = membership_->takeChanges();
  if (changes.empty()) return;
  fleet_changed_ = true;
  for (const MembershipChange& change : changes) {
    if (change.previous == change.record.state) continue;
    log_.write(EventId::MemberChanged, {{"name", change.record.name},
                                        {"incarnation", change.record.incarnation},
                                        {"from", memberStateName(change.previous)},
                                        {"to", memberStateName(change.record.state)}});
  }
  live_members_ = membership_->liveMembers();
  engine_table_.setRouters(self_.name, liveMembersInRegion(live_members_, settings_.region), now());
  armEngineTableTimer();
  peer_thread_.thread.post(
      [this, members = live_members_] { peer_thread_.connections->setRouters(members); });
  schedulePublish();
}

void ControlThread::armMembershipTimer() {
  expireAt(membership_timer_, membership_->nextTimer(), now());
  membership_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    membership_->onTimer(now());
    processMembershipEvents();
  });
}

void ControlThread::startDuePolls() {
  poller_.start(engine_table_.duePolls(now()));
  processEngineTableEvents();
  armEngineTableTimer();
}

void ControlThread::armEngineTableTimer() {
  expireAt(engine_table_timer_, engine_table_.nextTimer(now()), now());
  engine_table_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) startDuePolls();
  });
}

void ControlThread::processEngineTableEvents() {
  const bool urgent = engine_table_.takeUrgentChange(now());
  logBackendChanges();
  announceEngines();
  if (urgent) {
    fleet_changed_ = true;
    publish();
  } else if (engine_table_.takeLoadsChanged()) {
    schedulePublish();
  }
}

void ControlThread::announceEngines() {
  for (const EngineRecord& own : engine_table_.takeAnnouncements()) membership_->announceEngine(own, now());
  const std::vector<EngineRecord> urgent = engine_table_.takeUrgentAnnouncements();
  for (const EngineRecord& record : urgent) membership_->announceEngineDirectly(record, now());
  if (urgent.empty()) return;
  sendGossip();
  armMembershipTimer();
}

void ControlThread::logBackendChanges() {
  for (const BackendChange& change : engine_table_.takeChanges()) {
    log_.write(EventId::BackendStateChanged, {{"name", change.name},
                                              {"incarnation", change.incarnation},
                                              {"from", engineStateName(change.previous)},
                                              {"to", engineStateName(change.state)}});
  }
}

void ControlThread::schedulePublish() {
  if (publish_scheduled_) return;
  publish_scheduled_ = true;
  publish_timer_.expires_after(kLoadPublishInterval);
  publish_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && publish_scheduled_) publish();
  });
}

void ControlThread::publish() {
  publish_scheduled_ = false;
  publish_timer_.cancel();
  metrics_.snapshots.Increment();
  auto snapshot = std::make_shared<RoutingSnapshot>();
  if (bundle_.current()) snapshot->bundle = bundle_.current()->bundle;
  snapshot->engines = engine_table_.engines(now());
  snapshot->runners = engine_table_.runners(now());
  snapshot->claims_by_group = claim_group_.inForce();
  snapshot->own_zone = settings_.zone;
  snapshot->own_region = settings_.region;
  std::uint32_t routers = 0;
  for (const MemberRecord& member : live_members_) {
    if (member.state != MemberState::Leaving) ++routers;
  }
  snapshot->router_count = std::max<std::uint32_t>(routers, 1);
  if (std::exchange(fleet_changed_, false)) {
    zone_exchange_.update(live_members_, snapshot->engines);
    cache_feed_.follow(zone_exchange_.followed(snapshot->engines));
  }
  for (const auto& shard : shards_) shard->postSnapshot(snapshot);
}

}  // namespace crankspur
