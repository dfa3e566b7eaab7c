#include "router_process/control_thread.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "base/timer.h"

namespace crankspur {

namespace {

/// Snapshots that only bring newer loads are published at most this often.
constexpr Duration kLoadPublishInterval = std::chrono::milliseconds(100);

constexpr Duration kExchangeTick = std::chrono::milliseconds(100);
/// Routers that contend for the lease on fleet orders; the others leave the table service alone.
constexpr std::size_t kOrderContenders = 2;
constexpr char kOrderGroup[] = "fleet_orders";

std::uint64_t freshSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

PlatformWatcherOptions watcherOptions(const RouterSettings& settings) {
  return {settings.platform, settings.machine_list_interval, settings.bundle_row_interval};
}

std::vector<MemberRecord> routersOf(const MachineList& list) {
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
                             MemberRecord self, FrontThread& front, Shards& shards, EventLog& log,
                             RouterMetrics& metrics)
    : settings_(settings),
      self_(std::move(self)),
      front_(front),
      shards_(shards),
      log_(log),
      metrics_(metrics),
      bundle_(settings.trusted_keys),
      membership_(makeMembership(self_, {}, freshSeed(), now())),
      table_({settings.region}, freshSeed()),
      poller_(context.get_executor(), table_, [this] { onTableEvent(); }),
      cache_feed_(
          context.get_executor(), [this](const std::shared_ptr<const CacheNews>& news) { onCacheNews(news); },
          metrics, freshSeed()),
      platform_(context.get_executor(), watcherOptions(settings),
                {[this](const MachineList& list) { onMachines(list); },
                 [this](const BundleBody& body) { return onBundle(body); },
                 [this] { return bundle_.version(); }, [this] { return membership_->liveMembers().size(); }},
                log, freshSeed()),
      exchange_(self_, table_,
                {[this](std::vector<std::string> addresses, Message message) {
                   sendToRouters(std::move(addresses), std::move(message));
                 },
                 [this](const std::shared_ptr<const CacheNews>& news) {
                   for (const auto& shard : shards_) shard->postCacheNews(news);
                 }}),
      orders_(context.get_executor(), fmt::format("{}:{}", self_.name, self_.incarnation), settings.platform,
              poller_.engines(),
              {[this] { return bundle_.current() ? bundle_.current()->bundle : nullptr; },
               [this] { return table_.allEngines(now()); }, [this] { return mayContendForOrders(); }},
              log, freshSeed()),
      claim_group_(
          context.get_executor(), self_, settings.platform,
          {[this](const std::string& address, const Message& message) { sendToRouters({address}, message); },
           [this](std::size_t shard, std::uint64_t claim, const GroupClaimDecision& decision) {
             shards_.at(shard)->postGroupClaim(claim, decision);
           },
           [this] { return membership_->liveMembers(); }, [this] { publish(); }},
          log, freshSeed()),
      membership_timer_(context),
      table_timer_(context),
      publish_timer_(context),
      exchange_timer_(context) {}

void ControlThread::start() {
  live_members_ = membership_->liveMembers();
  publish();
  platform_.start();
  front_.thread.post([this] {
    for (const std::string& peer : settings_.peers) front_.front->connectToRouter(peer);
  });
  onMembershipEvent();
  runTable();
  orders_.start();
  claim_group_.start();
  tickExchange();
}

void ControlThread::leave() {
  leaving_ = true;
  membership_->leave(now());
  MemberRecord record = self_;
  for (const MemberRecord& member : membership_->liveMembers()) {
    if (member.name == self_.name) record = member;
  }
  front_.thread.post([this, record] { front_.front->announceLeaving(record); });
  onMembershipEvent();
}

ControlStatus ControlThread::status() const {
  ControlStatus status;
  status.bundle_version = bundle_.version();
  if (bundle_.current()) status.site = bundle_.current()->bundle->site;
  status.platform_reachable = platform_.reachable();
  status.leaving = leaving_;
  status.gives_orders = orders_.holds();
  status.engines = table_.engines(now());
  status.runners = table_.runners(now());
  status.members = membership_->liveMembers();
  status.claim_group = claim_group_.status();
  status.table_answers = platform_.tableAnswers();
  return status;
}

void ControlThread::onPing(const Ping& ping, const std::string& address) {
  membership_->onPing(ping, address, now());
  onMembershipEvent();
}

void ControlThread::onAck(const PingAck& ack) {
  membership_->onAck(ack, now());
  onMembershipEvent();
}

void ControlThread::onRouter(const Hello& hello) {
  membership_->seed({{hello.node_name, hello.address, hello.zone, hello.region, 0, MemberState::Alive, 0}},
                    now());
  onMembershipEvent();
}

void ControlThread::onMachines(const MachineList& list) {
  membership_->seed(routersOf(list), now());
  table_.onMachineList(list, now());
  tellBackends();
  onMembershipEvent();
  onTableEvent();
  runTable();
}

bool ControlThread::onBundle(const BundleBody& body) {
  const std::error_code error = bundle_.offer(body);
  if (error == ErrorCode::Stale) return false;
  if (error) {
    metrics_.bundles_refused.Increment();
    log_.write(EventId::RouterBundleRefused, {{"version", body.version}, {"reason", error.message()}});
    front_.thread.post([this, version = body.version] { front_.front->onBundleRefused(version); });
    return true;
  }
  metrics_.bundles_taken.Increment();
  log_.write(EventId::RouterBundleTaken, {{"version", body.version}});
  membership_->setBundleVersion(body.version);
  const Knobs& knobs = bundle_.current()->bundle->knobs;
  membership_->setTimings(knobs.gossip_interval, knobs.suspicion_timeout);
  table_.setLoadInterval(knobs.load_report_interval);
  claim_group_.configure({knobs.claim_group_size, knobs.claim_lifetime});
  front_.thread.post([this, held = bundle_.current()] { front_.front->setBundle(held); });
  publish();
  return false;
}

void ControlThread::onOutcome(const EngineOutcome& outcome) {
  table_.onOutcome(outcome, now());
  onTableEvent();
  if (outcome.kind != OutcomeKind::Answered) runTable();
}

void ControlThread::onCacheGap(EngineSlot slot, std::uint64_t incarnation) {
  cache_feed_.onGap(slot, incarnation);
}

void ControlThread::onCacheNews(const std::shared_ptr<const CacheNews>& news) {
  exchange_.onOwnNews(*news);
  for (const auto& shard : shards_) shard->postCacheNews(news);
}

void ControlThread::onBackends(const BackendList& list) {
  table_.onPeerBackends(list.backends, now());
  tellBackends();
  onTableEvent();
  runTable();
}

void ControlThread::tellBackends() {
  front_.thread.post([this, backends = table_.backends()] { front_.front->setBackends(backends); });
}

void ControlThread::onLoadDigest(const LoadDigest& digest) {
  metrics_.load_digests.Increment();
  exchange_.onLoadDigest(digest, now());
  onTableEvent();
}

void ControlThread::onCacheSummary(const CacheSummary& summary) {
  metrics_.cache_summaries.Increment();

  exchange_.onCacheSummary(summary);
}

void ControlThread::sendToRouters(std::vector<std::string> addresses, Message message) {
  front_.thread.post([this, addresses = std::move(addresses), message = std::move(message)] {
    for (const std::string& address : addresses) front_.front->sendToRouter(address, message);
  });
}

void ControlThread::tickExchange() {
  exchange_.tick(now());
  exchange_timer_.expires_after(kExchangeTick);
  exchange_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tickExchange();
  });
}

bool ControlThread::mayContendForOrders() const {
  std::vector<std::string> routers;
  for (const MemberRecord& member : live_members_) {
    if (member.state == MemberState::Alive) routers.push_back(member.name);
  }
  for (std::size_t rank = 0; rank < kOrderContenders && !routers.empty(); ++rank) {
    const std::string first = ownerOf(kOrderGroup, routers);
    if (first == self_.name) return !leaving_;
    std::erase(routers, first);
  }
  return false;
}

void ControlThread::onMembershipEvent() {
  for (const EngineRecord& record : membership_->takeEngineChanges()) table_.onGossip(record, now());
  logMembers();
  sendGossip();
  armMembershipTimer();
  onTableEvent();
}

void ControlThread::sendGossip() {
  std::vector<OutgoingGossip> outgoing = membership_->takeOutgoing();
  if (outgoing.empty()) return;
  front_.thread.post([this, outgoing = std::move(outgoing)] {
    for (const OutgoingGossip& gossip : outgoing) {
      std::visit([&](const auto& message) { front_.front->sendToRouter(gossip.address, message); },
                 gossip.message);
    }
  });
}

void ControlThread::logMembers() {
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
  table_.setRouters(self_.name, liveMembersInRegion(live_members_, settings_.region), now());
  armTableTimer();
  front_.thread.post([this, members = live_members_] { front_.front->setRouters(members); });
  publishSoon();
}

void ControlThread::armMembershipTimer() {
  expireAt(membership_timer_, membership_->nextTimer(), now());
  membership_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    membership_->onTimer(now());
    onMembershipEvent();
  });
}

void ControlThread::runTable() {
  poller_.start(table_.duePolls(now()));
  onTableEvent();
  armTableTimer();
}

void ControlThread::armTableTimer() {
  expireAt(table_timer_, table_.nextTimer(now()), now());
  table_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) runTable();
  });
}

void ControlThread::onTableEvent() {
  const bool urgent = table_.takeUrgentChange(now());
  logBackends();
  announceEngines();
  if (urgent) {
    fleet_changed_ = true;
    publish();
  } else if (table_.takeLoadsChanged()) {
    publishSoon();
  }
}

void ControlThread::announceEngines() {
  for (const EngineRecord& record : table_.takeAnnouncements()) membership_->announceEngine(record, now());
  const std::vector<EngineRecord> urgent = table_.takeUrgentAnnouncements();
  for (const EngineRecord& record : urgent) membership_->announceEngineDirectly(record, now());
  if (urgent.empty()) return;
  sendGossip();
  armMembershipTimer();
}

void ControlThread::logBackends() {
  for (const BackendChange& change : table_.takeChanges()) {
    log_.write(EventId::BackendStateChanged, {{"name", change.name},
                                              {"incarnation", change.incarnation},
                                              {"from", engineStateName(change.previous)},
                                              {"to", engineStateName(change.state)}});
  }
}

void ControlThread::publishSoon() {
  if (publish_waiting_) return;
  publish_waiting_ = true;
  publish_timer_.expires_after(kLoadPublishInterval);
  publish_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && publish_waiting_) publish();
  });
}

void ControlThread::publish() {
  publish_waiting_ = false;
  publish_timer_.cancel();
  metrics_.snapshots.Increment();
  auto snapshot = std::make_shared<RoutingSnapshot>();
  if (bundle_.current()) snapshot->bundle = bundle_.current()->bundle;
  snapshot->engines = table_.engines(now());
  snapshot->runners = table_.runners(now());
  snapshot->claims_by_group = claim_group_.inForce();
  snapshot->own_zone = settings_.zone;
  snapshot->own_region = settings_.region;
  std::uint32_t routers = 0;
  for (const MemberRecord& member : live_members_) {
    if (member.state != MemberState::Leaving) ++routers;
  }
  snapshot->router_count = std::max<std::uint32_t>(routers, 1);
  if (std::exchange(fleet_changed_, false)) {
    exchange_.update(live_members_, snapshot->engines);
    cache_feed_.follow(exchange_.followed(snapshot->engines));
  }
  for (const auto& shard : shards_) shard->postSnapshot(snapshot);
}

}  // namespace crankspur
