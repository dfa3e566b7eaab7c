#pragma once
/// @file Simulated sidecar: drives CallerRequest, RouterDirectory and BundleHolder over the simulated network
/// and records the responses to its callers.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bundle/bundle.h"
#include "sidecar/caller_request.h"
#include "sidecar/router_directory.h"
#include "sidecar/router_selector.h"
#include "sim/world/context.h"

namespace crankspur::sim {

class SidecarNode {
public:
  SidecarNode(Context& context, Host& host, std::vector<std::string> seeds, TrustedKeys keys);
  ~SidecarNode();

  void start();
  void crash(bool silent);
  Host& host() { return host_; }
  /// Submits the request of a caller; `record` is updated as the response arrives.
  void submit(CallerRecord& record);
  /// Called in the context of this host.
  void onRouterMessage(const ChannelPointer& channel, const Message& message);
  std::uint64_t bundleVersion() const;
  /// Drops this fraction of stream pieces from routers, as a faulty peer would.
  void setPieceLossRate(double rate) { piece_loss_rate_ = rate; }
  /// Delivers this fraction of the routers' responses a second time after a delay.
  void setDuplicateResponseRate(double rate) { duplicate_response_rate_ = rate; }
  /// Offers a bundle to the process; with `duplicate_bundle_rate`, possibly a second time after a delay.
  void offerBundle(const BundleBody& body);

private:
  struct RouterLink {
    std::string address;
    std::string name;
    ChannelPointer channel;
    TimePoint last_received_at{};
    TimePoint last_ping{};
    std::uint64_t ping_sequence = 0;
  };
  struct OpenRequest {
    CallerRecord* record = nullptr;
    std::unique_ptr<CallerRequest> request;
    std::string router;
    std::uint32_t attempt = 0;
    TimePoint timer = TimePoint::max();
    std::uint64_t timer_generation = 0;
    bool executing_actions = false;
  };
  struct Process;

  TimePoint now() const { return host_.now(); }
  void applyBundle(const BundleBody& body);
  void maintainConnections();
  void connectRouter(const std::string& address);
  void onLinkClosed(const ChannelPointer& channel);
  void failRequestsAt(const std::string& router);
  void routersChanged();
  bool send(const std::string& router, const Message& message);
  void sendOn(const ChannelPointer& channel, const Message& message);
  RouterLink* findLink(const ChannelPointer& channel);
  void onHello(RouterLink& link, const Hello& hello);
  void onPingAck(RouterLink& link, const PingAck& ack);
  void syncBundle(RouterLink& link, std::uint64_t version);
  void onResponse(const std::string& request_id, Message message);
  void handleResponse(const std::string& request_id, Message message);
  void bypassRemovedChecks(OpenRequest& open, Message& message);
  void executeActions(const std::string& request_id);
  void executeAction(OpenRequest& open, const CallerAction& action);
  void armTimer(const std::string& request_id, OpenRequest& open);
  void deliverText(CallerRecord& record, std::uint64_t offset, std::uint32_t count, const std::string& text);
  void deliverFinal(CallerRecord& record);

  Context& context_;
  Host& host_;
  std::vector<std::string> seeds_;
  TrustedKeys keys_;
  double duplicate_response_rate_ = 0;
  double piece_loss_rate_ = 0;
  std::unique_ptr<Process> process_;
};

/// State of one sidecar process.
struct SidecarNode::Process {
  std::unique_ptr<RouterDirectory> directory;
  std::unique_ptr<RendezvousRouterSelector> selector;
  std::unique_ptr<BundleHolder> bundles;
  std::map<std::string, RouterLink> links;           ///< By address; connected or connecting.
  std::map<std::string, OpenRequest> open_requests;  ///< By request ID.
  std::string latest_request;
};

}  // namespace crankspur::sim
