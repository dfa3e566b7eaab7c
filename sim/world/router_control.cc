/// @file Control work of a simulated router: machine list, polls, gossip, bundle.

#include "base/hash.h"
#include "sim/world/engine_node.h"
#include "sim/world/router_node.h"
#include "sim/world/runner_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {

constexpr Duration kPollTimeout = std::chrono::milliseconds(600);

CacheEvent toCacheEvent(const standin::CacheChange& change) {
  return {change.sequence, change.stored, change.removed};
}

}  // namespace

void RouterNode::listMachines() {
  context_.directory.platform().listMachines(host_, [this](std::optional<MachineList> machines) {
    if (!machines) return;
    process_->fleet.onMachines(*machines);
    std::vector<MemberRecord> routers;
    for (const ListedMachine& machine : *machines) {
      if (machine.role != MachineRole::Router) continue;
      MemberRecord record;
      record.name = machine.name;
      record.address = machine.name;
      record.zone = machine.place.zone;
      record.region = machine.place.region;
      record.state = machine.leaving ? MemberState::Leaving : MemberState::Alive;
      routers.push_back(std::move(record));
    }
    process_->membership->seed(routers, now());
    pumpMembership();
  });
}

void RouterNode::pollBackends() {
  for (const EngineView& view : process_->fleet.engines()) {
    if (view.region == host_.place().region) pollEngine(view.name);
  }
  for (const EngineView& view : process_->fleet.runners()) pollRunner(view.name);
}

void RouterNode::pollEngine(const std::string& name) {
  EngineNode* engine = context_.directory.engine(name);
  if (engine == nullptr || !process_->polls_running.insert(name).second) return;
  const EngineKnowledge known = process_->engine_knowledge[name];
  call<EnginePoll>(
      context_, host_, engine->host(), kPollTimeout,
      [this, engine, known](std::function<void(EnginePoll)> answer) {
        const TimePoint at = context_.queue.now();
        const standin::EngineModel& model = engine->model();
        const std::uint64_t after = model.incarnation() == known.incarnation ? known.sequence : 0;
        answer({model.info(), model.load(at), model.cacheChanges(after, at)});
      },
      [this, name](std::optional<EnginePoll> poll) {
        process_->polls_running.erase(name);
        if (!poll) {
          process_->fleet.onPollFailed(name);
          return;
        }
        process_->fleet.onEnginePoll(name, *poll, now());
        if (process_->engine_knowledge[name].incarnation != poll->info.incarnation) publish();
        for (const EngineView& view : process_->fleet.engines()) {
          if (view.name == name) takeCacheChanges(view, poll->changes);
        }
      });
}

void RouterNode::takeCacheChanges(const EngineView& view, const standin::CacheChanges& changes) {
  EngineKnowledge& known = process_->engine_knowledge[view.name];
  if (known.incarnation != changes.incarnation) known = {changes.incarnation, 0};
  bool complete = true;
  for (const standin::CacheChange& change : changes.events) {
    complete &= process_->requests->onCacheEvent(view.slot, changes.incarnation, toCacheEvent(change), now());
    known.sequence = std::max(known.sequence, change.sequence);
  }
  if (!complete) fetchDigest(view.name, view.slot);
}

void RouterNode::fetchDigest(const std::string& engine_name, EngineSlot slot) {
  EngineNode* engine = context_.directory.engine(engine_name);
  if (!process_->digests_running.insert(engine_name).second) return;
  call<standin::CacheDigest>(
      context_, host_, engine->host(), kPollTimeout,
      [engine](std::function<void(standin::CacheDigest)> answer) { answer(engine->cacheDigest()); },
      [this, engine_name, slot](std::optional<standin::CacheDigest> digest) {
        process_->digests_running.erase(engine_name);
        if (!digest || digest->refused) return;
        EngineKnowledge& known = process_->engine_knowledge[engine_name];
        if (known.incarnation != digest->incarnation) return;
        known.sequence = std::max(known.sequence, digest->sequence);
        process_->requests->onCacheDigest(slot, digest->incarnation, digest->sequence, digest->blocks, now());
      });
}

void RouterNode::pollRunner(const std::string& name) {
  RunnerNode* runner = context_.directory.runner(name);
  if (runner == nullptr || !process_->polls_running.insert(name).second) return;
  call<RunnerPoll>(
      context_, host_, runner->host(), kPollTimeout,
      [runner](std::function<void(RunnerPoll)> answer) { answer({runner->incarnation(), runner->leaving()}); },
      [this, name](std::optional<RunnerPoll> poll) {
        process_->polls_running.erase(name);
        if (poll) {
          process_->fleet.onRunnerPoll(name, *poll);
        } else {
          process_->fleet.onPollFailed(name);
        }
      });
}

void RouterNode::publish() {
  for (const EngineRecord& record : process_->fleet.takeAnnouncements()) {
    process_->membership->announceEngine(record, now());
  }
  const auto current = process_->bundles->current();
  const auto routers = static_cast<std::uint32_t>(process_->membership->liveMembers().size());
  process_->requests->onSnapshot(
      process_->fleet.makeSnapshot(current ? current->bundle : nullptr, host_.place(), routers), now());
  pump();
}

void RouterNode::publishIfChanged() {
  if (process_->fleet.changed()) publish();
}

void RouterNode::pumpMembership() {
  for (const OutgoingGossip& outgoing : process_->membership->takeOutgoing()) {
    RouterNode* peer = context_.directory.router(outgoing.address);
    if (peer == nullptr) continue;
    const std::string from = host_.name();
    context_.network.datagram(host_, peer->host(), [peer, from, message = outgoing.message] {
      if (const auto* ping = std::get_if<Ping>(&message)) peer->onPing(*ping, from);
      if (const auto* ack = std::get_if<PingAck>(&message)) peer->onPingAck(*ack);
    });
  }
  process_->membership->takeChanges();
  for (const EngineRecord& record : process_->membership->takeEngineChanges()) {
    process_->fleet.onEngineRecord(record);
  }
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
    pumpMembership();
  });
}

void RouterNode::onPing(const Ping& ping, const std::string& from) {
  Ping received = ping;
  if (context_.without(Mechanism::LeavingMarks)) received.engines.clear();
  process_->membership->onPing(received, from, now());
  pumpMembership();
}

void RouterNode::onPingAck(const PingAck& ack) {
  PingAck received = ack;
  if (context_.without(Mechanism::LeavingMarks)) received.engines.clear();
  process_->membership->onAck(received, now());
  pumpMembership();
}

void RouterNode::pullBundle() {
  if (process_->bundle_pull_running || context_.without(Mechanism::BundleFromPeers)) return;
  const MemberRecord newest = process_->membership->newestBundleHolder();
  if (newest.bundle_version <= bundleVersion()) return;
  RouterNode* peer = context_.directory.router(newest.name);
  if (peer == nullptr) return;
  process_->bundle_pull_running = true;
  call<BundleBody>(
      context_, host_, peer->host(), kPollTimeout,
      [peer](std::function<void(BundleBody)> answer) { answer(peer->bundleBody()); },
      [this](std::optional<BundleBody> body) {
        process_->bundle_pull_running = false;
        if (body && body->version > 0) offerBundle(*body);
      });
}

void RouterNode::pollBundleRow() {
  PlatformNode& platform = context_.directory.platform();
  platform.readRow(host_, kBundleRowKey, [this, &platform](std::optional<TableRow> row) {
    if (!row) return;
    const BundleRow bundle = decodeBundleRow(*row);
    if (bundle.version <= bundleVersion()) return;
    platform.getObject(host_, bundleObjectKey(bundle), [this, bundle](std::optional<std::string> object) {
      if (!object) return;
      const BundleBody body = decodeBundleBody(*object);
      if (body.version == bundle.version && sha256Hex(body.document) == bundle.digest) offerBundle(body);
    });
  });
}

void RouterNode::offerBundle(const BundleBody& body) {
  if (context_.without(Mechanism::BundleMonotonicity) && body.version != bundleVersion()) {
    process_->bundles = std::make_unique<BundleHolder>(keys_);
  }
  if (process_->bundles->offer(body)) return;
  const std::string digest = sha256Hex(body.document);
  context_.trace.note(host_.name(), "uses bundle {}", body.version);
  context_.records.bundle_uses.push_back(
      {host_.name(), host_.epoch(), body.version, digest, context_.queue.now()});
  process_->membership->setBundleVersion(body.version);
  publish();
}

}  // namespace crankspur::sim
