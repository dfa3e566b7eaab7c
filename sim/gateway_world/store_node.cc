#include "sim/gateway_world/store_node.h"

namespace crankspur::gateway_sim {
namespace {

/// Rows of engines that have not written for so long are dropped.
constexpr Duration kRowLifetime = std::chrono::milliseconds(3'600);
constexpr Duration kExpiryLook = std::chrono::milliseconds(200);
constexpr std::uint64_t kMaxLateMilliseconds = 2'000;
constexpr double kAnswerLost = 0.5;

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
  host_.post(kExpiryLook, [this] { expireRows(); });
}

void StoreNode::loseRows(double share) {
  for (auto& [engine, row] : rows_) {
    if (!row.present || !context_.random.chance(share)) continue;
    row.present = false;
    row.version = ++version_;
  }
}

void StoreNode::writeEngine(sim::Host& from, std::uint32_t engine, std::uint64_t born_ms) {
  context_.network.datagram(from, host_, [this, engine, born_ms] {
    if (mode_ == StoreMode::silent || mode_ == StoreMode::refuses) return;
    EngineRow& row = rows_[engine];
    const bool changed = row.born_ms != born_ms || !row.present || row.version == 0;
    row.engine = engine;
    row.born_ms = born_ms;
    row.present = true;
    row.written_at = context_.queue.now();
    if (changed) row.version = ++version_;
  });
}

void StoreNode::call(sim::Host& from, const sim::Task& act, const std::function<void(bool acted)>& reply) {
  context_.network.datagram(from, host_, [this, &from, epoch = from.epoch(), act, reply] {
    if (mode_ == StoreMode::silent) return;
    const bool acts = mode_ != StoreMode::refuses;
    if (acts) act();
    if (mode_ == StoreMode::answer_lost && context_.random.chance(kAnswerLost)) return;
    const bool late = mode_ == StoreMode::late;
    const auto delay = std::chrono::milliseconds(late ? context_.random.uniform(0, kMaxLateMilliseconds) : 0);
    host_.post(delay, [this, &from, epoch, acts, reply] {
      context_.network.datagram(host_, from, [&from, epoch, acts, reply] {
        if (from.epoch() == epoch) reply(acts);
      });
    });
  });
}

EngineTableNews StoreNode::changesSince(std::uint64_t version) {
  EngineTableNews news;
  news.version = version_;
  for (const auto& [engine, row] : rows_) {
    if (row.version > version) news.rows.push_back(row);
  }
  return news;
}

gateway::StoredRecord StoreNode::record() const {
  return {record_, record_version_, context_.queue.now() - record_written_at_};
}

bool StoreNode::writeRecord(const std::string& text, std::uint64_t expected_version) {
  if (expected_version != record_version_) return false;
  record_ = text;
  ++record_version_;
  record_written_at_ = context_.queue.now();
  return true;
}

}  // namespace crankspur::gateway_sim
