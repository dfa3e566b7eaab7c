#include "sim/gateway_world/store_node.h"

#include <utility>

namespace crankspur::gateway_sim {
namespace {

/// Rows of engines that have not written for this long are dropped.
constexpr Duration kRowLifetime = std::chrono::milliseconds(3'600);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t kMaxResponseDelayMilliseconds = 2'000;
constexpr double kResponseLossProbability = 0.5;

}  // namespace

StoreNode::StoreNode(FleetContext& context)
    : context_(context), host_("store", {"store-zone", "region"}, context.queue) {
  host_.start();
  expireRows();
}

void StoreNode::expireRows() {
  for (auto& [engine, row] : rows_) {
    if (!row.present || context_.queue.now() - row.written_at < kRowLifetime) continue;
    row.present = false;
    row.version = ++version_;
  }
  host_.post(kExpiryInterval, [this] { expireRows(); });
}

void StoreNode::loseRows(double share) {
  for (auto& [engine, row] : rows_) {
    if (!row.present || !context_.random.chance(share)) continue;
    row.present = false;
    row.version = ++version_;
  }
}

void StoreNode::writeEngine(sim::Host& from, std::uint32_t engine, std::uint64_t started_ms) {
  context_.network.datagram(from, host_, [this, engine, started_ms] {
    if (mode_ == StoreMode::unresponsive || mode_ == StoreMode::refuses) return;
    EngineRow& row = rows_[engine];
    const bool changed = row.started_ms != started_ms || !row.present || row.version == 0;
    row.engine = engine;
    row.started_ms = started_ms;
    row.present = true;
    if (changed) row.draining = row.departed = false;
    row.written_at = context_.queue.now();
    if (changed) row.version = ++version_;
  });
}

void StoreNode::writeDeparture(sim::Host& from, std::uint32_t engine, bool announced) {
  context_.network.datagram(from, host_, [this, &from, engine, announced, epoch = from.epoch()] {
    const bool takes_calls = mode_ != StoreMode::unresponsive && mode_ != StoreMode::refuses;
    EngineRow& row = rows_[engine];
    if (!takes_calls || from.epoch() != epoch) return;
    row.written_at = context_.queue.now();
    if (std::exchange(row.departed, true)) return;
    row.engine = engine;
    row.present = announced;
    row.draining = announced;
    row.version = ++version_;
    context_.records.departures.push_back({engine, epoch, context_.queue.now()});
  });
}

void StoreNode::call(sim::Host& from, const sim::Task& operation,
                     const std::function<void(bool executed)>& reply) {
  context_.network.datagram(from, host_, [this, &from, epoch = from.epoch(), operation, reply] {
    if (mode_ == StoreMode::unresponsive) return;
    const bool executes = mode_ != StoreMode::refuses;
    if (executes) operation();
    if (mode_ == StoreMode::response_lost && context_.random.chance(kResponseLossProbability)) return;
    const bool slow = mode_ == StoreMode::slow;
    const auto delay =
        std::chrono::milliseconds(slow ? context_.random.uniform(0, kMaxResponseDelayMilliseconds) : 0);
    host_.post(delay, [this, &from, epoch, executes, reply] {
      context_.network.datagram(host_, from, [&from, epoch, executes, reply] {
        if (from.epoch() == epoch) reply(executes);
      });
    });
  });
}

EngineTableUpdate StoreNode::changesSince(std::uint64_t version) {
  EngineTableUpdate update;
  update.version = version_;
  for (const auto& [engine, row] : rows_) {
    if (row.version > version) update.rows.push_back(row);
  }
  return update;
}

gateway::StoredRecord StoreNode::record(const std::string& name) const {
  const auto found = records_.find(name);
  if (found == records_.end()) return {};
  const Record& record = found->second;
  return {record.text, record.version, context_.queue.now() - record.written_at};
}

std::optional<std::uint64_t> StoreNode::writeRecord(const std::string& name, const std::string& text,
                                                    std::uint64_t expected_version) {
  Record& record = records_[name];
  if (expected_version != record.version) return std::nullopt;
  record.text = text;
  record.written_at = context_.queue.now();
  return ++record.version;
}

}  // namespace crankspur::gateway_sim
