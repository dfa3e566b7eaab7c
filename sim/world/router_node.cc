#include "sim/world/router_node.h"

#include "base/hash.h"
#include "sim/world/sidecar_node.h"

namespace crankspur::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMachineListInterval = seconds(1);
constexpr Duration kCacheEventInterval = milliseconds(500);
constexpr Duration kBundleRowInterval = seconds(4);
constexpr Duration kBundlePullInterval = milliseconds(200);
constexpr Duration kPublishInterval = milliseconds(100);
constexpr Duration kLeaseInterval = milliseconds(200);
constexpr Duration kOrderInterval = milliseconds(500);
constexpr Duration kDrainCheckInterval = milliseconds(100);
constexpr Duration kLeaseLifetime = seconds(4);
constexpr Duration kSidecarSilenceTimeout = seconds(4);
constexpr Duration kSidecarCheckInterval = seconds(1);

}  // namespace

RouterNode::RouterNode(Context& context, Host& host, std::vector<MemberRecord> seeds, TrustedKeys keys)
    : context_(context), host_(host), seeds_(std::move(seeds)), keys_(std::move(keys)) {}

RouterNode::~RouterNode() = default;

void RouterNode::start() {
  if (host_.up()) return;
  host_.start();
  context_.trace.note(host_.name(), "start, process {}", host_.epoch());
  process_ = std::make_unique<Process>();
  Process& process = *process_;
  process.started_at = context_.queue.now();
  RequestRouterOptions options;
  options.router_name = host_.name();
  options.random_seed = context_.random.bits();
  process.requests = makeRequestRouter(std::move(options));
  MemberRecord self;
  self.name = host_.name();
  self.address = host_.name();
  self.zone = host_.location().zone;
  self.region = host_.location().region;
  self.incarnation = host_.epoch();
  process.membership = makeMembership(self, {}, context_.random.bits(), now());
  process.membership->seed(seeds_, now());
  process.engines =
      std::make_unique<EngineTable>(EngineTableOptions{host_.location().region}, context_.random.bits());
  process.bundles = std::make_unique<BundleHolder>(keys_);
  process.lease =
      makeLease(host_.name() + "#" + std::to_string(host_.epoch()), kLeaseLifetime, context_.random.bits());
  // Seeded by a hash rather than the run's random source, so that runs without a claim group keep their
  // sequence of random numbers.
  process.claim_group = std::make_unique<ClaimGroupService>(
      ClaimGroupMember{host_.name(), host_.epoch()}, combineHashes(hashBytes(host_.name()), host_.epoch()));
  schedulePeriodic(kMachineListInterval, [this] { listMachines(); });
  schedulePeriodic(kCacheEventInterval, [this] { pollCacheEvents(); });
  schedulePeriodic(kBundleRowInterval, [this] { pollBundleRow(); });
  schedulePeriodic(kBundlePullInterval, [this] { pullBundle(); });
  schedulePeriodic(kPublishInterval, [this] { publishLoads(); });
  schedulePeriodic(kLeaseInterval, [this] { executeLeaseAction(); });
  schedulePeriodic(kOrderInterval, [this] { sendOrders(); });
  tickClaimGroup();
  executeMembershipActions();
}

/// Runs `task` now and then at `interval` with jitter, which avoids a thundering herd of nodes in lockstep.
void RouterNode::schedulePeriodic(Duration interval, std::function<void()> task) {
  const auto jittered = Duration(static_cast<std::int64_t>(static_cast<double>(interval.count()) *
                                                           (0.75 + 0.5 * context_.random.unit())));
  task();
  host_.post(jittered, [this, interval, task = std::move(task)]() mutable {
    schedulePeriodic(interval, std::move(task));
  });
}

void RouterNode::crash(bool silent) {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "crash");
  context_.network.crash(host_, silent);
  process_.reset();
}

void RouterNode::stop() {
  if (!host_.up() || process_->draining) return;
  context_.trace.note(host_.name(), "planned stop with {} in flight", process_->requests->inFlight());
  process_->draining = true;
  if (context_.without(Mechanism::Drain)) {
    terminateProcess();
    return;
  }
  process_->requests->drain(now());
  process_->membership->leave(now());
  executeMembershipActions();
  executeActions();
  awaitDrained();
}

void RouterNode::awaitDrained() {
  if (process_->requests->inFlight() == 0) {
    terminateProcess();
    return;
  }
  host_.post(kDrainCheckInterval, [this] { awaitDrained(); });
}

void RouterNode::terminateProcess() {
  context_.trace.note(host_.name(), "ends with {} in flight", process_->requests->inFlight());
  context_.network.crash(host_, false);
  // Deferred, as the process object may be in use by a caller of this function.
  context_.queue.after(Duration(0), [this, epoch = host_.epoch()] {
    if (!host_.up() && host_.epoch() == epoch) process_.reset();
  });
}

void RouterNode::pause() {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "pause");
  host_.pause();
}

void RouterNode::wake() {
  if (!host_.paused()) return;
  context_.trace.note(host_.name(), "wake");
  host_.wake();
}

void RouterNode::acceptSidecar(const ChannelPointer& channel, SidecarNode& sidecar) {
  const SidecarId id = process_->next_sidecar++;
  process_->sidecars[id] = {channel, &sidecar, now()};
  process_->sidecar_ids[channel.get()] = id;
  channel->onClosed(Side::Server, [this, id] { removeSidecar(id); });
  Hello hello;
  hello.node_name = host_.name();
  hello.incarnation = host_.epoch();
  hello.zone = host_.location().zone;
  hello.region = host_.location().region;
  hello.bundle_version = bundleVersion();
  hello.address = host_.name();
  sendToSidecar(id, hello);
  scheduleSidecarCheck(id);
}

void RouterNode::scheduleSidecarCheck(SidecarId sidecar) {
  host_.post(kSidecarCheckInterval, [this, sidecar] {
    const auto found = process_->sidecars.find(sidecar);
    if (found == process_->sidecars.end()) return;
    if (now() - found->second.last_received_at <= kSidecarSilenceTimeout) {
      scheduleSidecarCheck(sidecar);
      return;
    }
    found->second.channel->close(Side::Server);
    removeSidecar(sidecar);
  });
}

void RouterNode::removeSidecar(SidecarId sidecar) {
  const auto found = process_->sidecars.find(sidecar);
  if (found == process_->sidecars.end()) return;
  process_->sidecar_ids.erase(found->second.channel.get());
  process_->sidecars.erase(found);
  process_->requests->onSidecarLost(sidecar, now());
  executeActions();
}

void RouterNode::sendToSidecar(SidecarId sidecar, Message message) {
  const auto found = process_->sidecars.find(sidecar);
  if (found == process_->sidecars.end()) return;
  const ChannelPointer channel = found->second.channel;
  SidecarNode* node = found->second.node;
  channel->send(Side::Server,
                [node, channel, message = std::move(message)] { node->onRouterMessage(channel, message); });
}

void RouterNode::onSidecarMessage(const ChannelPointer& channel, const Message& message) {
  const auto id = process_->sidecar_ids.find(channel.get());
  if (id == process_->sidecar_ids.end()) return;
  const SidecarId sidecar = id->second;
  process_->sidecars[sidecar].last_received_at = now();
  if (const auto* request = std::get_if<SubmitRequest>(&message)) {
    submit(sidecar, *request);
  } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
    process_->requests->onCancel(sidecar, *cancel, now());
    executeActions();
  } else if (const auto* ping = std::get_if<Ping>(&message)) {
    PingAck ack;
    ack.sequence = ping->sequence;
    ack.sender = host_.name();
    ack.bundle_version = bundleVersion();
    ack.members = process_->membership->liveMembers();
    sendToSidecar(sidecar, ack);
    if (ping->bundle_version > bundleVersion()) sendToSidecar(sidecar, BundleRequest{bundleVersion()});
  } else if (std::holds_alternative<BundleRequest>(message)) {
    if (bundleVersion() > 0) sendToSidecar(sidecar, bundleBody());
  } else if (const auto* body = std::get_if<BundleBody>(&message)) {
    if (!context_.without(Mechanism::BundleFromPeers)) offerBundle(*body);
  }
}

std::uint64_t RouterNode::bundleVersion() const {
  return process_ ? process_->bundles->version() : 0;
}

BundleBody RouterNode::bundleBody() const {
  const auto current = process_ ? process_->bundles->current() : nullptr;
  return current ? current->body : BundleBody{};
}

bool RouterNode::holdsLease() const {
  return process_ && host_.up() && process_->lease->heldToken(now()).has_value();
}

std::size_t RouterNode::unsentOrders() const {
  return process_ ? process_->unsent_orders : 0;
}

TimePoint RouterNode::startedAt() const {
  return process_ ? process_->started_at : TimePoint{};
}

std::size_t RouterNode::inFlight() const {
  return process_ ? process_->requests->inFlight() : 0;
}

}  // namespace crankspur::sim
