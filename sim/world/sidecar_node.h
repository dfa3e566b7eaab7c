#pragma once
/// @file A sidecar of the simulation: drives CallerRequest, RouterDirectory and BundleHolder over the
/// simulated network and records what its callers get.

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

/// One sidecar.
class SidecarNode {
public:
  SidecarNode(Context& context, Host& host, std::vector<std::string> seeds, TrustedKeys keys);
  ~SidecarNode();

  void start();
  void crash(bool silent);
  Host& host() { return host_; }
  /// A caller sends a request; the record is filled as the answer comes.
  void submit(CallerRecord& record);
  /// Calls at this host.
  void onRouterMessage(const ChannelPointer& channel, const Message& message);
  std::uint64_t bundleVersion() const;
  /// Loses a share of the pieces that routers send, as a faulty peer would.
  void setLostPieces(double share) { lost_piece_share_ = share; }
  /// Makes a share of the routers' answers come a second time, late.
  void setRepeatedAnswers(double share) { repeated_answer_share_ = share; }
  /// Takes a bundle, as if it had been held since before the run.
  void offerBundle(const BundleBody& body);

private:
  struct Link {
    std::string address;
    std::string name;
    ChannelPointer channel;
    TimePoint last_heard{};
    TimePoint last_ping{};
    std::uint64_t ping_sequence = 0;
  };
  struct Open {
    CallerRecord* record = nullptr;
    std::unique_ptr<CallerRequest> request;
    std::string router;
    std::uint32_t attempt = 0;
    TimePoint timer = TimePoint::max();
    std::uint64_t timer_generation = 0;
    bool pumping = false;
  };
  struct Process;

  TimePoint now() const { return host_.now(); }
  void takeBundle(const BundleBody& body);
  void upkeep();
  void open(const std::string& address);
  void linkClosed(const ChannelPointer& channel);
  void lose(const std::string& router);
  void routersChanged();
  bool send(const std::string& router, const Message& message);
  void sendOn(const ChannelPointer& channel, const Message& message);
  Link* findLink(const ChannelPointer& channel);
  void onHello(Link& link, const Hello& hello);
  void onPingAck(Link& link, const PingAck& ack);
  void compareBundle(Link& link, std::uint64_t version);
  void onAnswer(const std::string& request_id, Message message);
  void takeAnswer(const std::string& request_id, Message message);
  void tamper(Open& open, Message& message);
  void pump(const std::string& request_id);
  void perform(Open& open, const CallerAction& action);
  void armTimer(const std::string& request_id, Open& open);
  void deliverText(CallerRecord& record, std::uint64_t offset, std::uint32_t count, const std::string& text);
  void deliverFinal(CallerRecord& record);

  Context& context_;
  Host& host_;
  std::vector<std::string> seeds_;
  TrustedKeys keys_;
  double repeated_answer_share_ = 0;
  double lost_piece_share_ = 0;
  std::unique_ptr<Process> process_;
};

/// State of one sidecar process.
struct SidecarNode::Process {
  std::unique_ptr<RouterDirectory> directory;
  std::unique_ptr<RendezvousRouterSelector> selector;
  std::unique_ptr<BundleHolder> bundles;
  std::map<std::string, Link> links;  ///< By address, open or opening.
  std::map<std::string, Open> open;   ///< By request.
  std::string newest_request;
};

}  // namespace crankspur::sim
