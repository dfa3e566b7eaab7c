#include "sim/world/sidecar_node.h"

#include "base/hash.h"
#include "sim/world/router_node.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaintenanceInterval = milliseconds(100);
constexpr Duration kPingInterval = seconds(1);
constexpr Duration kRouterSilenceTimeout = seconds(3);
constexpr Duration kConnectTimeout = seconds(1);

/// Maximum delay of a duplicated bundle.
constexpr double kMaxBundleRepeatDelayMicros = 12'000'000;

}  // namespace

SidecarNode::SidecarNode(Context& context, Host& host, std::vector<std::string> seeds, TrustedKeys keys)
    : context_(context), host_(host), seeds_(std::move(seeds)), keys_(std::move(keys)) {}

SidecarNode::~SidecarNode() = default;

void SidecarNode::start() {
  if (host_.up()) return;
  host_.start();
  context_.trace.note(host_.name(), "start, process {}", host_.epoch());
  process_ = std::make_unique<Process>();
  const Location& location = host_.location();
  process_->directory =
      std::make_unique<RouterDirectory>(host_.name(), location.zone, location.region, context_.random.bits());
  for (const std::string& seed : seeds_) process_->directory->addSeed(seed);
  process_->selector = std::make_unique<RendezvousRouterSelector>(location.zone, location.region);
  process_->bundles = std::make_unique<BundleHolder>(keys_);
  maintainConnections();
}

void SidecarNode::crash(bool silent) {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "crash");
  for (auto& [id, open] : process_->open_requests) open.record->abandoned = true;
  context_.network.crash(host_, silent);
  process_.reset();
}

void SidecarNode::maintainConnections() {
  for (const std::string& address : process_->directory->targetAddresses(now())) {
    if (!process_->links.contains(address)) connectRouter(address);
  }
  std::vector<ChannelPointer> silent;
  for (auto& [address, link] : process_->links) {
    if (!link.channel || link.name.empty()) continue;
    if (now() - link.last_received_at > kRouterSilenceTimeout) {
      silent.push_back(link.channel);
    } else if (now() - link.last_ping >= kPingInterval) {
      link.last_ping = now();
      Ping ping;
      ping.sequence = ++link.ping_sequence;
      ping.sender = host_.name();
      ping.target = link.name;
      ping.bundle_version = bundleVersion();
      sendOn(link.channel, ping);
    }
  }
  for (const ChannelPointer& channel : silent) {
    // The channel stays half open, so late responses on it must be matched by their contents.
    onLinkClosed(channel);
  }
  host_.post(kMaintenanceInterval, [this] { maintainConnections(); });
}

void SidecarNode::connectRouter(const std::string& address) {
  process_->links[address].address = address;
  RouterNode* router = context_.directory.router(address);
  context_.network.connect(
      host_, router->host(), kConnectTimeout,
      [this, router](const ChannelPointer& channel) { router->acceptSidecar(channel, *this); },
      [this, address](const ChannelPointer& channel) {
        RouterLink& link = process_->links[address];
        link.address = address;
        link.channel = channel;
        link.last_received_at = now();
        channel->onClosed(Side::Client, [this, channel] { onLinkClosed(channel); });
      },
      [this, address] {
        process_->links.erase(address);
        process_->directory->onClosed(address, now());
      });
}

SidecarNode::RouterLink* SidecarNode::findLink(const ChannelPointer& channel) {
  for (auto& [address, link] : process_->links) {
    if (link.channel == channel) return &link;
  }
  return nullptr;
}

void SidecarNode::onLinkClosed(const ChannelPointer& channel) {
  const RouterLink* link = findLink(channel);
  if (link == nullptr) return;
  const std::string name = link->name;
  const std::string address = link->address;
  process_->links.erase(address);
  process_->directory->onClosed(address, now());
  routersChanged();
  if (!name.empty()) failRequestsAt(name);
}

void SidecarNode::failRequestsAt(const std::string& router) {
  std::vector<std::string> ids;
  for (const auto& [id, open] : process_->open_requests) {
    if (open.router == router) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const auto found = process_->open_requests.find(id);
    if (found == process_->open_requests.end()) continue;
    found->second.request->onRouterLost(router, true, now());
    executeActions(id);
  }
}

void SidecarNode::routersChanged() {
  process_->selector->setRouters(process_->directory->usableRouters());
}

bool SidecarNode::send(const std::string& router, const Message& message) {
  for (auto& [address, link] : process_->links) {
    if (link.name != router || !link.channel || !link.channel->open()) continue;
    sendOn(link.channel, message);
    return true;
  }
  return false;
}

void SidecarNode::sendOn(const ChannelPointer& channel, const Message& message) {
  RouterNode* router = context_.directory.router(channel->host(Side::Server).name());
  channel->send(Side::Client, [router, channel, message] { router->onSidecarMessage(channel, message); });
}

void SidecarNode::onRouterMessage(const ChannelPointer& channel, const Message& message) {
  RouterLink* link = findLink(channel);
  if (link != nullptr) {
    link->last_received_at = now();
    if (const auto* hello = std::get_if<Hello>(&message)) return onHello(*link, *hello);
    if (const auto* ack = std::get_if<PingAck>(&message)) return onPingAck(*link, *ack);
    if (std::holds_alternative<BundleRequest>(message)) {
      const auto current = process_->bundles->current();
      if (current) sendOn(channel, current->body);
      return;
    }
    if (const auto* body = std::get_if<BundleBody>(&message)) return offerBundle(*body);
  }
  if (const auto* accepted = std::get_if<Accepted>(&message))
    return onResponse(accepted->request_id, message);
  if (const auto* piece = std::get_if<StreamPiece>(&message)) return onResponse(piece->request_id, message);
  if (const auto* end = std::get_if<StreamEnd>(&message)) return onResponse(end->request_id, message);
  if (const auto* refusal = std::get_if<Refusal>(&message)) return onResponse(refusal->request_id, message);
}

void SidecarNode::onHello(RouterLink& link, const Hello& hello) {
  if (!process_->directory->onHello(link.address, hello)) return;
  link.name = hello.node_name;
  routersChanged();
  syncBundle(link, hello.bundle_version);
}

void SidecarNode::onPingAck(RouterLink& link, const PingAck& ack) {
  for (const MemberRecord& member : ack.members) process_->directory->applyRecord(member);
  routersChanged();
  syncBundle(link, ack.bundle_version);
}

/// Sends the bundle to a router with an older version and requests it from a router with a newer one.
void SidecarNode::syncBundle(RouterLink& link, std::uint64_t version) {
  const auto current = process_->bundles->current();
  if (current && version < bundleVersion()) sendOn(link.channel, current->body);
  if (version > bundleVersion()) sendOn(link.channel, BundleRequest{bundleVersion()});
}

void SidecarNode::offerBundle(const BundleBody& body) {
  if (context_.duplicate_bundle_rate > 0 && context_.random.chance(context_.duplicate_bundle_rate)) {
    const auto delay =
        Duration(static_cast<std::int64_t>(context_.random.unit() * kMaxBundleRepeatDelayMicros));
    host_.post(delay, [this, body] { applyBundle(body); });
  }
  applyBundle(body);
}

void SidecarNode::applyBundle(const BundleBody& body) {
  if (context_.without(Mechanism::BundleMonotonicity) && body.version != bundleVersion()) {
    process_->bundles = std::make_unique<BundleHolder>(keys_);
  }
  if (process_->bundles->offer(body)) return;
  context_.trace.note(host_.name(), "uses bundle {}", body.version);
  context_.records.bundle_uses.push_back(
      {host_.name(), host_.epoch(), body.version, sha256Hex(body.document), context_.queue.now()});
}

std::uint64_t SidecarNode::bundleVersion() const {
  return process_ ? process_->bundles->version() : 0;
}

}  // namespace crankspur::sim
