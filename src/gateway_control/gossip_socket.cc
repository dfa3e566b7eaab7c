#include "gateway_control/gossip_socket.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "base/endpoint.h"
#include "base/timer.h"
#include "internal_protocol/codec.h"

namespace crankspur::gateway {

namespace asio = boost::asio;

namespace {

asio::ip::udp::endpoint udpEndpoint(const std::string& address, boost::system::error_code& error) {
  const asio::ip::tcp::endpoint parsed = parseEndpoint(address, error);
  return {parsed.address(), parsed.port()};
}

MemberRecord record(const GossipOptions& options) {
  MemberRecord self;
  self.name = options.address;
  self.address = options.address;
  self.zone = options.zone;
  self.region = options.region;
  self.incarnation = options.incarnation;
  self.capacity = options.capacity;
  return self;
}

}  // namespace

MembershipOptions gossipMembershipOptions() {
  MembershipOptions options;
  // Joining is retried soon: when all gateways start together, the first seed contacted may not be up yet,
  // and clients wait.
  options.join_interval = std::chrono::milliseconds(100);
  options.suspicion_timeout = std::chrono::milliseconds(1'500);
  options.dead_probe_interval = std::chrono::seconds(2);
  options.own_zone_share = 0.5;
  return options;
}

GossipSocket::GossipSocket(const asio::any_io_executor& executor, GossipOptions options,
                           GossipReceiver& receiver)
    : options_(std::move(options)),
      receiver_(receiver),
      socket_(executor),
      timer_(executor),
      membership_(
          makeMembership(record(options_), gossipMembershipOptions(), options_.random_seed, clock_.now())) {}

std::error_code GossipSocket::listen() {
  boost::system::error_code error;
  const asio::ip::udp::endpoint endpoint = udpEndpoint(options_.address, error);
  if (!error) socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  boost::system::error_code ignored;
  if (error) socket_.close(ignored);
  return error;
}

void GossipSocket::start() {
  receive();
  seed(options_.seeds);
}

void GossipSocket::seed(const std::vector<std::string>& addresses) {
  std::vector<MemberRecord> records;
  for (const std::string& address : addresses) {
    MemberRecord entry;
    entry.name = address;
    entry.address = address;
    records.push_back(std::move(entry));
  }
  membership_->seed(records, clock_.now());
  afterEvent();
}

void GossipSocket::leave() {
  membership_->leave(clock_.now());
  afterEvent();
}

void GossipSocket::setConfigurationVersion(std::uint64_t version) {
  membership_->setBundleVersion(version);
}

void GossipSocket::receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](boost::system::error_code error, std::size_t bytes) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) onDatagram(bytes);
                               receive();
                             });
}

void GossipSocket::onDatagram(std::size_t bytes) {
  const DecodedFrame frame = decodeFrame(std::string_view(buffer_.data(), bytes));
  if (!frame.message) return;
  const std::string from = sender_.address().to_string() + ":" + std::to_string(sender_.port());
  if (const auto* ping = std::get_if<Ping>(&*frame.message)) {
    membership_->onPing(*ping, from, clock_.now());
  } else if (const auto* ack = std::get_if<PingAck>(&*frame.message)) {
    membership_->onAck(*ack, clock_.now());
  } else if (const auto* notes = std::get_if<BackendNotes>(&*frame.message)) {
    for (const BackendNote& note : notes->notes) receiver_.onBackendNote(note);
    return;
  } else if (const auto* caches = std::get_if<CacheNotes>(&*frame.message)) {
    return receiver_.onCacheNotes(from, *caches);
  } else if (const auto* wanted = std::get_if<CacheWanted>(&*frame.message)) {
    return receiver_.onCacheWanted(from, *wanted);
  } else if (const auto* digest = std::get_if<LoadDigest>(&*frame.message)) {
    return receiver_.onLoadDigest(from, *digest);
  } else if (const auto* notice = std::get_if<ServingNotice>(&*frame.message)) {
    return receiver_.onServingNotice(from, *notice);
  } else if (const auto* crashes = std::get_if<CrashNotes>(&*frame.message)) {
    return receiver_.onCrashNotes(*crashes);
  } else if (const auto* digest_of_crashes = std::get_if<CrashDigest>(&*frame.message)) {
    return receiver_.onCrashDigest(from, *digest_of_crashes);
  } else if (const auto* origins = std::get_if<StreamOrigins>(&*frame.message)) {
    return receiver_.onStreamOrigins(from, *origins);
  }
  afterEvent();
}

void GossipSocket::broadcast(const BackendNotes& notes) {
  for (const MemberRecord& member : membership_->liveMembers()) {
    if (member.name != options_.address) send(member.address, notes);
  }
}

void GossipSocket::send(const std::string& address, const Message& message) {
  boost::system::error_code error;
  const asio::ip::udp::endpoint receiver = udpEndpoint(address, error);
  if (error) return;
  // A datagram that cannot be sent is treated like one that was lost in transit.
  socket_.send_to(asio::buffer(encodeFrame(message)), receiver, 0, error);
}

void GossipSocket::afterEvent() {
  for (OutgoingGossip& outgoing : membership_->takeOutgoing()) {
    std::visit([&](auto& message) { send(outgoing.address, std::move(message)); }, outgoing.message);
  }
  if (!membership_->takeChanges().empty()) receiver_.onMembersChanged();
  armTimer();
}

void GossipSocket::armTimer() {
  expireAt(timer_, membership_->nextTimer(), clock_.now());
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    membership_->onTimer(clock_.now());
    afterEvent();
  });
}

}  // namespace crankspur::gateway
