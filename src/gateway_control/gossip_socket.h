#pragma once
/// @file Membership protocol of the gateways over UDP: each datagram is one frame of the internal protocol. A
/// gateway's member name is its gossip address, since seeds are known by address only.

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "membership/membership.h"

namespace crankspur::gateway {

/// Options of the socket.
struct GossipOptions {
  std::string address;  ///< "IP:port" of this node.
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;   ///< Higher than at the node's earlier starts.
  std::uint32_t capacity = 0;      ///< Requests per second that this machine can handle.
  std::vector<std::string> seeds;  ///< "IP:port" of other nodes.
  std::uint64_t random_seed = 1;
};

/// @return the timings of the membership protocol among gateways.
MembershipOptions gossipMembershipOptions();

/// Receives the messages of other gateways. Senders are given by member name.
class GossipReceiver {
public:
  virtual ~GossipReceiver() = default;
  virtual void onMembersChanged() = 0;
  virtual void onBackendNote(const BackendNote& note) = 0;
  virtual void onCacheNotes(const std::string& sender, const CacheNotes& notes) = 0;
  virtual void onCacheWanted(const std::string& requester, const CacheWanted& wanted) = 0;
  virtual void onLoadDigest(const std::string& sender, const LoadDigest& digest) = 0;
  virtual void onServingNotice(const std::string& sender, const ServingNotice& notice) = 0;
  virtual void onCrashNotes(const CrashNotes& notes) = 0;
  virtual void onCrashDigest(const std::string& sender, const CrashDigest& digest) = 0;
  virtual void onStreamOrigins(const std::string& sender, const StreamOrigins& message) = 0;
};

/// The socket, with the membership protocol that runs over it. Use from the executor's thread only.
class GossipSocket {
public:
  GossipSocket(const boost::asio::any_io_executor& executor, GossipOptions options, GossipReceiver& receiver);
  /// Binds the socket. May be called again after a failure.
  std::error_code listen();
  /// Starts to receive and contacts the seeds. To be called after listen().
  void start();
  void seed(const std::vector<std::string>& addresses);
  void leave();
  void setConfigurationVersion(std::uint64_t version);
  /// Sends to every other live member; a datagram may be lost.
  void broadcast(const BackendNotes& notes);
  /// Sends to one member; the datagram may be lost.
  void sendTo(const std::string& member, const Message& message) { send(member, message); }
  /// @return the live members, including this node; bundle_version is the version of the configuration that a
  /// member holds.
  std::vector<MemberRecord> members() const { return membership_->liveMembers(); }
  const std::string& ownName() const { return options_.address; }

private:
  void receive();
  void onDatagram(std::size_t bytes);
  void afterEvent();
  void send(const std::string& address, const Message& message);
  void armTimer();

  GossipOptions options_;
  GossipReceiver& receiver_;
  SteadyClock clock_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_{};
  std::unique_ptr<Membership> membership_;
};

}  // namespace crankspur::gateway
