#include "sidecar/router_links.h"

#include <utility>

namespace crankspur {

/// One connection, from the connection attempt until it is closed.
struct RouterLinks::Link {
  std::string address;
  std::string name;  ///< Empty until the Hello is received.
  std::string zone;
  std::uint64_t bundle_version = 0;
  std::shared_ptr<FrameConnection> connection;
  TimePoint last_received{};
  TimePoint last_ping{};
  std::uint64_t ping_sequence = 0;
};

RouterLinks::RouterLinks(const boost::asio::any_io_executor& executor, RouterDirectory& directory,
                         std::function<Hello()> hello, Callbacks callbacks, EventLog& log,
                         RouterLinkOptions options)
    : executor_(executor),
      timer_(executor),
      directory_(directory),
      hello_(std::move(hello)),
      callbacks_(std::move(callbacks)),
      log_(log),
      options_(options) {}

RouterLinks::~RouterLinks() {
  stop(false);
}

void RouterLinks::start() {
  maintain();
}

void RouterLinks::stop(bool flush) {
  stopped_ = true;
  timer_.cancel();
  const auto links = std::exchange(by_address_, {});
  by_name_.clear();
  for (const auto& [address, link] : links) link->connection->close(flush);
}

bool RouterLinks::send(const std::string& router, const Message& message) {
  const auto found = by_name_.find(router);
  if (found == by_name_.end()) return false;
  found->second->connection->send(message);
  return true;
}

std::vector<RouterStatus> RouterLinks::status() const {
  std::vector<RouterStatus> routers;
  for (const auto& [name, link] : by_name_) {
    routers.push_back({name, link->address, link->zone, link->bundle_version});
  }
  return routers;
}

void RouterLinks::maintain() {
  if (stopped_) return;
  const TimePoint now = clock_.now();
  for (const std::string& address : directory_.targetAddresses(now)) {
    if (!by_address_.contains(address)) open(address);
  }
  const auto links = by_name_;
  for (const auto& [name, link] : links) {
    if (now - link->last_received > options_.silence_timeout) {
      link->connection->close(false);
    } else if (now - link->last_ping >= options_.ping_interval) {
      ping(*link, now);
    }
  }
  timer_.expires_after(options_.maintenance_interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) maintain();
  });
}

void RouterLinks::open(const std::string& address) {
  const auto link = std::make_shared<Link>();
  link->address = address;
  by_address_[address] = link;
  const std::weak_ptr<Link> weak = link;
  FrameConnection::Callbacks callbacks;
  callbacks.on_hello = [this, weak](const Hello& hello) {
    if (const auto locked = weak.lock()) onHello(locked, hello);
  };
  callbacks.on_message = [this, weak](Message message) {
    if (const auto locked = weak.lock()) onMessage(locked, std::move(message));
  };
  callbacks.on_closed = [this, weak](std::error_code reason) {
    if (const auto locked = weak.lock()) onClosed(locked, reason);
  };
  link->connection = connectFrames(executor_, address, hello_(), std::move(callbacks));
}

void RouterLinks::onHello(const std::shared_ptr<Link>& link, const Hello& hello) {
  if (stopped_) return;
  const bool is_router = hello.role == NodeRole::Router && !hello.node_name.empty();
  if (!is_router || !directory_.onHello(link->address, hello)) {
    link->connection->close(false);
    return;
  }
  link->name = hello.node_name;
  link->zone = hello.zone;
  link->last_received = clock_.now();
  const auto existing = by_name_.find(link->name);
  const auto replaced = existing == by_name_.end() ? nullptr : existing->second;
  by_name_[link->name] = link;
  // A restarted router may connect before the loss of its old connection is detected.
  if (replaced != nullptr && replaced != link) {
    replaced->connection->close(false);
    callbacks_.on_router_lost(link->name);
  }
  log_.write(EventId::RouterConnected,
             {{"router", link->name}, {"address", link->address}, {"zone", link->zone}});
  callbacks_.on_routers_changed();
  recordBundleVersion(link, hello.bundle_version);
  ping(*link, link->last_received);
}

void RouterLinks::onMessage(const std::shared_ptr<Link>& link, Message message) {
  if (stopped_ || link->name.empty()) return;
  link->last_received = clock_.now();
  const auto applyRecords = [this](const std::vector<MemberRecord>& members) {
    for (const MemberRecord& member : members) directory_.applyRecord(member);
    if (!members.empty()) callbacks_.on_routers_changed();
  };
  if (const auto* received = std::get_if<Ping>(&message)) {
    PingAck ack;
    ack.sequence = received->sequence;
    const Hello self = hello_();
    ack.sender = self.node_name;
    ack.bundle_version = self.bundle_version;
    link->connection->send(ack);
    applyRecords(received->members);
    recordBundleVersion(link, received->bundle_version);
    return;
  }
  if (const auto* ack = std::get_if<PingAck>(&message)) {
    applyRecords(ack->members);
    recordBundleVersion(link, ack->bundle_version);
    return;
  }
  callbacks_.on_message(link->name, std::move(message));
}

void RouterLinks::onClosed(const std::shared_ptr<Link>& link, std::error_code reason) {
  if (stopped_) return;
  const auto by_address = by_address_.find(link->address);
  const bool current = by_address != by_address_.end() && by_address->second == link;
  const auto by_name = by_name_.find(link->name);
  const bool in_use = by_name != by_name_.end() && by_name->second == link;
  if (in_use) by_name_.erase(by_name);
  if (current) {
    by_address_.erase(by_address);
    directory_.onClosed(link->address, clock_.now());
  }
  if (!in_use) return;
  log_.write(EventId::RouterLost,
             {{"router", link->name}, {"address", link->address}, {"reason", reason.message()}});
  callbacks_.on_routers_changed();
  callbacks_.on_router_lost(link->name);
}

void RouterLinks::recordBundleVersion(const std::shared_ptr<Link>& link, std::uint64_t version) {
  link->bundle_version = version;
  callbacks_.on_bundle_version(link->name, version);
}

void RouterLinks::ping(Link& link, TimePoint now) {
  link.last_ping = now;
  const Hello self = hello_();
  Ping message;
  message.sequence = ++link.ping_sequence;
  message.sender = self.node_name;
  message.target = link.name;
  message.bundle_version = self.bundle_version;
  link.connection->send(message);
}

}  // namespace crankspur
