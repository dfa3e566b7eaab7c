#pragma once
/// @file The sidecar's traffic side: callers' HTTP requests, their exchanges, the routers' messages and the
/// bundle's way between routers. Lives on the traffic thread.

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
#include "sidecar/bundle_exchange.h"
#include "sidecar/caller_exchange.h"
#include "sidecar/router_links.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/sidecar_settings.h"

namespace crankspur {

/// What /status shows of the traffic side.
struct CallerServiceStatus {
  std::size_t in_flight = 0;
  std::size_t known_routers = 0;
  std::uint64_t bundle_version = 0;
  bool stopping = false;
  std::vector<RouterStatus> routers;
};

/// The service.
class CallerService : public ExchangeHost {
public:
  /// @param on_bundle_body a router sent a bundle body; it is not verified yet.
  CallerService(boost::asio::any_io_executor executor, const SidecarSettings& settings,
                std::uint64_t incarnation, EventLog& log, SidecarMetrics& metrics,
                std::function<void(BundleBody)> on_bundle_body);
  /// Connects to routers and listens for callers.
  /// @return an error when the address cannot be listened on.
  std::error_code start();
  /// @return the port callers connect to.
  std::uint16_t port() const { return server_->port(); }
  /// Puts a verified bundle in force.
  void setBundle(std::shared_ptr<const SignedBundle> bundle);
  /// A bundle that came from a router did not verify.
  void onBundleRefused(std::uint64_t version) { sharing_.onRejected(version, clock_.now()); }
  /// Takes routers from the machine list.
  void learnRouters(const std::vector<MemberRecord>& records);
  /// Takes no new work; `on_drained` is called once nothing is in flight.
  void drain(std::function<void()> on_drained);
  /// Ends every connection.
  void stop();
  /// @return responses whose bytes have not all left.
  std::size_t openResponses() const { return server_ ? server_->openRequests() : 0; }
  CallerServiceStatus status() const;
  /// @return routers that may get work now; the one call that any thread may make.
  std::size_t usableRouters() const { return usable_routers_; }

private:
  void onRequest(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void route(const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer);
  void startChat(const http::Request& request, const CallerHeaders& headers, const TenantPolicy& tenant,
                 const std::shared_ptr<http::ResponseWriter>& writer);
  void startOperation(const http::Request& request, const CallerHeaders& headers, const TenantPolicy& tenant,
                      const std::shared_ptr<http::ResponseWriter>& writer);
  void startExchange(SubmitRequest submit, AnswerForm form, const CallerHeaders& headers,
                     const std::shared_ptr<http::ResponseWriter>& writer);
  void refuse(const CallerError& error, const std::shared_ptr<http::ResponseWriter>& writer);
  void onRouterMessage(const std::string& router, Message message);
  void takeBundleUpdate(const std::string& router, const BundleUpdate& update);
  void refreshBackends(const std::string& router);
  void onRouterLost(const std::string& router);
  void onRoutersChanged();
  void finishDrain();
  Hello hello() const;

  bool submit(const std::string& router, const SubmitRequest& request) override;
  void cancel(const std::string& router, const Cancel& cancel) override;
  void released(const std::string& router) override;
  void ended(const std::string& request_id, const ExchangeOutcome& outcome) override;

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
  BundleExchange bundles_;
  std::unique_ptr<http::Server> server_;
  std::shared_ptr<const SignedBundle> bundle_;
  BundleSharing sharing_;
  /// Kept for routers that restart without the platform; the sidecar itself does not use it.
  std::vector<BackendRecord> backends_;
  TimePoint backends_wanted_at_{};
  absl::flat_hash_map<std::string, std::shared_ptr<CallerExchange>> exchanges_;
  std::uint64_t next_request_ = 0;
  bool stopping_ = false;
  std::atomic<std::size_t> usable_routers_ = 0;
  std::function<void()> on_drained_;
};

}  // namespace crankspur
