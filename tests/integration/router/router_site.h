#pragma once
/// @file A small site of real processes around routers, and a sidecar played by the test.

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

/// Platform, engines and routers on loopback, and a signed bundle.
class RouterSite {
public:
  /// Starts the platform and `engines` engines of one pool. No bundle is rolled yet.
  explicit RouterSite(int engines);
  /// Starts a router; "router-INDEX" in "zone-INDEX".
  Process& startRouter(int index, const std::vector<std::string>& extra_flags = {});
  /// Starts a further sidecar that knows one router.
  Process& startSidecar(int router = 0);
  /// Lines of the [knobs] table of bundles signed from now on.
  void setKnobs(const std::string& lines) { knobs_ = lines; }
  /// Signs the site's bundle as `version`.
  BundleBody signBundle(std::uint64_t version, const std::string& weights = "w1") const;
  /// Writes the object and the row, as an operator does.
  void roll(const BundleBody& body) const;
  /// Makes every engine take `factor` times as long. Tests that break something in the middle of an answer
  /// slow it down first, so that the middle lasts however slow the machine is; 1 is the nominal speed.
  void slowEngines(double factor) const;
  void stopPlatform() { platform_->kill(); }
  const std::string& platformAddress() const { return platform_address_; }
  const std::string& runnerAddress() const { return runner_address_; }
  Process& engine(int index) { return *engines_.at(static_cast<std::size_t>(index)); }
  std::string engineAddress(int index) const { return engine_addresses_.at(static_cast<std::size_t>(index)); }
  std::string routerAddress(int index) const { return router_addresses_.at(index); }
  std::string adminAddress(int index) const { return admin_addresses_.at(index); }
  Process& router(int index) { return *routers_.at(index); }
  /// @return the body of the router's /status.
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

/// What came for one request.
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

/// A sidecar's side of one connection.
class TestSidecar {
public:
  /// @param held a bundle to offer and to serve when asked; empty: none.
  explicit TestSidecar(const std::string& router_address, std::optional<BundleBody> held = std::nullopt);
  ~TestSidecar();
  void submit(const SubmitRequest& request);
  /// Waits until the request has its last message.
  Received await(const std::string& request_id, std::chrono::milliseconds limit = std::chrono::seconds(15));
  /// Submits and waits.
  Received run(const SubmitRequest& request);
  /// @return whether the router told that it is leaving.
  bool toldLeaving() const { return told_leaving_; }
  bool greeted() const { return greeted_; }

private:
  void onMessage(const Message& message);

  std::optional<BundleBody> held_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::shared_ptr<FrameConnection> connection_;
  std::atomic<bool> told_leaving_ = false;
  std::atomic<bool> greeted_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, Received> received_;
  std::thread thread_;
};

/// @return a completion of the site's tenant and model.
SubmitRequest completion(const std::string& id, const std::string& prompt, std::uint32_t max_tokens = 16);

}  // namespace crankspur::testing
