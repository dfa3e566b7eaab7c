#pragma once
/// @file Network of the simulation: ordered channels (connections), datagrams, delays and cuts.

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

/// Which end of a channel.
enum class Side { Client, Server };

/// One connection. Messages of one side arrive in order; those of different channels may overtake each
/// other. A message is a task that runs at the other end's host.
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(Network& network, Host& client, Host& server);
  /// Sends a message from `side`.
  void send(Side side, Task deliver);
  /// Ends the connection from `side`; what was sent before still arrives.
  void close(Side side);
  /// Sets what runs at `side` when the other end closed or the connection was reset.
  void onClosed(Side side, Task handler);
  /// Breaks the connection: what is on its way is lost and both ends are told.
  void reset();
  bool open() const { return open_; }
  Host& host(Side side) const { return side == Side::Client ? client_ : server_; }

private:
  friend class Network;
  struct End {
    std::uint64_t epoch = 0;
    Task closed;
    TimePoint last_arrival{};  ///< Arrival of the latest message towards this end.
    std::vector<Task> held;    ///< Messages towards this end that wait for a cut to heal.
    bool told_closed = false;
  };
  End& end(Side side) { return side == Side::Client ? client_end_ : server_end_; }
  void transmit(Side to, Task task);
  void tellClosed(Side side);
  /// Drops handlers and held messages, which may hold this channel.
  void release();

  Network& network_;
  Host& client_;
  Host& server_;
  End client_end_;
  End server_end_;
  bool open_ = true;
  std::uint64_t generation_ = 0;  ///< Grows at a reset, so that what is on its way is lost.
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
  double jitter = 0.3;  ///< Mean of the random addition, as a share of the delay.
};

/// Every connection and datagram of a run.
class Network {
public:
  Network(EventQueue& queue, NetworkDelays delays, std::uint64_t seed)
      : queue_(queue), delays_(delays), random_(seed) {}
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;
  /// Connections that are still open would otherwise hold themselves.
  ~Network();

  /// Opens a connection. `accepted` runs at the server and then `opened` at the client; or `failed` at the
  /// client when nobody listens or no answer comes within `timeout`.
  void connect(Host& client, Host& server, Duration timeout,
               const std::function<void(ChannelPointer)>& accepted,
               const std::function<void(ChannelPointer)>& opened, const Task& failed);
  /// Sends a message that may be lost or overtaken.
  void datagram(Host& from, Host& to, Task deliver);

  /// Ends a host's process and its connections.
  /// @param silent as at a power loss: the other ends are not told until they send after a restart.
  void crash(Host& host, bool silent);

  /// Cuts every path between two groups of hosts until heal() with the same number.
  void cut(std::uint64_t number, std::set<std::string> first, std::set<std::string> second);
  void heal(std::uint64_t number);
  bool blocked(const Host& first, const Host& second) const;
  /// Adds `extra` with the probability `share` to every message, so that channels overtake each other.
  void setDisturbance(Duration extra, double share);
  /// Breaks a random share of the open connections.
  /// @return connections broken.
  std::size_t resetSome(double share);
  /// @return a delay drawn for one message.
  Duration delay(const Host& from, const Host& to);

private:
  friend class Channel;
  struct Cut {
    std::set<std::string> first;
    std::set<std::string> second;
  };
  void flushHeld();

  EventQueue& queue_;
  NetworkDelays delays_;
  RandomSource random_;
  std::map<std::uint64_t, Cut> cuts_;
  Duration disturbance_{0};
  double disturbance_share_ = 0;
  std::list<std::weak_ptr<Channel>> channels_;
  std::size_t channels_since_sweep_ = 0;
};

}  // namespace crankspur::sim
