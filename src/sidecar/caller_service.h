#pragma once
/// @file Traffic side of the sidecar: HTTP requests of callers and their exchanges, messages of routers, and
/// sharing of the bundle with routers. Runs on the traffic thread.

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/random.h"
#include "bundle/bundle_sharing.h"
#include "caller/request_headers.h"
#include "http/server.h"
#include "sidecar/bundle_puller.h"
#include "sidecar/caller_exchange.h"
#include "sidecar/router_links.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/sidecar_settings.h"

namespace crankspur {

/// State of the traffic side as shown by /status.
struct CallerServiceStatus {
  std::size_t in_flight = 0;
  std::size_t known_routers = 0;
  std::uint64_t bundle_version = 0;
  bool stopping = false;
  std::vector<RouterStatus> routers;
};

/// Serves callers through the connected routers.
class CallerService : public ExchangeHost {
public:
  /// @param on_bundle_body called with each bundle body that a router sent, before verification.
  CallerService(boost::asio::any_io_executor executor, const SidecarSettings& settings,
                std::uint64_t incarnation, EventLog& log, SidecarMetrics& metrics,
                std::function<void(BundleBody)> on_bundle_body);
  /// Connects to routers and listens for callers.
  /// @return an error if listening on the address failed.
  std::error_code start();
  /// @return the port for callers.
  std::uint16_t port() const { return server_->port(); }
  /// Activates a verified bundle.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// Verification of a bundle from a router failed.
  void onBundleRefused(std::uint64_t version) { sharing_.onRejected(version, clock_.now()); }
  /// Adds routers from the machine list.
  void addRouters(const std::vector<MemberRecord>& records);
  /// Rejects new requests; `on_drained` is called once no request is in flight.
  void drain(std::function<void()> on_drained);
  /// Closes all connections.
  void stop();
  /// @return number of responses that are not completely written.
  std::size_t openResponses() const { return server_ ? server_->openRequests() : 0; }
  CallerServiceStatus status() const;
  /// @return number of routers that accept requests now. Thread-safe, unlike all other members.
  std::size_t usableRouters() const { return usable_routers_; }

private:
  void onRequest(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void route(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void startChat(const http::Request& request, const CallerHeaders& headers, const TenantPolicy& tenant,
                 const std::shared_ptr<http::ResponseWriter>& writer);
  void startOperation(const http::Request& request, const CallerHeaders& headers, const TenantPolicy& tenant,
                      const std::shared_ptr<http::ResponseWriter>& writer);
  void startExchange(SubmitRequest submit, ResponseFormat response_format, const CallerHeaders& headers,
                     const std::shared_ptr<http::ResponseWriter>& writer);
  void refuse(const CallerError& error, const std::shared_ptr<http::ResponseWriter>& writer);
  void onRouterMessage(const std::string& router, Message message);
  void applyBundleUpdate(const std::string& router, const BundleUpdate& update);
  void requestBackends(const std::string& router);
  void onRouterLost(const std::string& router);
  void onRoutersChanged();
  void finishDrain();
  Hello hello() const;

  bool submit(const std::string& router, const SubmitRequest& request) override;
  void cancel(const std::string& router, const Cancel& cancel) override;
  void onRouterReleased(const std::string& router) override;
  void onEnded(const std::string& request_id, const ExchangeOutcome& outcome) override;

  boost::asio::any_io_executor executor_;
  const SidecarSettings& settings_;
  std::uint64_t incarnation_;
  EventLog& log_;
  SidecarMetrics& metrics_;
  RandomSource random_;
  RendezvousRouterSelector selector_;
  RouterDirectory directory_;
  std::function<void(BundleBody)> on_bundle_body_;
  SteadyClock clock_;
  std::unique_ptr<RouterLinks> links_;
  BundlePuller bundle_puller_;
  std::unique_ptr<http::Server> server_;
  std::shared_ptr<const SignedBundle> bundle_;
  BundleSharing sharing_;
  /// Kept for routers that restart while the platform is unavailable; not used by the sidecar itself.
  std::vector<BackendRecord> backends_;
  TimePoint next_backends_refresh_{};
  absl::flat_hash_map<std::string, std::shared_ptr<CallerExchange>> exchanges_;
  std::uint64_t last_request_number_ = 0;
  bool stopping_ = false;
  std::atomic<std::size_t> usable_routers_ = 0;
  std::function<void()> on_drained_;
};

}  // namespace crankspur
