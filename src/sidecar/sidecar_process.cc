#include "sidecar/sidecar_process.h"

#include <fmt/format.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <random>
#include <thread>
#include <utility>

#include "http/admin.h"
#include "sidecar/caller_service.h"
#include "sidecar/router_discovery.h"

namespace crankspur {

namespace {

namespace asio = boost::asio;

/// Interval at which a drained process checks whether all response bytes were written.
constexpr auto kDrainPollInterval = std::chrono::milliseconds(10);

std::uint64_t generateIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string statusBody(const SidecarSettings& settings, const CallerServiceStatus& status) {
  boost::json::array routers;
  for (const RouterStatus& router : status.routers) {
    routers.push_back(boost::json::object{{"name", router.name},
                                          {"address", router.address},
                                          {"zone", router.zone},
                                          {"bundle_version", router.bundle_version}});
  }
  return boost::json::serialize(boost::json::object{{"role", "sidecar"},
                                                    {"name", settings.name},
                                                    {"zone", settings.zone},
                                                    {"region", settings.region},
                                                    {"version", CRANKSPUR_VERSION},
                                                    {"bundle_version", status.bundle_version},
                                                    {"stopping", status.stopping},
                                                    {"requests_in_flight", status.in_flight},
                                                    {"routers_known", status.known_routers},
                                                    {"routers", std::move(routers)}});
}

class SidecarProcessImpl : public SidecarProcess {
public:
  SidecarProcessImpl(SidecarSettings settings, EventLog& log)
      : settings_(std::move(settings)),
        log_(log),
        bundle_holder_(settings_.trusted_keys),
        signals_(control_),
        drain_timer_(traffic_),
        service_(traffic_.get_executor(), settings_, incarnation_, log, metrics_,
                 [this](BundleBody body) { onBundleBody(std::move(body)); }),
        endpoints_(std::make_shared<http::AdminEndpoints>(metrics_.registry(),
                                                          [this] { return unhealthyReason(); })) {}

  int run() override {
    if (!listen()) return kExitCannotListen;
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    waitForSignal();
    fmt::print("listening {} admin {}\n", service_.port(), admin_->port());
    std::fflush(stdout);
    log_.write(EventId::ProcessStarted, {{"address", fmt::format("port {}", service_.port())},
                                         {"zone", settings_.zone},
                                         {"version", CRANKSPUR_VERSION}});
    startDiscovery();
    std::thread traffic([this] { traffic_.run(); });
    control_.run();
    traffic.join();
    log_.write(EventId::ProcessStopped, {});
    return kExitOk;
  }

private:
  /// Called before the threads start.
  bool listen() {
    std::error_code error;
    addAdminPaths();
    admin_ = http::listenAdmin(control_.get_executor(), settings_.admin, endpoints_, error);
    if (error) return reportListenError("admin", settings_.admin, error);
    error = service_.start();
    return !error || reportListenError("listen", settings_.listen, error);
  }

  bool reportListenError(const char* key, const std::string& address, std::error_code error) {
    log_.write(EventId::SettingsRefused, {{"key", key}, {"value", address}, {"reason", error.message()}});
    return false;
  }

  void waitForSignal() {
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      if (stopping_) {
        stopThreads();
        return;
      }
      stopping_ = true;
      waitForSignal();
      asio::post(traffic_, [this] { drain(); });
    });
  }

  /// Runs on the traffic thread.
  void drain() {
    log_.write(EventId::ProcessStopping, {{"in_flight", service_.status().in_flight}});
    service_.drain([this] { stopWhenWritten(); });
  }

  /// Runs on the traffic thread. The last responses are complete, but may not be completely written.
  void stopWhenWritten() {
    if (service_.openResponses() == 0) {
      service_.stop();
      asio::post(control_, [this] { stopThreads(); });
      return;
    }
    drain_timer_.expires_after(kDrainPollInterval);
    drain_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) stopWhenWritten();
    });
  }

  /// Runs on the control thread.
  void stopThreads() {
    traffic_work_.reset();
    traffic_.stop();
    control_.stop();
  }

  /// Runs on the traffic thread; verification runs on the control thread.
  void onBundleBody(BundleBody body) {
    asio::post(control_, [this, body = std::move(body)] { verifyBundle(body); });
  }

  void verifyBundle(const BundleBody& body) {
    const std::error_code error = bundle_holder_.offer(body);
    if (!error) {
      log_.write(EventId::SidecarBundleTaken, {{"version", body.version}});
      asio::post(traffic_, [this, bundle = bundle_holder_.current()] { service_.setBundle(bundle); });
    } else if (error != make_error_code(ErrorCode::Stale)) {
      log_.write(EventId::SidecarBundleRefused, {{"version", body.version}, {"reason", error.message()}});
      asio::post(traffic_, [this, version = body.version] { service_.onBundleRefused(version); });
    }
  }

  /// @return why the sidecar cannot serve, or an empty string. Runs on the control thread.
  std::string unhealthyReason() const {
    if (stopping_) return "stopping";
    if (bundle_holder_.version() == 0) return "no bundle";
    return service_.usableRouters() == 0 ? "no router" : "";
  }

  void addAdminPaths() {
    endpoints_->add("/status", [this](const http::Request&, std::shared_ptr<http::ResponseWriter> writer) {
      // Moved, not copied: the last reference to a writer of the control thread must not be released on the
      // traffic thread.
      asio::post(traffic_, [this, writer = std::move(writer)]() mutable {
        asio::post(control_, [this, writer = std::move(writer), status = service_.status()] {
          writer->respond(http::jsonResponse(200, statusBody(settings_, status)));
        });
      });
    });
  }

  void startDiscovery() {
    if (settings_.platform.empty()) return;
    discovery_ = std::make_unique<RouterDiscovery>(
        control_.get_executor(), settings_.platform, settings_.machine_list_interval, incarnation_, log_,
        [this](std::vector<MemberRecord> routers) {
          asio::post(traffic_, [this, routers = std::move(routers)] { service_.addRouters(routers); });
        });
    discovery_->start();
  }

  const SidecarSettings settings_;
  EventLog& log_;
  const std::uint64_t incarnation_ = generateIncarnation();
  asio::io_context control_{1};
  asio::io_context traffic_{1};
  asio::executor_work_guard<asio::io_context::executor_type> traffic_work_{traffic_.get_executor()};
  BundleHolder bundle_holder_;  ///< Control thread only.
  asio::signal_set signals_;
  asio::steady_timer drain_timer_;
  SidecarMetrics metrics_;
  CallerService service_;  ///< Traffic thread only, once the threads run.
  std::shared_ptr<http::AdminEndpoints> endpoints_;
  std::unique_ptr<http::Server> admin_;
  std::unique_ptr<RouterDiscovery> discovery_;
  bool stopping_ = false;
};

}  // namespace

std::unique_ptr<SidecarProcess> makeSidecarProcess(SidecarSettings settings, EventLog& log) {
  return std::make_unique<SidecarProcessImpl>(std::move(settings), log);
}

}  // namespace crankspur
