#include "sim/world/platform_node.h"

namespace crankspur::sim {

namespace {
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr Duration kServiceTime = std::chrono::milliseconds(3);
/// Loads of weights that run at full speed side by side.
constexpr std::uint32_t kFullSpeedLoads = 3;
constexpr Duration kLoadTime = std::chrono::seconds(2);
}  // namespace

template <typename Reply>
void PlatformNode::serve(Host& client, std::function<std::optional<Reply>()> act,
                         std::function<void(std::optional<Reply>)> done) {
  call<Reply>(
      context_, client, host_, kCallTimeout,
      [this, act = std::move(act)](std::function<void(Reply)> answer) {
        host_.post(kServiceTime + slow_, [this, act, answer] {
          if (down_) return;
          std::optional<Reply> reply = act();
          const bool lost = lost_answer_share_ > 0 && context_.random.chance(lost_answer_share_);
          if (reply && !lost) answer(std::move(*reply));
        });
      },
      std::move(done));
}

void PlatformNode::readRow(Host& client, const std::string& key,
                           std::function<void(std::optional<TableRow>)> done) {
  serve<TableRow>(
      client, [this, key] { return std::optional(rows_[key]); }, std::move(done));
}

void PlatformNode::writeRow(Host& client, const std::string& key, std::uint64_t expected_version,
                            std::string value, std::function<void(std::optional<WriteAnswer>)> done) {
  serve<WriteAnswer>(
      client, [this, key, expected_version, value] { return std::optional(write(key, expected_version, value)); },
      std::move(done));
}

WriteAnswer PlatformNode::write(const std::string& key, std::uint64_t expected_version,
                                const std::string& value) {
  TableRow& row = rows_[key];
  if (row.version != expected_version) return {false, row};
  row.version = next_version_++;
  row.value = value;
  if (write_observer_) write_observer_(key, row);
  return {true, row};
}

void PlatformNode::putObject(Host& client, const std::string& key, std::string value,
                             std::function<void(std::optional<bool>)> done) {
  serve<bool>(
      client,
      [this, key, value] {
        objects_[key] = value;
        return std::optional(true);
      },
      std::move(done));
}

void PlatformNode::getObject(Host& client, const std::string& key,
                             std::function<void(std::optional<std::string>)> done) {
  serve<std::string>(
      client,
      [this, key]() -> std::optional<std::string> {
        const auto found = objects_.find(key);
        if (found == objects_.end()) return std::nullopt;
        return found->second;
      },
      std::move(done));
}

void PlatformNode::listMachines(Host& client, std::function<void(std::optional<MachineList>)> done) {
  serve<MachineList>(
      client,
      [this] {
        const TimePoint seen = context_.queue.now() - list_lag_;
        const MachineList* list = &lists_.front().machines;
        for (const ListedAt& entry : lists_) {
          if (entry.at <= seen) list = &entry.machines;
        }
        return std::optional(*list);
      },
      std::move(done));
}

void PlatformNode::loadWeights(Host& client, std::function<void(std::optional<Duration>)> done) {
  serve<Duration>(
      client,
      [this] {
        ++loads_running_;
        const std::uint32_t factor = (loads_running_ + kFullSpeedLoads - 1) / kFullSpeedLoads;
        const Duration time = kLoadTime * factor;
        host_.post(time, [this] { --loads_running_; });
        return std::optional(time);
      },
      std::move(done));
}

void PlatformNode::setMachines(MachineList machines) {
  lists_.push_back({context_.queue.now(), std::move(machines)});
}

TimePoint PlatformNode::markLeaving(const std::string& machine) {
  MachineList machines = newestMachines();
  for (ListedMachine& entry : machines) {
    if (entry.name == machine) entry.leaving = true;
  }
  setMachines(std::move(machines));
  return context_.queue.now() + list_lag_;
}

}  // namespace crankspur::sim
