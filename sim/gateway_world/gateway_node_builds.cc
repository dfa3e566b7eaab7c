/// @file The records of a simulated gateway in the store: the builds of engines, and the origins of the
/// streams that it keeps. Only sites with releases have them.

#include "gateway_control/build_record.h"
#include "gateway_control/origin_record.h"
#include "sim/gateway_world/fleet_world.h"
#include "sim/gateway_world/gateway_node.h"
#include "sim/gateway_world/gateway_process_state.h"

namespace crankspur::gateway_sim {
namespace {

/// Delay between the traffic thread and the control thread.
constexpr Duration kThreadDelay = std::chrono::microseconds(50);

}  // namespace

bool GatewayNode::keepsBuildRecord() const {
  return !context_.site.releases.empty() && context_.has(sim::Mechanism::BuildRecord);
}

bool GatewayNode::keepsOriginRecord() const {
  return !context_.site.releases.empty() && context_.has(sim::Mechanism::OriginRecord);
}

/// @return whether requests may be served: the first one may resume a stream, or be a quarantined one.
bool GatewayNode::recordsReady() const {
  const bool builds_ready = !keepsBuildRecord() || process_->builds.isReady(now());
  const bool origins_ready = !keepsOriginRecord() || process_->origins.isReady(now());
  return process_->crashes.isReady(now()) && builds_ready && origins_ready;
}

void GatewayNode::startRecords() {
  callBuildRecord();
  callOriginRecord();
}

/// Passes the builds on record to the traffic side, and those of the list to the record.
void GatewayNode::exchangeBuilds(gateway::GatewaySnapshot& snapshot) {
  if (!keepsBuildRecord()) return;
  snapshot.builds_before = process_->builds.before();
  snapshot.builds_before_known = process_->builds.isKnown();
  process_->builds.onListed(snapshot.backends, otherMembers().size(), now());
  callBuildRecord();
}

void GatewayNode::callBuildRecord() {
  if (!keepsBuildRecord()) return;
  const gateway::RecordCall call = process_->builds.nextCall(now());
  RecordHandlers handlers;
  handlers.on_read = [this](const std::optional<gateway::StoredRecord>& record) {
    const bool was_known = process_->builds.isKnown();
    process_->builds.onRead(record, now());
    if (record) context_.trace.note(host_.name(), "reads the builds {}", record->text);
    if (!was_known) publish();
    callBuildRecord();
  };
  handlers.on_written = [this](std::optional<std::uint64_t> version) {
    process_->builds.onWritten(version.has_value(), now());
    if (version) context_.trace.note(host_.name(), "has written the builds");
    callBuildRecord();
  };
  if (call.kind != gateway::RecordCall::Kind::none) {
    callRecord(gateway::BuildRecord::kName, call, true, handlers);
  }
  arm(process_->build_record_timer, process_->builds.nextTimer(), [this] { callBuildRecord(); });
}

void GatewayNode::execute(const gateway::ConfirmBuilds& action) {
  host_.post(kThreadDelay, [this, number = action.number] { confirmBuilds(number); });
}

/// Reads the list and the record in one call, which is as two calls that succeed or fail together.
void GatewayNode::confirmBuilds(std::uint64_t number) {
  if (!context_.has(sim::Mechanism::BuildConfirmation)) return respondBuilds(number, gateway::StoredRecord());
  const auto update = std::make_shared<EngineTableUpdate>();
  const auto record = std::make_shared<gateway::StoredRecord>();
  const TimePoint requested_at = now();
  const TimePoint requested_true_time = context_.queue.now();
  StoreNode& store = world_.store();
  store.call(
      host_,
      [&store, update, record, version = process_->table_version] {
        *update = store.changesSince(version);
        *record = store.record(gateway::BuildRecord::kName);
      },
      [=, this](bool executed) {
        if (!executed) return respondBuilds(number, std::nullopt);
        onStoreResponse(*update, requested_at, requested_true_time);
        respondBuilds(number, *record);
      });
}

void GatewayNode::respondBuilds(std::uint64_t number, const std::optional<gateway::StoredRecord>& record) {
  gateway::ConfirmedBuilds confirmed;
  confirmed.number = number;
  confirmed.responded = record.has_value();
  if (record) confirmed.builds = process_->builds.served(*record, now());
  host_.post(kThreadDelay, [this, confirmed] {
    process_->traffic.onBuildsConfirmed(confirmed, now());
    executeActions();
  });
}

void GatewayNode::callOriginRecord() {
  if (!keepsOriginRecord()) return;
  const gateway::RecordCall call = process_->origins.nextCall(otherMembers().size(), now());
  RecordHandlers handlers;
  handlers.on_read = [this](const std::optional<gateway::StoredRecord>& record) {
    restoreOrigins(process_->origins.onRead(record, now()));
    publish();
    callOriginRecord();
  };
  handlers.on_written = [this](std::optional<std::uint64_t> version) {
    process_->origins.onWritten(version, now());
    callOriginRecord();
  };
  if (call.kind != gateway::RecordCall::Kind::none) {
    callRecord(process_->origins.name(), call, true, handlers);
  }
  arm(process_->origin_record_timer, process_->origins.nextTimer(), [this] { callOriginRecord(); });
}

/// The traffic side keeps them as if another gateway had told them.
void GatewayNode::restoreOrigins(std::vector<StreamOriginRecord> origins) {
  if (origins.empty()) return;
  context_.trace.note(host_.name(), "restores {} origins", origins.size());
  StreamOrigins message;
  message.begun = std::move(origins);
  host_.post(kThreadDelay, [this, message] {
    process_->traffic.onStreamOrigins(member_name_, message, now());
    executeActions();
  });
}

void GatewayNode::recordOrigins(const std::vector<StreamOriginRecord>& origins) {
  if (origins.empty() || !keepsOriginRecord()) return;
  process_->origins.onKept(origins, now());
  callOriginRecord();
}

}  // namespace crankspur::gateway_sim
