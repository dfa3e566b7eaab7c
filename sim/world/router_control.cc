/// @file Control plane of a simulated router: machine list, engine polls, gossip and bundles.

#include "base/hash.h"
#include "router/zone_sharing.h"
#include "sim/world/engine_node.h"
#include "sim/world/router_node.h"
#include "sim/world/runner_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

constexpr Duration kPollTimeout = std::chrono::milliseconds(600);
constexpr Duration kMinTimerDelay = std::chrono::milliseconds(1);

/// Response to an engine poll.
struct EnginePoll {
  standin::EngineInfo info;
  standin::EngineLoadReport load;
};

BackendReport toReport(const standin::EngineInfo& info) {
  BackendReport report;
  report.incarnation = info.incarnation;
  report.leaving = info.leaving;
  report.batch_limit = info.batch_limit;
  report.cache_blocks_total = info.cache_blocks_total;
  for (const standin::ServedModel& model : info.models) {
    report.models.push_back({model.model, model.weights_version, model.adapters});
  }
  return report;
}

LoadReport toLoad(const standin::EngineLoadReport& load, TimePoint now) {
  LoadReport report;
  report.measured_at = now - load.age;
  report.queued_tokens = load.queued_tokens;
  report.queued_requests = load.queued_requests;
  report.running_requests = load.running_requests;
  report.batch_limit = load.batch_limit;
  report.cache_blocks_total = load.cache_blocks_total;
  report.cache_blocks_used = load.cache_blocks_used;
  report.prefill_tokens_per_second = load.prefill_tokens_per_second;
  return report;
}

CacheEvent toCacheEvent(const standin::CacheChange& change) {
  return {change.sequence, change.stored, change.removed};
}

/// Maximum delay of a duplicated bundle.
constexpr double kMaxBundleRepeatDelayMicros = 12'000'000;

}  // namespace

void RouterNode::listMachines() {
  context_.directory.platform().listMachines(host_, [this](std::optional<MachineList> machines) {
    if (!machines) return;
    process_->engines->onMachineList(*machines, now());
    std::vector<MemberRecord> routers;
    for (const Machine& machine : machines->machines) {
      if (machine.role != MachineRole::Router) continue;
      MemberRecord record;
      record.name = machine.name;
      record.address = machine.address;
      record.zone = machine.zone;
      record.region = machine.region;
      record.state = machine.state == MachineState::Leaving ? MemberState::Leaving : MemberState::Alive;
      routers.push_back(std::move(record));
    }
    process_->membership->seed(routers, now());
    executeMembershipActions();
    executeEngineTableActions();
  });
}

void RouterNode::executeEngineTableActions() {
  for (const BackendPoll& poll : process_->engines->duePolls(now())) {
    if (poll.kind == BackendPoll::Kind::RunnerInfo) {
      pollRunner(poll.name);
    } else {
      pollEngine(poll.name, poll.kind);
    }
  }
  for (const EngineRecord& record : process_->engines->takeAnnouncements()) {
    process_->membership->announceEngine(record, now());
  }
  const std::vector<EngineRecord> urgent = process_->engines->takeUrgentAnnouncements();
  for (const EngineRecord& record : urgent) process_->membership->announceEngineDirectly(record, now());
  if (!urgent.empty()) executeMembershipActions();
  traceBackendChanges();
  if (process_->engines->takeUrgentChange(now())) publish();
  armEngineTimer();
}

void RouterNode::traceBackendChanges() {
  for (const BackendChange& change : process_->engines->takeChanges()) {
    context_.trace.note(host_.name(), "sees {} {}", change.name, engineStateName(change.state));
  }
}

void RouterNode::armEngineTimer() {
  const TimePoint next = process_->engines->nextTimer(now());
  if (next == process_->engine_timer) return;
  process_->engine_timer = next;
  const std::uint64_t generation = ++process_->engine_timer_generation;
  host_.postAt(std::max(next, now() + kMinTimerDelay), [this, generation] {
    if (generation != process_->engine_timer_generation) return;
    process_->engine_timer = TimePoint::max();
    executeEngineTableActions();
  });
}

void RouterNode::pollEngine(const std::string& name, BackendPoll::Kind kind) {
  EngineNode* engine = context_.directory.engine(name);
  call<EnginePoll>(
      context_, host_, engine->host(), kPollTimeout,
      [this, engine](const std::function<void(EnginePoll)>& respond) {
        respond({engine->model().info(), engine->model().load(context_.queue.now())});
      },
      [this, name, kind](std::optional<EnginePoll> poll) {
        if (!poll) {
          process_->engines->onPollFailed(name, PollFailure::TimedOut, now());
        } else if (kind == BackendPoll::Kind::EngineInfo) {
          process_->engines->onReport(name, toReport(poll->info), now());
        } else {
          process_->engines->onLoad(name, poll->load.incarnation, toLoad(poll->load, now()), now());
        }
        executeEngineTableActions();
      });
}

void RouterNode::pollRunner(const std::string& name) {
  RunnerNode* runner = context_.directory.runner(name);
  call<BackendReport>(
      context_, host_, runner->host(), kPollTimeout,
      [runner](const std::function<void(BackendReport)>& respond) {
        BackendReport report;
        report.incarnation = runner->incarnation();
        report.leaving = runner->leaving();
        respond(report);
      },
      [this, name](std::optional<BackendReport> report) {
        if (report) {
          process_->engines->onReport(name, *report, now());
        } else {
          process_->engines->onPollFailed(name, PollFailure::TimedOut, now());
        }
        executeEngineTableActions();
      });
}

void RouterNode::pollCacheEvents() {
  for (const EngineView& view :
       process_->snapshot ? process_->snapshot->engines : std::vector<EngineView>{}) {
    if (view.incarnation != 0 && view.state == EngineState::Live) fetchCacheEvents(view);
  }
}

void RouterNode::fetchCacheEvents(const EngineView& view) {
  EngineNode* engine = context_.directory.engine(view.name);
  const CacheEventPosition position = process_->cache_positions[view.name];
  call<standin::CacheChanges>(
      context_, host_, engine->host(), kPollTimeout,
      [this, engine, position](const std::function<void(standin::CacheChanges)>& respond) {
        const standin::EngineModel& model = engine->model();
        const std::uint64_t after = model.incarnation() == position.incarnation ? position.sequence : 0;
        respond(model.cacheChanges(after, context_.queue.now()));
      },
      [this, view](std::optional<standin::CacheChanges> changes) {
        if (changes) applyCacheChanges(view, *changes);
      });
}

void RouterNode::applyCacheChanges(const EngineView& view, const standin::CacheChanges& changes) {
  CacheEventPosition& position = process_->cache_positions[view.name];
  if (position.incarnation != changes.incarnation) position = {changes.incarnation, 0};
  bool complete = true;
  for (const standin::CacheChange& change : changes.events) {
    complete &= process_->requests->onCacheEvent(view.slot, changes.incarnation, toCacheEvent(change), now());
    position.sequence = std::max(position.sequence, change.sequence);
  }
  if (!complete) fetchDigest(view.name, view.slot);
}

void RouterNode::fetchDigest(const std::string& engine_name, EngineSlot slot) {
  EngineNode* engine = context_.directory.engine(engine_name);
  if (!process_->digests_in_flight.insert(engine_name).second) return;
  call<standin::CacheDigest>(
      context_, host_, engine->host(), kPollTimeout,
      [engine](const std::function<void(standin::CacheDigest)>& respond) { respond(engine->cacheDigest()); },
      [this, engine_name, slot](std::optional<standin::CacheDigest> digest) {
        process_->digests_in_flight.erase(engine_name);
        if (!digest || digest->refused) return;
        CacheEventPosition& position = process_->cache_positions[engine_name];
        if (position.incarnation != digest->incarnation) return;
        position.sequence = std::max(position.sequence, digest->sequence);
        process_->requests->onCacheDigest(slot, digest->incarnation, digest->sequence, digest->blocks, now());
      });
}

void RouterNode::publish() {
  const auto current = process_->bundles->current();
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->bundle = current ? current->bundle : nullptr;
  snapshot->engines = process_->engines->engines(now());
  snapshot->runners = process_->engines->runners(now());
  snapshot->own_zone = host_.location().zone;
  snapshot->own_region = host_.location().region;
  snapshot->router_count =
      std::max<std::uint32_t>(static_cast<std::uint32_t>(process_->membership->liveMembers().size()), 1);
  process_->claims_by_group = process_->claim_group->inForce();
  snapshot->claims_by_group = process_->claims_by_group;
  process_->snapshot = snapshot;
  process_->requests->onSnapshot(std::move(snapshot), now());
  executeActions();
}

void RouterNode::publishLoads() {
  if (process_->engines->takeLoadsChanged()) publish();
}

void RouterNode::executeMembershipActions() {
  for (const OutgoingGossip& outgoing : process_->membership->takeOutgoing()) {
    RouterNode* peer = context_.directory.router(outgoing.address);
    if (peer == nullptr) continue;
    const std::string from = host_.name();
    context_.network.datagram(host_, peer->host(), [peer, from, message = outgoing.message] {
      if (const auto* ping = std::get_if<Ping>(&message)) peer->onPing(*ping, from);
      if (const auto* ack = std::get_if<PingAck>(&message)) peer->onPingAck(*ack);
    });
  }
  if (!process_->membership->takeChanges().empty()) {
    const auto routers = liveMembersInRegion(process_->membership->liveMembers(), host_.location().region);
    process_->engines->setRouters(host_.name(), routers, now());
  }
  for (const EngineRecord& record : process_->membership->takeEngineChanges()) {
    process_->engines->onGossip(record, now());
  }
  executeEngineTableActions();
  armMembershipTimer();
}

void RouterNode::armMembershipTimer() {
  const TimePoint next = process_->membership->nextTimer();
  if (next == process_->membership_timer) return;
  process_->membership_timer = next;
  const std::uint64_t generation = ++process_->membership_timer_generation;
  host_.postAt(std::max(next, now() + Duration(1)), [this, generation] {
    if (generation != process_->membership_timer_generation) return;
    process_->membership_timer = TimePoint::max();
    process_->membership->onTimer(now());
    executeMembershipActions();
  });
}

void RouterNode::onPing(const Ping& ping, const std::string& from) {
  Ping received = ping;
  if (context_.without(Mechanism::LeavingMarks)) received.engines.clear();
  process_->membership->onPing(received, from, now());
  executeMembershipActions();
}

void RouterNode::onPingAck(const PingAck& ack) {
  PingAck received = ack;
  if (context_.without(Mechanism::LeavingMarks)) received.engines.clear();
  process_->membership->onAck(received, now());
  executeMembershipActions();
}

void RouterNode::pullBundle() {
  if (process_->bundle_pull_in_flight || context_.without(Mechanism::BundleFromPeers)) return;
  const MemberRecord newest = process_->membership->newestBundleHolder();
  if (newest.bundle_version <= bundleVersion()) return;
  RouterNode* peer = context_.directory.router(newest.name);
  if (peer == nullptr) return;
  process_->bundle_pull_in_flight = true;
  call<BundleBody>(
      context_, host_, peer->host(), kPollTimeout,
      [peer](const std::function<void(BundleBody)>& respond) { respond(peer->bundleBody()); },
      [this](std::optional<BundleBody> body) {
        process_->bundle_pull_in_flight = false;
        if (body && body->version > 0) offerBundle(*body);
      });
}

void RouterNode::pollBundleRow() {
  PlatformNode& platform = context_.directory.platform();
  platform.readRow(host_, kBundleRowKey, [this, &platform](std::optional<TableRow> row) {
    if (!row) return;
    const BundleRow bundle = decodeBundleRow(*row);
    if (bundle.version <= bundleVersion()) return;
    platform.getObject(host_, bundleObjectKey(bundle),
                       [this, bundle](std::optional<standin::ObjectFound> object) {
                         if (!object) return;
                         const BundleBody body = decodeBundleBody(object->body);
                         if (body.version == bundle.version && sha256Hex(body.document) == bundle.digest)
                           offerBundle(body);
                       });
  });
}

void RouterNode::offerBundle(const BundleBody& body) {
  if (context_.duplicate_bundle_rate > 0 && context_.random.chance(context_.duplicate_bundle_rate)) {
    const auto delay =
        Duration(static_cast<std::int64_t>(context_.random.unit() * kMaxBundleRepeatDelayMicros));
    host_.post(delay, [this, body] { applyBundle(body); });
  }
  applyBundle(body);
}

void RouterNode::applyBundle(const BundleBody& body) {
  if (context_.without(Mechanism::BundleMonotonicity) && body.version != bundleVersion()) {
    process_->bundles = std::make_unique<BundleHolder>(keys_);
  }
  if (process_->bundles->offer(body)) return;
  const std::string digest = sha256Hex(body.document);
  context_.trace.note(host_.name(), "uses bundle {}", body.version);
  context_.records.bundle_uses.push_back(
      {host_.name(), host_.epoch(), body.version, digest, context_.queue.now()});
  process_->membership->setBundleVersion(body.version);
  configureClaimGroup();
  publish();
}

}  // namespace crankspur::sim
