#pragma once
/// @file The platform of the simulation: transactional rows, objects and the lagging machine list, with
/// outages, slowness and answers lost after the effect.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/world/context.h"

namespace crankspur::sim {

/// A row of the table service.
struct TableRow {
  std::uint64_t version = 0;  ///< 0 when absent.
  std::string value;
};

/// Answer to a conditional write.
struct WriteAnswer {
  bool committed = false;
  TableRow row;  ///< The row as it stands after the call.
};

/// Kind of a machine in the machine list.
enum class MachineRole { Engine, Runner, Router };

/// One entry of the machine list.
struct ListedMachine {
  std::string name;
  MachineRole role = MachineRole::Engine;
  std::string pool;
  Place place;
  bool leaving = false;
};
using MachineList = std::vector<ListedMachine>;

/// The platform's services on one host.
class PlatformNode {
public:
  PlatformNode(Context& context, Host& host) : context_(context), host_(host) {}

  void readRow(Host& client, const std::string& key, std::function<void(std::optional<TableRow>)> done);
  /// Writes the row if it has `expected_version` (0: absent).
  void writeRow(Host& client, const std::string& key, std::uint64_t expected_version, std::string value,
                std::function<void(std::optional<WriteAnswer>)> done);
  void putObject(Host& client, const std::string& key, std::string value,
                 std::function<void(std::optional<bool>)> done);
  void getObject(Host& client, const std::string& key, std::function<void(std::optional<std::string>)> done);
  void listMachines(Host& client, std::function<void(std::optional<MachineList>)> done);
  /// Asks the weight store how long a load takes now.
  void loadWeights(Host& client, std::function<void(std::optional<Duration>)> done);

  /// Replaces the machine list; readers see it after the lag.
  void setMachines(MachineList machines);
  /// Marks a machine as leaving.
  /// @return the instant at which readers see the mark.
  TimePoint markLeaving(const std::string& machine);
  const MachineList& newestMachines() const { return lists_.back().machines; }
  void setListLag(Duration lag) { list_lag_ = lag; }

  void setDown(bool down) { down_ = down; }
  void setSlow(Duration delay) { slow_ = delay; }
  void setLostAnswers(double share) { lost_answer_share_ = share; }
  /// Called with (key, row) at each write that took effect.
  void setWriteObserver(std::function<void(const std::string&, const TableRow&)> observer) {
    write_observer_ = std::move(observer);
  }
  Host& host() { return host_; }

private:
  struct ListedAt {
    TimePoint at;
    MachineList machines;
  };
  /// Runs `act` at the platform, with its outages, slowness and lost answers.
  template <typename Reply>
  void serve(Host& client, std::function<std::optional<Reply>()> act,
             std::function<void(std::optional<Reply>)> done);
  WriteAnswer write(const std::string& key, std::uint64_t expected_version, const std::string& value);

  Context& context_;
  Host& host_;
  std::map<std::string, TableRow> rows_;
  std::uint64_t next_version_ = 1;
  std::map<std::string, std::string> objects_;
  std::vector<ListedAt> lists_;
  Duration list_lag_ = std::chrono::seconds(1);
  bool down_ = false;
  Duration slow_{0};
  double lost_answer_share_ = 0;
  std::uint32_t loads_running_ = 0;
  std::function<void(const std::string&, const TableRow&)> write_observer_;
};

}  // namespace crankspur::sim
