#include "sim/kernel/network.h"

#include <algorithm>
#include <utility>

namespace crankspur::sim {

namespace {
/// Expired channels are removed after this many new channels.
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
    // The other host restarted without this connection: its operating system responds with a reset.
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
  if (network_.isBlocked(sender, receiver) || !receiving.queued.empty()) {
    receiving.queued.push_back(std::move(task));
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
  end(side).close_reported = true;
  transmit(other(side), [self = shared_from_this(), side] { self->reportClosed(other(side)); });
}

void Channel::onClosed(Side side, Task handler) {
  end(side).on_closed = std::move(handler);
}

void Channel::reset() {
  if (generation_ > 0) return;
  open_ = false;
  ++generation_;
  client_end_.queued.clear();
  server_end_.queued.clear();
  for (const Side side : {Side::Client, Side::Server}) {
    network_.queue_.after(Duration(0), [self = shared_from_this(), side] {
      self->host(side).run(self->end(side).epoch, [self, side] { self->reportClosed(side); });
    });
  }
}

void Channel::reportClosed(Side side) {
  End& notified = end(side);
  open_ = false;
  if (notified.close_reported) return;
  notified.close_reported = true;
  // Handlers often own the channel; a handler kept after its only call would leak the channel.
  const Task on_closed = std::exchange(notified.on_closed, {});
  if (on_closed) on_closed();
}

void Channel::release() {
  for (End* const end : {&client_end_, &server_end_}) {
    // Moved out first, because destroying them may release other references to this channel.
    const Task on_closed = std::exchange(end->on_closed, {});
    const std::vector<Task> queued = std::exchange(end->queued, {});
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
  auto done = std::make_shared<bool>(false);
  client.post(timeout, [done, failed] {
    if (*done) return;
    *done = true;
    failed();
  });
  if (isBlocked(client, server)) return;
  const std::uint64_t client_epoch = client.epoch();
  queue_.after(delay(client, server), [this, &client, &server, client_epoch, done, accepted, opened, failed] {
    const auto respond = [this, &client, &server, client_epoch](const Task& task) {
      if (isBlocked(client, server)) return;
      queue_.after(delay(server, client), [&client, client_epoch, task] { client.run(client_epoch, task); });
    };
    if (!server.up()) {
      respond([done, failed] {
        if (*done) return;
        *done = true;
        failed();
      });
      return;
    }
    // The operating system of a paused server still accepts the connection; the process sees it after wake().
    if (!client.up() || client.epoch() != client_epoch) return;
    auto channel = std::make_shared<Channel>(*this, client, server);
    channels_.push_back(channel);
    if (++channels_since_sweep_ >= kSweepInterval) {
      channels_since_sweep_ = 0;
      channels_.remove_if([](const std::weak_ptr<Channel>& entry) { return entry.expired(); });
    }
    // The handshake is sent on the channel, so that no message of the server overtakes it.
    channel->transmit(Side::Client, [done, opened, channel] {
      if (*done) {
        channel->close(Side::Client);
        return;
      }
      *done = true;
      opened(channel);
    });
    server.run(server.epoch(), [accepted, channel] { accepted(channel); });
  });
}

void Network::datagram(Host& from, Host& to, Task deliver) {
  if (isBlocked(from, to)) return;
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

void Network::partition(std::uint64_t number, std::set<std::string> first, std::set<std::string> second) {
  partitions_[number] = {std::move(first), std::move(second)};
}

void Network::heal(std::uint64_t number) {
  if (partitions_.erase(number) > 0) flushQueued();
}

bool Network::isBlocked(const Host& first, const Host& second) const {
  for (const auto& [number, groups] : partitions_) {
    if (groups.first.contains(first.name()) && groups.second.contains(second.name())) return true;
    if (groups.first.contains(second.name()) && groups.second.contains(first.name())) return true;
  }
  return false;
}

void Network::flushQueued() {
  for (const auto& entry : channels_) {
    const ChannelPointer channel = entry.lock();
    if (!channel || isBlocked(channel->client_, channel->server_)) continue;
    for (const Side to : {Side::Client, Side::Server}) {
      std::vector<Task> queued = std::move(channel->end(to).queued);
      channel->end(to).queued.clear();
      for (Task& task : queued) channel->transmit(to, std::move(task));
    }
  }
}

void Network::setExtraDelay(Duration max_delay, double probability) {
  extra_delay_ = max_delay;
  extra_delay_probability_ = probability;
}

std::size_t Network::resetRandomChannels(double probability) {
  std::size_t count = 0;
  for (const auto& entry : channels_) {
    const ChannelPointer channel = entry.lock();
    if (!channel || !channel->open() || !random_.chance(probability)) continue;
    channel->reset();
    ++count;
  }
  return count;
}

Duration Network::delay(const Host& from, const Host& to) {
  Duration base = delays_.same_zone;
  if (from.location().region != to.location().region) {
    base = delays_.other_region;
  } else if (from.location().zone != to.location().zone) {
    base = delays_.other_zone;
  }
  const double jitter = random_.exponential(static_cast<double>(base.count()) * delays_.jitter);
  Duration total = base + Duration(static_cast<std::int64_t>(jitter));
  if (extra_delay_probability_ > 0 && random_.chance(extra_delay_probability_)) {
    total += Duration(static_cast<std::int64_t>(random_.unit() * static_cast<double>(extra_delay_.count())));
  }
  return total;
}

}  // namespace crankspur::sim
