#pragma once
/// @file One hollow router: the product's control state and front on real sockets, without traffic threads.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "router_process/control_thread.h"

namespace crankspur::scale {

/// What the control state of one hollow node has said in its log so far.
class HollowLog : public EventLog {
public:
  void write(EventId event, const std::vector<LogField>& fields) override;
  /// @return members that are not dead, the node itself included.
  std::uint32_t members() const { return live_members_; }
  /// @return the bundle version in force; 0: none.
  std::uint64_t bundleVersion() const { return bundle_version_; }
  /// @return engines that may be used.
  std::uint32_t liveEngines() const;

private:
  std::uint32_t live_members_ = 1;
  std::uint64_t bundle_version_ = 0;
  std::map<std::string, bool> engine_is_live_;
};

/// One hollow router. Front and control state share the given loop; several nodes may share it.
class HollowNode {
public:
  /// @param settings `advertise` is filled after listening.
  HollowNode(boost::asio::io_context& context, RouterSettings settings, std::uint64_t incarnation);
  /// Binds the port. @return an error when it cannot be bound.
  std::error_code listen();
  /// Begins polls and gossip.
  void start();
  const HollowLog& log() const { return log_; }
  /// @return bytes of frames to and from routers, and connections.
  PeerFrontCounts counts() const { return front_.front->counts(); }

private:
  boost::asio::io_context& context_;
  RouterSettings settings_;
  std::uint64_t incarnation_;
  HollowLog log_;
  RouterMetrics metrics_;
  FrontThread front_;
  ControlThread::Shards no_shards_;
  std::unique_ptr<ControlThread> control_;
};

}  // namespace crankspur::scale
