#pragma once
/// @file The platform's store as gateways and engines use it: the table of engines and the gateways' records.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway_control/platform_link.h"
#include "sim/gateway_world/fleet_context.h"

namespace crankspur::gateway_sim {

/// How the store handles calls.
enum class StoreMode {
  healthy,
  unresponsive,   ///< Executes nothing and never responds.
  refuses,        ///< Executes nothing and responds so.
  slow,           ///< Responds after up to two seconds.
  response_lost,  ///< Executes calls and often does not respond.
};

/// An engine's row.
struct EngineRow {
  std::uint32_t engine = 0;
  std::uint64_t started_ms = 0;
  std::uint64_t version = 0;  ///< Version of the table at the row's last change.
  bool present = true;
  bool draining = false;
  bool departed = false;  ///< The engine announced its departure, or removed the row before it leaves.
  TimePoint written_at{};
};

/// The rows of engines that changed, and the version of the table that includes them.
struct EngineTableUpdate {
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
  /// Drops a random share of the rows; engines write them again with their next heartbeat.
  void loseRows(double share);

  // Called by engines, over the network.
  void writeEngine(sim::Host& from, std::uint32_t engine, std::uint64_t started_ms);

  /// @param announced the row remains and says so; otherwise it is removed.
  void writeDeparture(sim::Host& from, std::uint32_t engine, bool announced);

  /// A call from a gateway: `operation` runs at the store unless the store is unresponsive or refuses;
  /// `reply` runs at the caller if the store responds, with whether `operation` was executed.
  void call(sim::Host& from, const sim::Task& operation, const std::function<void(bool executed)>& reply);

  // To be called from `operation`.
  EngineTableUpdate changesSince(std::uint64_t version);
  gateway::StoredRecord record(const std::string& name) const;
  /// @return the version of the record as written; empty: it has another version than expected.
  std::optional<std::uint64_t> writeRecord(const std::string& name, const std::string& text,
                                           std::uint64_t expected_version);

private:
  struct Record {
    std::string text;
    std::uint64_t version = 0;
    TimePoint written_at{};
  };

  void expireRows();

  FleetContext& context_;
  sim::Host host_;
  StoreMode mode_ = StoreMode::healthy;
  std::map<std::uint32_t, EngineRow> rows_;
  std::uint64_t version_ = 1;
  std::map<std::string, Record> records_;  ///< By name.
};

}  // namespace crankspur::gateway_sim
