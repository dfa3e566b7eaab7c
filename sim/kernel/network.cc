#include "sim/kernel/network.h"

#include <algorithm>
#include <utility>

namespace crankspur::sim {

namespace {
/// Closed channels are forgotten after this many new ones.
constexpr std::size_t kSweepInterval = 512;
}  // namespace

Channel::Channel(Network& network, Host& client, Host& server)
    : network_(network), client_(client), server_(server) {
  client_end_.epoch = client.epoch();
  server_end_.epoch = server.epoch();
}

void Channel::send(Side side, Task deliver) {
  if (!open_) return;
  const Side to = other(side);
  Host& receiver = host(to);
  if (receiver.up() && receiver.epoch() != end(to).epoch) {
    // The other machine came back without this connection: its system answers with a reset.
    network_.queue_.after(network_.delay(host(side), receiver),
                          [self = shared_from_this()] { self->reset(); });
    return;
  }
  transmit(to, std::move(deliver));
}

void Channel::transmit(Side to, Task task) {
  Host& receiver = host(to);
  Host& sender = host(other(to));
  End& receiving = end(to);
  if (network_.blocked(sender, receiver) || !receiving.held.empty()) {
    receiving.held.push_back(std::move(task));
    return;
  }
  const TimePoint arrival =
      std::max(receiving.last_arrival, network_.queue_.now() + network_.delay(sender, receiver));
  receiving.last_arrival = arrival;
  network_.queue_.at(arrival,
                     [self = shared_from_this(), to, generation = generation_, task = std::move(task)] {
                       if (self->generation_ != generation) return;
                       self->host(to).run(self->end(to).epoch, task);
                     });
}

void Channel::close(Side side) {
  if (!open_) return;
  open_ = false;
  end(side).told_closed = true;
  transmit(other(side), [self = shared_from_this(), side] { self->tellClosed(other(side)); });
}

void Channel::onClosed(Side side, Task handler) {
  end(side).closed = std::move(handler);
}

void Channel::reset() {
  if (generation_ > 0) return;
  open_ = false;
  ++generation_;
  client_end_.held.clear();
  server_end_.held.clear();
  for (const Side side : {Side::Client, Side::Server}) {
    network_.queue_.after(Duration(0), [self = shared_from_this(), side] {
      self->host(side).run(self->end(side).epoch, [self, side] { self->tellClosed(side); });
    });
  }
}

void Channel::tellClosed(Side side) {
  End& told = end(side);
  open_ = false;
  if (told.told_closed) return;
  told.told_closed = true;
  // Handlers often hold the channel: to keep one after its only call would keep the channel for ever.
  const Task closed = std::exchange(told.closed, {});
  if (closed) closed();
}

void Channel::release() {
  for (End* const end : {&client_end_, &server_end_}) {
    // Moved out first, since what is destroyed may let go of this channel.
    const Task closed = std::exchange(end->closed, {});
    const std::vector<Task> held = std::exchange(end->held, {});
  }
}

Network::~Network() {
  for (const auto& entry : channels_) {
    if (const ChannelPointer channel = entry.lock()) channel->release();
  }
}

void Network::connect(Host& client, Host& server, Duration timeout,
                      const std::function<void(ChannelPointer)>& accepted,
                      const std::function<void(ChannelPointer)>& opened, const Task& failed) {
  auto settled = std::make_shared<bool>(false);
  client.post(timeout, [settled, failed] {
    if (*settled) return;
    *settled = true;
    failed();
  });
  if (blocked(client, server)) return;
  const std::uint64_t client_epoch = client.epoch();
  queue_.after(delay(client, server), [this, &client, &server, client_epoch, settled, accepted, opened,
                                       failed] {
    const auto answer = [this, &client, &server, client_epoch](const Task& task) {
      if (blocked(client, server)) return;
      queue_.after(delay(server, client), [&client, client_epoch, task] { client.run(client_epoch, task); });
    };
    if (!server.up()) {
      answer([settled, failed] {
        if (*settled) return;
        *settled = true;
        failed();
      });
      return;
    }
    // A paused server's system still takes the connection; its process sees it when it wakes.
    if (!client.up() || client.epoch() != client_epoch) return;
    auto channel = std::make_shared<Channel>(*this, client, server);
    channels_.push_back(channel);
    if (++channels_since_sweep_ >= kSweepInterval) {
      channels_since_sweep_ = 0;
      channels_.remove_if([](const std::weak_ptr<Channel>& entry) { return entry.expired(); });
    }
    // The handshake travels on the channel, so that nothing the server says overtakes it.
    channel->transmit(Side::Client, [settled, opened, channel] {
      if (*settled) {
        channel->close(Side::Client);
        return;
      }
      *settled = true;
      opened(channel);
    });
    server.run(server.epoch(), [accepted, channel] { accepted(channel); });
  });
}

void Network::datagram(Host& from, Host& to, Task deliver) {
  if (blocked(from, to)) return;
  queue_.after(delay(from, to), [&to, deliver = std::move(deliver)] { to.run(to.epoch(), deliver); });
}

void Network::crash(Host& host, bool silent) {
  for (const auto& entry : channels_) {
    const ChannelPointer channel = entry.lock();
    if (!channel || !channel->open()) continue;
    const bool is_client = &channel->host(Side::Client) == &host;
    const bool is_server = &channel->host(Side::Server) == &host;
    if (!is_client && !is_server) continue;
    const Side side = is_client ? Side::Client : Side::Server;
    if (!silent) channel->close(side);
  }
  host.stop();
}

void Network::cut(std::uint64_t number, std::set<std::string> first, std::set<std::string> second) {
  cuts_[number] = {std::move(first), std::move(second)};
}

void Network::heal(std::uint64_t number) {
  if (cuts_.erase(number) > 0) flushHeld();
}

bool Network::blocked(const Host& first, const Host& second) const {
  for (const auto& [number, cut] : cuts_) {
    if (cut.first.contains(first.name()) && cut.second.contains(second.name())) return true;
    if (cut.first.contains(second.name()) && cut.second.contains(first.name())) return true;
  }
  return false;
}

void Network::flushHeld() {
  for (const auto& entry : channels_) {
    const ChannelPointer channel = entry.lock();
    if (!channel || blocked(channel->client_, channel->server_)) continue;
    for (const Side to : {Side::Client, Side::Server}) {
      std::vector<Task> held = std::move(channel->end(to).held);
      channel->end(to).held.clear();
      for (Task& task : held) channel->transmit(to, std::move(task));
    }
  }
}

void Network::setDisturbance(Duration extra, double share) {
  disturbance_ = extra;
  disturbance_share_ = share;
}

std::size_t Network::resetSome(double share) {
  std::size_t count = 0;
  for (const auto& entry : channels_) {
    const ChannelPointer channel = entry.lock();
    if (!channel || !channel->open() || !random_.chance(share)) continue;
    channel->reset();
    ++count;
  }
  return count;
}

Duration Network::delay(const Host& from, const Host& to) {
  Duration base = delays_.same_zone;
  if (from.place().region != to.place().region) {
    base = delays_.other_region;
  } else if (from.place().zone != to.place().zone) {
    base = delays_.other_zone;
  }
  const double jitter = random_.exponential(static_cast<double>(base.count()) * delays_.jitter);
  Duration total = base + Duration(static_cast<std::int64_t>(jitter));
  if (disturbance_share_ > 0 && random_.chance(disturbance_share_)) {
    total += Duration(static_cast<std::int64_t>(random_.unit() * static_cast<double>(disturbance_.count())));
  }
  return total;
}

}  // namespace crankspur::sim
