#pragma once
/// @file The platform of the simulation: drives standin::PlatformModel over the simulated network.

#include <functional>
#include <optional>
#include <string>

#include "sim/world/context.h"
#include "standins/platform/platform_model.h"

namespace crankspur::sim {

/// Answer to a conditional write.
struct WriteAnswer {
  bool committed = false;
  TableRow row;         ///< The row as it stands after the call.
  bool fenced = false;  ///< Not committed, as the row that must be absent is there.
};

/// The platform's services on one host.
class PlatformNode {
public:
  template <typename Answer>
  using Done = std::function<void(std::optional<Answer>)>;

  PlatformNode(Context& context, Host& host, std::uint64_t seed);

  // Calls from a client's host; `done` runs there, with nothing when no good answer came.
  void readRow(Host& client, const std::string& key, Done<TableRow> done);
  /// Writes the row if it has `expected_version` (0: absent).
  /// @param absent_key a row that must be absent besides; empty: none.
  void writeRow(Host& client, const std::string& key, std::uint64_t expected_version, std::string value,
                Done<WriteAnswer> done, const std::string& absent_key = {});
  void putObject(Host& client, const std::string& key, std::string value, Done<standin::ObjectStored> done);
  void getObject(Host& client, const std::string& key, Done<standin::ObjectFound> done);
  void listMachines(Host& client, Done<MachineList> done);
  /// Asks the weight store how long a load takes now.
  void loadWeights(Host& client, const std::string& model, const std::string& weights,
                   Done<WeightsTransfer> done);

  /// Marks a machine as leaving.
  /// @return the instant at which readers see the mark.
  TimePoint markLeaving(const std::string& machine);
  void setMachines(std::vector<Machine> machines);
  void setListLag(Duration lag);
  /// Sets how table and object store fare.
  void setStoreBehaviour(const standin::ServiceBehaviour& behaviour);
  /// Limits calls of table and object store.
  void setStoreRateLimit(RateLimit limit);
  /// Limit that keeps nobody waiting.
  static constexpr RateLimit kUsualStoreCalls{500.0, 500.0};
  /// Called with each row at each write that took effect.
  void setWriteObserver(std::function<void(const TableRow&)> observer) {
    write_observer_ = std::move(observer);
  }
  /// @return a row as it is, beside all limits, for checkers.
  TableRow row(const std::string& key) const { return model_.row(key); }
  Host& host() { return host_; }

private:
  void serve(Host& client, const standin::PlatformCall& call,
             std::function<void(std::optional<standin::PlatformResponse>)> done);
  /// Serves a call whose good answer has one type.
  template <typename Answer>
  void serveFor(Host& client, const standin::PlatformCall& call, Done<Answer> done);

  Context& context_;
  Host& host_;
  standin::PlatformModel model_;
  std::vector<Machine> machines_;
  Duration list_lag_ = std::chrono::seconds(1);
  std::function<void(const TableRow&)> write_observer_;
};

}  // namespace crankspur::sim
