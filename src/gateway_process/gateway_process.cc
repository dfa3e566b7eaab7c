#include "gateway_process/gateway_process.h"

#include "gateway_process/traffic_loop.h"
#include "router_process/event_loop_thread.h"

namespace crankspur::gateway {

struct GatewayProcess::Implementation {
  Implementation(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                 TrafficCallbacks callbacks, RequestObserver& observer)
      : loop(settings, std::move(dialect), std::move(callbacks), observer, thread.executor()) {}
  ~Implementation() { thread.stop(); }

  EventLoopThread thread;
  TrafficLoop loop;
  std::atomic<bool> configured = false;
  std::atomic<bool> draining = false;
};

GatewayProcess::GatewayProcess(const GatewayProcessSettings& settings, std::shared_ptr<const Dialect> dialect,
                               TrafficCallbacks callbacks, RequestObserver& observer)
    : implementation_(
          std::make_unique<Implementation>(settings, std::move(dialect), std::move(callbacks), observer)) {}

GatewayProcess::~GatewayProcess() = default;

std::error_code GatewayProcess::start() {
  const std::error_code error = implementation_->loop.listen();
  if (!error) implementation_->thread.start();
  return error;
}

std::uint16_t GatewayProcess::port() const {
  return implementation_->loop.port();
}

void GatewayProcess::publish(std::shared_ptr<const GatewaySnapshot> snapshot) {
  if (snapshot->configuration != nullptr) implementation_->configured = true;
  implementation_->thread.post(
      [this, snapshot = std::move(snapshot)] { implementation_->loop.onSnapshot(snapshot); });
}

void GatewayProcess::onCachedParts(CachedPartsUpdate update) {
  implementation_->thread.post(
      [this, update = std::move(update)] { implementation_->loop.onCachedParts(update); });
}

void GatewayProcess::onPeerLoad(std::vector<LoadDigest> digests) {
  implementation_->thread.post(
      [this, digests = std::move(digests)] { implementation_->loop.onPeerLoad(digests); });
}

void GatewayProcess::onCrashUpdate(CrashUpdate update) {
  implementation_->thread.post(
      [this, update = std::move(update)] { implementation_->loop.onCrashUpdate(update); });
}

void GatewayProcess::onStreamOrigins(std::string sender, StreamOrigins message) {
  implementation_->thread.post([this, sender = std::move(sender), message = std::move(message)] {
    implementation_->loop.onStreamOrigins(sender, message);
  });
}

void GatewayProcess::onBuildsConfirmed(ConfirmedBuilds confirmed) {
  implementation_->thread.post(
      [this, confirmed = std::move(confirmed)] { implementation_->loop.onBuildsConfirmed(confirmed); });
}

void GatewayProcess::onConnectionsSilent() {
  implementation_->thread.post([this] { implementation_->loop.onConnectionsSilent(); });
}

void GatewayProcess::drain(const DrainTimes& times) {
  implementation_->draining = true;
  implementation_->thread.post([this, times] { implementation_->loop.drain(times); });
}

void GatewayProcess::endRequests() {
  implementation_->thread.post([this] { implementation_->loop.endRequests(); });
}

bool GatewayProcess::ready() const {
  return implementation_->configured && !implementation_->draining;
}

std::size_t GatewayProcess::inFlight() const {
  return implementation_->loop.inFlight();
}

void GatewayProcess::closeIdleConnections() {
  implementation_->thread.post([this] { implementation_->loop.closeIdleConnections(); });
}

void GatewayProcess::stopAccepting() {
  implementation_->thread.post([this] { implementation_->loop.stopAccepting(); });
}

GatewayCounters GatewayProcess::counters() const {
  return implementation_->loop.counters();
}

}  // namespace crankspur::gateway
