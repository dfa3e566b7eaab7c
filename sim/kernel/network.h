#pragma once
/// @file Simulated network: ordered channels (connections), datagrams, delays and partitions.

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "sim/kernel/host.h"

namespace crankspur::sim {

class Network;

/// End of a channel.
enum class Side { Client, Server };

/// One connection. Messages from one side arrive in order; messages of different channels may overtake each
/// other. A message is a task that runs at the host of the other end.
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(Network& network, Host& client, Host& server);
  /// Sends a message from `side`.
  void send(Side side, Task deliver);
  /// Closes the connection from `side`; messages sent before still arrive.
  void close(Side side);
  /// Sets the handler that runs at `side` when the other end closes or the connection is reset.
  void onClosed(Side side, Task handler);
  /// Resets the connection: messages in transit are lost and both ends are notified.
  void reset();
  bool open() const { return open_; }
  Host& host(Side side) const { return side == Side::Client ? client_ : server_; }

private:
  friend class Network;
  struct End {
    std::uint64_t epoch = 0;
    Task on_closed;
    TimePoint last_arrival{};  ///< Arrival of the latest message to this end.
    std::vector<Task> queued;  ///< Messages to this end, queued until a partition heals.
    bool close_reported = false;
  };
  End& end(Side side) { return side == Side::Client ? client_end_ : server_end_; }
  void transmit(Side to, Task task);
  void reportClosed(Side side);
  /// Drops handlers and queued messages, which may own this channel.
  void release();

  Network& network_;
  Host& client_;
  Host& server_;
  End client_end_;
  End server_end_;
  bool open_ = true;
  std::uint64_t generation_ = 0;  ///< Incremented by a reset, so that messages in transit are lost.
};

using ChannelPointer = std::shared_ptr<Channel>;

/// Opposite end.
inline Side other(Side side) {
  return side == Side::Client ? Side::Server : Side::Client;
}

/// One-way delays by distance.
struct NetworkDelays {
  Duration same_zone = std::chrono::microseconds(150);
  Duration other_zone = std::chrono::microseconds(1200);
  Duration other_region = std::chrono::milliseconds(20);
  double jitter = 0.3;  ///< Mean of the random addition, relative to the delay.
};

/// All connections and datagrams of a run.
class Network {
public:
  Network(EventQueue& queue, NetworkDelays delays, std::uint64_t seed)
      : queue_(queue), delays_(delays), random_(seed) {}
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;
  /// Releases the connections, which would otherwise keep themselves alive through their handlers.
  ~Network();

  /// Opens a connection. `accepted` runs at the server and then `opened` at the client; or `failed` at the
  /// client when no process listens or no response arrives within `timeout`.
  void connect(Host& client, Host& server, Duration timeout,
               const std::function<void(ChannelPointer)>& accepted,
               const std::function<void(ChannelPointer)>& opened, const Task& failed);
  /// Sends a message that may be lost or overtaken.
  void datagram(Host& from, Host& to, Task deliver);

  /// Ends a host's process and closes its connections.
  /// @param silent as at a power loss: the other ends are not notified until they send after a restart.
  void crash(Host& host, bool silent);

  /// Blocks all paths between two groups of hosts until heal() is called with the same number.
  void partition(std::uint64_t number, std::set<std::string> first, std::set<std::string> second);
  void heal(std::uint64_t number);
  bool isBlocked(const Host& first, const Host& second) const;
  /// Adds a random delay of up to `max_delay` to each message with the given probability, so that messages of
  /// different channels overtake each other.
  void setExtraDelay(Duration max_delay, double probability);
  /// Resets each open connection with the given probability.
  /// @return number of connections reset.
  std::size_t resetRandomChannels(double probability);
  /// @return a random delay for one message.
  Duration delay(const Host& from, const Host& to);

private:
  friend class Channel;
  struct Partition {
    std::set<std::string> first;
    std::set<std::string> second;
  };
  void flushQueued();

  EventQueue& queue_;
  NetworkDelays delays_;
  RandomSource random_;
  std::map<std::uint64_t, Partition> partitions_;
  Duration extra_delay_{0};
  double extra_delay_probability_ = 0;
  std::list<std::weak_ptr<Channel>> channels_;
  std::size_t channels_since_sweep_ = 0;
};

}  // namespace crankspur::sim
