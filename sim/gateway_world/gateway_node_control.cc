/// @file The control side of a simulated gateway: the store, the list of engines, other gateways.

#include <fmt/format.h>

#include <algorithm>

#include "internal_protocol/codec.h"
#include "sim/gateway_world/fleet_world.h"
#include "sim/gateway_world/gateway_node.h"
#include "sim/gateway_world/gateway_process_state.h"

namespace crankspur::gateway_sim {
namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(150);
/// Timeout of a call to the store.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1'200);
constexpr Duration kPublishDelay = std::chrono::milliseconds(5);
constexpr Duration kMaxPublishInterval = std::chrono::seconds(5);
constexpr Duration kThreadDelay = std::chrono::microseconds(50);
/// Timing of the calls that follow caches, as in production.
constexpr Duration kCacheCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kCacheCallInterval = std::chrono::milliseconds(30);
constexpr Duration kCacheCallTimeout = std::chrono::milliseconds(700);

gateway::ListedBackend listedBackend(const EngineProcess& engine, const EngineRow& row,
                                     const std::string& name) {
  gateway::ListedBackend listed;
  listed.id = name;
  listed.born_ms = row.started_ms;
  listed.pool = kFleetPool;
  listed.address = engine.address();
  listed.zone = fmt::format("zone-{}", engine.number() % 3);
  listed.slots = 0;
  listed.draining = row.draining;
  listed.models = {{kFleetModel, "1", {}}};
  return listed;
}

}  // namespace

/// Requests the changed rows; repeats after an interval, or when no response arrived in time.
void GatewayNode::readStore() {
  const std::uint64_t call = ++process_->store_call;
  const TimePoint requested_at = now();
  const TimePoint requested_true_time = context_.queue.now();
  const auto table_update = std::make_shared<EngineTableUpdate>();
  StoreNode& store = world_.store();
  arm(process_->store_timer, requested_at + kStoreTimeout, [this] {
    onStoreFailure();
    readStore();
  });
  store.call(
      host_,
      [table_update, &store, version = process_->table_version] {
        *table_update = store.changesSince(version);
      },
      [this, table_update, call, requested_at, requested_true_time](bool executed) {
        if (call != process_->store_call) return;
        if (executed) {
          onStoreResponse(*table_update, requested_at, requested_true_time);
        } else {
          onStoreFailure();
        }
        arm(process_->store_timer, now() + kReadInterval, [this] { readStore(); });
      });
}

/// A single call may fail because a message was lost.
void GatewayNode::onStoreFailure() {
  if (++process_->failed_store_calls > 1) process_->fleet.onPlatformFailure(now());
}

void GatewayNode::onStoreResponse(const EngineTableUpdate& table_update, TimePoint requested_at,
                                  TimePoint requested_true_time) {
  process_->failed_store_calls = 0;
  if (table_update.version < process_->table_version) return;  // The response to an earlier call, delayed.
  process_->table_version = table_update.version;
  for (const EngineRow& row : table_update.rows) {
    if (row.departed && !context_.has(sim::Mechanism::ListedDepartures)) continue;
    EngineProcess& engine = world_.engine(row.engine);
    const std::string name = fmt::format("i-{}#{}", row.engine, row.started_ms);
    std::string& listed = process_->listed[row.engine];
    if (!listed.empty() && (listed != name || !row.present)) process_->fleet.onRemoved(listed, now());
    listed = row.present ? name : "";
    if (!row.present) continue;
    gateway::ListedBackend backend = listedBackend(engine, row, name);
    if (context_.site.lists_slots) backend.slots = context_.site.engine_slots;
    if (context_.has(sim::Mechanism::StreamBuilds)) {
      backend.build = fmt::format("v{}", buildOf(context_.site, row.engine, row.started_ms));
    }
    process_->fleet.onListed(backend, now());
    process_->builds.onBackend(backend.pool, backend.build, now());
  }
  if (!table_update.rows.empty()) process_->contact.onChanged();
  process_->contact.confirm(requested_at);
  process_->builds.onListContact(requested_at);
  callBuildRecord();
  confirmed_at_ = std::max(confirmed_at_, requested_true_time);
  const bool first = !std::exchange(process_->has_configuration, true);
  if (!table_update.rows.empty() || first) publish();
}

void GatewayNode::publish() {
  auto snapshot = std::make_shared<gateway::GatewaySnapshot>();
  if (process_->has_configuration && recordsReady()) snapshot->configuration = world_.configuration();
  snapshot->backends = process_->fleet.backends(now());
  snapshot->own_name = member_name_;
  if (context_.site.builds > 1 || context_.site.relays || context_.site.lists_slots) {
    for (const std::string& name : otherMembers()) snapshot->peers.push_back({name, name, ""});
  }
  snapshot->own_zone = host_.location().zone;
  snapshot->own_region = host_.location().region;
  snapshot->peer_count = static_cast<std::uint32_t>(otherMembers().size());
  snapshot->share_divisor = snapshot->peer_count + 1;
  snapshot->contact = process_->contact.current();
  snapshot->list_contact = process_->contact.current();
  snapshot->key_validity = context_.site.key_validity;
  exchangeBuilds(*snapshot);
  host_.post(kThreadDelay, [this, snapshot] {
    process_->traffic.onSnapshot(snapshot, now());
    executeActions();
  });
  TimePoint next = std::min(now() + kMaxPublishInterval, process_->fleet.nextChange(now()));
  if (snapshot->configuration == nullptr) next = std::min(next, now() + std::chrono::milliseconds(100));
  arm(process_->publish_timer, std::max(next, now() + kPublishDelay), [this] { publish(); });
}

// Evidence against poison requests.

void GatewayNode::executeCrashActions() {
  for (const gateway::CrashAction& action : process_->crashes.takeActions()) {
    std::visit([this](const auto& chosen) { execute(chosen); }, action);
  }
  arm(process_->crash_timer, process_->crashes.nextTimer(), [this] {
    process_->crashes.onTimer(otherMembers(), now());
    executeCrashActions();
  });
}

void GatewayNode::execute(const gateway::SendCrashMessage& action) {
  if (context_.has(sim::Mechanism::CrashExchange)) sendDatagram(action.member, action.message);
}

void GatewayNode::execute(const gateway::NotifyTraffic& action) {
  host_.post(kThreadDelay, [this, update = action.update] {
    process_->traffic.onCrashUpdate(update, now());
    executeActions();
  });
}

void GatewayNode::execute(const gateway::CallStore& action) {
  RecordHandlers handlers;
  handlers.on_read = [this](const std::optional<gateway::StoredRecord>& record) {
    process_->crashes.onRecordRead(record, now());
    publish();
    executeCrashActions();
  };
  handlers.on_written = [this](std::optional<std::uint64_t> version) {
    process_->crashes.onRecordWritten(version.has_value(), now());
    executeCrashActions();
  };
  callRecord(gateway::CrashRecord::kName, action.call, context_.has(sim::Mechanism::QuarantineRecord),
             handlers);
}

/// @param persists false: writes are acknowledged, but have no effect.
void GatewayNode::callRecord(const std::string& name, const gateway::RecordCall& call, bool persists,
                             const RecordHandlers& handlers) {
  StoreNode& store = world_.store();
  const bool writes = call.kind == gateway::RecordCall::Kind::write;
  const auto done = std::make_shared<bool>(false);
  const auto row = std::make_shared<gateway::StoredRecord>();
  const auto written = std::make_shared<std::optional<std::uint64_t>>();
  const auto finish = [handlers, writes, done, row, written](bool executed) {
    if (std::exchange(*done, true)) return;
    if (writes) return handlers.on_written(executed ? *written : std::nullopt);
    handlers.on_read(executed ? std::optional(*row) : std::nullopt);
  };
  store.call(
      host_,
      [&store, name, call, writes, persists, row, written] {
        if (!writes) {
          *row = store.record(name);
        } else if (persists) {
          *written = store.writeRecord(name, call.text, call.expected_version);
        } else {
          *written = call.expected_version + 1;
        }
      },
      finish);
  host_.post(kStoreTimeout, [finish] { finish(false); });
}

// Caches of engines.

/// Calls each engine about every 0.4 s; an engine that does not respond, sooner.
void GatewayNode::followCaches() {
  for (const auto& [number, name] : process_->listed) {
    if (name.empty()) continue;
    const CacheCalls& calls = process_->cache_calls[name];
    if (calls.pending == 0 && now() >= calls.next_at) callCache(name, world_.engine(number));
  }
  arm(process_->cache_timer, now() + kCacheCheckInterval, [this] { followCaches(); });
}

void GatewayNode::callCache(const std::string& name, EngineProcess& engine) {
  CacheCalls& calls = process_->cache_calls[name];
  const std::uint64_t call = process_->next_cache_call++;
  calls.pending = call;
  calls.requested_at = now();
  const auto on_response = [this, name, call](bool responded) { onCacheResponse(name, call, responded); };
  context_.network.connect(
      host_, engine.host(), kCacheCallTimeout, [](const sim::ChannelPointer&) {},
      [&engine, on_response](const sim::ChannelPointer& channel) {
        channel->onClosed(sim::Side::Client, [on_response] { on_response(false); });
        channel->send(sim::Side::Client, [&engine, channel, on_response] {
          engine.onCacheCall(channel, [on_response] { on_response(true); });
        });
      },
      [on_response] { on_response(false); });
  host_.post(kCacheCallTimeout, [on_response] { on_response(false); });
}

/// Only the first outcome of a call counts.
void GatewayNode::onCacheResponse(const std::string& name, std::uint64_t call, bool responded) {
  CacheCalls& calls = process_->cache_calls[name];
  if (calls.pending != call) return;
  calls.pending = 0;
  calls.next_at = now() + kCacheCallInterval;
  if (responded) {
    const bool is_new = process_->fleet.onResponse(name, now());
    if (process_->fleet.onResponsive(name, now()) || is_new) publish();
    return;
  }
  process_->fleet.onUnresponsive(name, calls.requested_at, now());
  publish();
}

// Other gateways.

std::vector<std::string> GatewayNode::otherMembers() const {
  std::vector<std::string> names;
  for (const MemberRecord& member : process_->membership->liveMembers()) {
    const bool known = member.incarnation != 0 && member.state != MemberState::Dead;
    if (known && member.name != member_name_) names.push_back(member.name);
  }
  return names;
}

void GatewayNode::sendDatagram(const std::string& member, const Message& message) {
  GatewayNode* const receiver = world_.gatewayNamed(member);
  if (receiver == nullptr) return;
  const std::string frame = encodeFrame(message);
  const auto deliver = [receiver, from = member_name_, frame] {
    const DecodedFrame decoded = decodeFrame(frame);
    if (decoded.message) receiver->onDatagram(from, *decoded.message);
  };
  if (context_.random.chance(context_.datagrams.loss)) return;
  context_.network.datagram(host_, receiver->host(), deliver);
  if (context_.random.chance(context_.datagrams.duplication)) {
    context_.network.datagram(host_, receiver->host(), deliver);
  }
}

void GatewayNode::onDatagram(const std::string& from, const Message& message) {
  if (const auto* ping = std::get_if<Ping>(&message)) {
    process_->membership->onPing(*ping, from, now());
  } else if (const auto* ack = std::get_if<PingAck>(&message)) {
    process_->membership->onAck(*ack, now());
  } else if (const auto* notes = std::get_if<CrashNotes>(&message)) {
    process_->crashes.onNotes(*notes, now());
    return executeCrashActions();
  } else if (const auto* digest = std::get_if<CrashDigest>(&message)) {
    process_->crashes.onDigest(from, *digest, now());
    return executeCrashActions();
  } else if (const auto* origins = std::get_if<StreamOrigins>(&message)) {
    recordOrigins(origins->begun);
    host_.post(kThreadDelay, [this, from, origins = *origins] {
      process_->traffic.onStreamOrigins(from, origins, now());
      executeActions();
    });
    return;
  }
  executeMembershipActions();
}

void GatewayNode::executeMembershipActions() {
  for (const OutgoingGossip& outgoing : process_->membership->takeOutgoing()) {
    std::visit([&](const auto& message) { sendDatagram(outgoing.address, message); }, outgoing.message);
  }
  for (const MembershipChange& change : process_->membership->takeChanges()) {
    const bool joined = change.record.state == MemberState::Alive && change.previous != MemberState::Alive;
    if (joined) process_->crashes.onMemberJoined(now());
  }
  arm(process_->membership_timer, process_->membership->nextTimer(), [this] {
    process_->membership->onTimer(now());
    executeMembershipActions();
  });
}

}  // namespace crankspur::gateway_sim
