#pragma once
/// @file The platform's store as gateways and engines see it: the table of engines and this program's record.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"
#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

/// How the store treats calls.
enum class StoreMode {
  sound,
  silent,       ///< Does nothing and never answers.
  refuses,      ///< Does nothing, and says so.
  late,         ///< Answers after up to two seconds.
  answer_lost,  ///< Does what it is asked and often does not answer.
};

/// An engine's row.
struct EngineRow {
  std::uint32_t engine = 0;
  std::uint64_t born_ms = 0;
  std::uint64_t version = 0;  ///< Of the table, when the row changed last.
  bool present = true;
  TimePoint written_at{};
};

/// Rows of engines that changed.
struct EngineTableNews {
  std::uint64_t version = 0;
  std::vector<EngineRow> rows;
};

/// The store's state and its process.
class StoreNode {
public:
  explicit StoreNode(FleetContext& context);

  sim::Host& host() { return host_; }
  void setMode(StoreMode mode) { mode_ = mode; }
  StoreMode mode() const { return mode_; }
  /// Drops rows of engines, which write them again with their next heartbeat.
  void loseRows(double share);

  // Called by engines, over the network.
  void writeEngine(sim::Host& from, std::uint32_t engine, std::uint64_t born_ms);

  /// A call of a gateway: `act` runs at the store unless it is silent or refuses; `reply` runs at the caller
  /// if the call is answered, with whether the store acted.
  void call(sim::Host& from, const sim::Task& act, const std::function<void(bool acted)>& reply);

  // To be used within `act`.
  EngineTableNews changesSince(std::uint64_t version);
  gateway::StoredRecord record() const;
  bool writeRecord(const std::string& text, std::uint64_t expected_version);

private:
  void expireRows();

  FleetContext& context_;
  sim::Host host_;
  StoreMode mode_ = StoreMode::sound;
  std::map<std::uint32_t, EngineRow> rows_;
  std::uint64_t version_ = 1;
  std::string record_;
  std::uint64_t record_version_ = 0;
  TimePoint record_written_at_{};
};

}  // namespace crankspur::gateway_sim
