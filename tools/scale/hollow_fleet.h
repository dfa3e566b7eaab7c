#pragma once
/// @file A fleet of hollow nodes in one process: the product's membership code and frame codec on a virtual
/// clock and an in-memory network. No sockets: system calls are not part of what it measures.

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "internal_protocol/messages.h"
#include "membership/membership.h"

namespace crankspur::scale {

/// What one run is made of.
struct FleetOptions {
  std::uint32_t nodes = 10;
  std::uint32_t zones = 11;
  std::uint32_t regions = 4;
  double message_loss = 0.05;         ///< Probability that a message is lost.
  std::uint32_t bundle_bytes = 4096;  ///< Size of a bundle update that a node pulls.
  std::uint64_t seed = 1;
};

/// Totals since the last reset.
struct Traffic {
  std::uint64_t gossip_messages = 0;
  std::uint64_t gossip_bytes = 0;  ///< Whole frames, as encoded; TCP and IP headers not counted.
  std::uint64_t bundle_bytes = 0;
  /// Most gossip bytes that one node sent in one second of the virtual clock.
  std::uint64_t most_sent_by_node = 0;
};

/// The fleet. Every node starts with a seed list of three nodes and learns the others by gossip.
class HollowFleet {
public:
  explicit HollowFleet(FleetOptions options);
  /// Lets virtual time pass.
  void run(Duration duration);
  /// Lets time pass until the condition holds, checked every 50 ms.
  /// @return the time it took; the limit when it never held.
  Duration runUntil(const std::function<bool()>& condition, Duration limit);
  /// Stops a node without notice.
  void kill(std::uint32_t index);
  /// Loses every message between region 0 and the others, or heals the cut.
  void partRegion(bool parted) { parted_ = parted; }
  /// @return nodes in region 0.
  std::uint32_t regionSize() const;
  /// @return whether every node lists exactly the living nodes of its side of the cut.
  bool sidesAgree() const;
  /// Gives a node a bundle version to spread.
  void rollBundle(std::uint32_t index, std::uint64_t version);
  /// @return whether every living node lists exactly the living nodes.
  bool everyoneAgrees() const;
  /// @return whether every living node holds the version.
  bool allHold(std::uint64_t version) const;
  Traffic takeTraffic();

private:
  struct Node {
    MemberRecord record;
    std::unique_ptr<Membership> membership;
    std::uint64_t held_version = 0;
    TimePoint pull_ends{};
    TimePoint timer{};
    bool alive = true;
    std::int64_t sent_second = 0;  ///< The second that `sent_bytes` counts.
    std::uint64_t sent_bytes = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void schedule(TimePoint at, std::function<void()> action);
  void step();
  void pump(std::uint32_t index);
  void send(std::uint32_t from, const OutgoingGossip& gossip);
  void receive(std::uint32_t to, const std::string& frame, const std::string& from_address);
  void pullBundle(std::uint32_t index);
  void scheduleTimer(std::uint32_t index);
  Duration delay(std::uint32_t from, std::uint32_t to) const;
  bool lost(std::uint32_t from, std::uint32_t to);
  void count(Node& node, std::size_t bytes);

  FleetOptions options_;
  RandomSource random_;
  TimePoint now_{};
  std::uint64_t order_ = 0;
  std::vector<Node> nodes_;
  std::uint32_t living_ = 0;
  bool parted_ = false;
  Traffic traffic_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace crankspur::scale
