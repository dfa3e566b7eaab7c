#pragma once
/// @file Fixture with a small site of real processes (platform, engines, a runner, routers, sidecars), and a
/// sidecar simulated by the test.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bundle/signing.h"
#include "integration/process.h"
#include "internal_protocol/connection.h"

namespace crankspur::testing {

/// Platform, engines, one runner, routers and sidecars on loopback addresses, and the keys to sign bundles.
class RouterSite {
public:
  /// Starts the platform, a runner and `engines` engines of one pool. No bundle is rolled yet.
  explicit RouterSite(int engines);
  /// Starts the router "router-INDEX" in "zone-INDEX".
  Process& startRouter(int index, const std::vector<std::string>& extra_flags = {});
  /// Starts another sidecar, which is configured with the address of one router.
  Process& startSidecar(int router = 0);
  /// Sets the lines of the [knobs] table of bundles that are signed after this call.
  void setKnobs(const std::string& lines) { knobs_ = lines; }
  /// @return the site's bundle with the given version, signed by author and approver.
  BundleBody signBundle(std::uint64_t version, const std::string& weights = "w1") const;
  /// Writes the bundle document and the bundle row to the platform, as an operator does.
  void roll(const BundleBody& body) const;
  /// Slows every engine down by `slowdown`; 1 is the nominal speed. Tests that cause a failure in the middle
  /// of a response slow it down first, so that it is still in progress when the failure occurs on a slow
  /// machine.
  void slowEngines(double slowdown) const;
  void stopPlatform() { platform_->kill(); }
  const std::string& platformAddress() const { return platform_address_; }
  const std::string& runnerAddress() const { return runner_address_; }
  Process& engine(int index) { return *engines_.at(static_cast<std::size_t>(index)); }
  std::string engineAddress(int index) const { return engine_addresses_.at(static_cast<std::size_t>(index)); }
  std::string routerAddress(int index) const { return router_addresses_.at(index); }
  std::string adminAddress(int index) const { return admin_addresses_.at(index); }
  Process& router(int index) { return *routers_.at(index); }
  /// @return the body of the router's /status page.
  std::string status(int index) const;

private:
  void writeMachines(int engines) const;

  std::string folder_;
  std::string knobs_;
  SigningKeyPair author_ = generateSigningKeyPair();
  SigningKeyPair approver_ = generateSigningKeyPair();
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::string> engine_addresses_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Process>> sidecars_;
  std::unique_ptr<Process> runner_;
  std::string runner_address_;
  std::string platform_address_;
  std::map<int, std::unique_ptr<Process>> routers_;
  std::map<int, std::string> router_addresses_;
  std::map<int, std::string> admin_addresses_;
};

/// Messages received for one request.
struct Received {
  bool accepted = false;
  std::string engine;
  std::string weights_version;
  std::string text;
  std::uint32_t cached_tokens = 0;
  std::optional<StreamEnd> end;
  std::optional<Refusal> refusal;
  bool finished() const { return end.has_value() || refusal.has_value(); }
};

/// Sidecar end of one connection to a router. Methods may be called from any thread.
class TestSidecar {
public:
  /// @param bundle bundle to announce and to send on request; empty: none.
  explicit TestSidecar(const std::string& router_address, std::optional<BundleBody> bundle = std::nullopt);
  ~TestSidecar();
  void submit(const SubmitRequest& request);
  /// Waits until the last message of the request is received.
  Received await(const std::string& request_id, std::chrono::milliseconds timeout = std::chrono::seconds(15));
  /// Submits a request and waits until it has finished.
  Received run(const SubmitRequest& request);
  /// @return whether the router has announced that it is leaving.
  bool routerLeaving() const { return router_leaving_; }
  bool helloReceived() const { return hello_received_; }

private:
  void onMessage(const Message& message);

  std::optional<BundleBody> bundle_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::shared_ptr<FrameConnection> connection_;
  std::atomic<bool> router_leaving_ = false;
  std::atomic<bool> hello_received_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, Received> received_;
  std::thread thread_;
};

/// @return a completion request of the site's tenant for the site's model.
SubmitRequest completion(const std::string& id, const std::string& prompt, std::uint32_t max_tokens = 16);

}  // namespace crankspur::testing
