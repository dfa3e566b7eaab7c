#pragma once
/// @file Simulated platform: drives standin::PlatformModel over the simulated network.

#include <functional>
#include <optional>
#include <string>

#include "sim/world/context.h"
#include "standins/platform/platform_model.h"

namespace crankspur::sim {

/// Response to a conditional write.
struct WriteResponse {
  bool committed = false;
  TableRow row;         ///< The row after the call.
  bool fenced = false;  ///< Not committed because the row that must be absent exists.
};

/// Serves all platform services from one host.
class PlatformNode {
public:
  template <typename Response>
  using ResponseCallback = std::function<void(std::optional<Response>)>;

  PlatformNode(Context& context, Host& host, std::uint64_t seed);

  // Called from a client's host, where `done` runs; std::nullopt reports a failure or time-out.
  void readRow(Host& client, const std::string& key, ResponseCallback<TableRow> done);
  /// Writes the row if its version is `expected_version` (0: the row is absent).
  /// @param absent_key key of a second row that must be absent; empty: no such condition.
  void writeRow(Host& client, const std::string& key, std::uint64_t expected_version, std::string value,
                ResponseCallback<WriteResponse> done, const std::string& absent_key = {});
  void putObject(Host& client, const std::string& key, std::string value,
                 ResponseCallback<standin::ObjectStored> done);
  void getObject(Host& client, const std::string& key, ResponseCallback<standin::ObjectFound> done);
  void listMachines(Host& client, ResponseCallback<MachineList> done);
  /// Queries the weight store for the duration of a load started now.
  void loadWeights(Host& client, const std::string& model, const std::string& weights,
                   ResponseCallback<WeightsTransfer> done);

  /// Marks a machine as leaving in the machine list.
  /// @return the time at which readers of the list see the change.
  TimePoint markLeaving(const std::string& machine);
  void setMachines(std::vector<Machine> machines);
  void setListLag(Duration lag);
  /// Sets the failure and latency behaviour of table and object store.
  void setStoreBehaviour(const standin::ServiceBehaviour& behaviour);
  /// Sets the rate limit for calls to table and object store.
  void setStoreRateLimit(RateLimit limit);
  /// Default rate limit; high enough not to delay any caller.
  static constexpr RateLimit kDefaultStoreRateLimit{500.0, 500.0};
  /// Sets a callback that runs with each row of each committed transaction.
  void setWriteObserver(std::function<void(const TableRow&)> observer) {
    write_observer_ = std::move(observer);
  }
  /// @return the current row, bypassing faults and rate limits; for checkers.
  TableRow row(const std::string& key) const { return model_.row(key); }
  Host& host() { return host_; }

private:
  void serve(Host& client, const standin::PlatformCall& call,
             std::function<void(std::optional<standin::PlatformResponse>)> done);
  /// Serves a call that succeeds with the type `Response`; any other response is a failure.
  template <typename Response>
  void serveFor(Host& client, const standin::PlatformCall& call, ResponseCallback<Response> done);

  Context& context_;
  Host& host_;
  standin::PlatformModel model_;
  std::vector<Machine> machines_;
  Duration list_lag_ = std::chrono::seconds(1);
  std::function<void(const TableRow&)> write_observer_;
};

}  // namespace crankspur::sim
