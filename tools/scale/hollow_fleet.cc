#include "tools/scale/hollow_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <variant>

#include "internal_protocol/codec.h"

namespace crankspur::scale {

namespace {

constexpr Duration kZoneDelay = std::chrono::microseconds(300);
constexpr Duration kRegionDelay = std::chrono::milliseconds(1);
constexpr Duration kFarDelay = std::chrono::milliseconds(40);
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/// A lost pull is tried again after this time.
constexpr Duration kPullTimeout = std::chrono::seconds(1);
constexpr std::uint32_t kSeeds = 3;

/// Addresses carry the node's index as their port-like last part.
std::uint32_t indexOf(const std::string& address) {
  std::uint32_t index = 0;
  const std::size_t colon = address.find(':');
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), index);
  return index;
}

MemberRecord recordOf(std::uint32_t index, const FleetOptions& options) {
  MemberRecord record;
  record.name = fmt::format("router-{:03}", index);
  record.address = fmt::format("127.0.0.1:{}", index);
  const std::uint32_t region = index % options.regions;
  const bool has_extra_zone = region < options.zones % options.regions;
  const std::uint32_t zones = std::max(options.zones / options.regions + (has_extra_zone ? 1 : 0), 1U);
  record.zone = fmt::format("zone-{}-{}", region, index / options.regions % zones);
  record.region = fmt::format("region-{}", region);
  record.incarnation = 1;
  return record;
}

}  // namespace

HollowFleet::HollowFleet(FleetOptions options) : options_(options), random_(options.seed) {
  std::vector<MemberRecord> seeds;
  for (std::uint32_t index = 0; index < std::min(kSeeds, options.nodes); ++index) {
    seeds.push_back(recordOf(index, options));
  }
  nodes_.resize(options.nodes);
  living_ = options.nodes;
  for (std::uint32_t index = 0; index < options.nodes; ++index) {
    Node& node = nodes_[index];
    node.record = recordOf(index, options);
    node.membership = makeMembership(node.record, {}, random_.bits(), now_);
    node.membership->seed(seeds, now_);
    pump(index);
  }
}

void HollowFleet::schedule(TimePoint at, std::function<void()> action) {
  events_.push({at, ++order_, std::move(action)});
}

void HollowFleet::step() {
  const Event event = events_.top();
  events_.pop();
  now_ = std::max(now_, event.at);
  event.action();
}

void HollowFleet::run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) step();
  now_ = end;
}

Duration HollowFleet::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint begin = now_;
  while (!condition() && now_ - begin < limit) run(kCheckInterval);
  return now_ - begin;
}

void HollowFleet::kill(std::uint32_t index) {
  nodes_[index].alive = false;
  --living_;
}

void HollowFleet::rollBundle(std::uint32_t index, std::uint64_t version) {
  nodes_[index].held_version = version;
  nodes_[index].membership->setBundleVersion(version);
  pump(index);
}

bool HollowFleet::everyoneAgrees() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const Node& node) {
    return !node.alive || node.membership->liveMembers().size() == living_;
  });
}

bool HollowFleet::allHold(std::uint64_t version) const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [version](const Node& node) { return !node.alive || node.held_version >= version; });
}

std::uint32_t HollowFleet::regionSize() const {
  return (options_.nodes + options_.regions - 1) / options_.regions;
}

bool HollowFleet::sidesAgree() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const Node& node) {
    const bool inside = node.record.region == nodes_.front().record.region;
    const std::size_t side = inside ? regionSize() : options_.nodes - regionSize();
    return node.membership->liveMembers().size() == side;
  });
}

bool HollowFleet::lost(std::uint32_t from, std::uint32_t to) {
  const std::string& cut_off = nodes_.front().record.region;
  const bool crosses = (nodes_[from].record.region == cut_off) != (nodes_[to].record.region == cut_off);
  return (parted_ && crosses) || random_.chance(options_.message_loss);
}

void HollowFleet::count(Node& node, std::size_t bytes) {
  const std::int64_t second = static_cast<std::int64_t>(toSeconds(now_.time_since_epoch()));
  if (second != std::exchange(node.sent_second, second)) node.sent_bytes = 0;
  node.sent_bytes += bytes;
  traffic_.most_sent_by_node = std::max(traffic_.most_sent_by_node, node.sent_bytes);
  ++traffic_.gossip_messages;
  traffic_.gossip_bytes += bytes;
}

Traffic HollowFleet::takeTraffic() {
  return std::exchange(traffic_, Traffic{});
}

void HollowFleet::pump(std::uint32_t index) {
  Node& node = nodes_[index];
  for (const OutgoingGossip& gossip : node.membership->takeOutgoing()) send(index, gossip);
  node.membership->takeChanges();
  node.membership->takeEngineChanges();
  pullBundle(index);
  scheduleTimer(index);
}

void HollowFleet::scheduleTimer(std::uint32_t index) {
  const TimePoint due = std::max(nodes_[index].membership->nextTimer(), now_ + std::chrono::milliseconds(1));
  if (due == nodes_[index].timer) return;
  nodes_[index].timer = due;
  schedule(due, [this, index, due] {
    Node& node = nodes_[index];
    if (!node.alive || node.timer != due) return;
    node.membership->onTimer(now_);
    pump(index);
  });
}

void HollowFleet::send(std::uint32_t from, const OutgoingGossip& gossip) {
  const Message message = std::visit([](const auto& body) -> Message { return body; }, gossip.message);
  std::string frame = encodeFrame(message);
  count(nodes_[from], frame.size());
  const std::uint32_t to = indexOf(gossip.address);
  if (lost(from, to)) return;
  schedule(now_ + delay(from, to),
           [this, to, from, frame = std::move(frame)] { receive(to, frame, nodes_[from].record.address); });
}

void HollowFleet::receive(std::uint32_t to, const std::string& frame, const std::string& from_address) {
  Node& node = nodes_[to];
  if (!node.alive) return;
  const DecodedFrame decoded = decodeFrame(frame);
  if (const auto* ping = std::get_if<Ping>(&*decoded.message)) {
    node.membership->onPing(*ping, from_address, now_);
  } else if (const auto* ack = std::get_if<PingAck>(&*decoded.message)) {
    node.membership->onAck(*ack, now_);
  }
  pump(to);
}

void HollowFleet::pullBundle(std::uint32_t index) {
  Node& node = nodes_[index];
  if (now_ < node.pull_ends) return;
  const MemberRecord holder = node.membership->newestBundleHolder();
  if (holder.bundle_version <= node.held_version) return;
  node.pull_ends = now_ + kPullTimeout;
  const std::uint32_t from = indexOf(holder.address);
  if (!nodes_[from].alive || lost(index, from)) return;
  traffic_.bundle_bytes += options_.bundle_bytes;
  const std::uint64_t version = nodes_[from].held_version;
  schedule(now_ + 2 * delay(index, from), [this, index, version] {
    Node& puller = nodes_[index];
    puller.pull_ends = now_;
    puller.held_version = std::max(puller.held_version, version);
    puller.membership->setBundleVersion(puller.held_version);
  });
}

Duration HollowFleet::delay(std::uint32_t from, std::uint32_t to) const {
  if (nodes_[from].record.zone == nodes_[to].record.zone) return kZoneDelay;
  return nodes_[from].record.region == nodes_[to].record.region ? kRegionDelay : kFarDelay;
}

}  // namespace crankspur::scale
