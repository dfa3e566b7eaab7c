#include "router_process/router_process.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <random>
#include <utility>

#include "base/hash.h"
#include "router_process/control_thread.h"
#include "router_process/router_admin.h"

namespace crankspur {

namespace {

/// Time for sidecars to receive the announcement of the shutdown before new requests are refused.
constexpr Duration kLeaveAnnouncementTime = std::chrono::milliseconds(300);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);

/// @return the wall clock in milliseconds, so that a later start has a higher incarnation.
std::uint64_t startIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string withPort(const std::string& address, std::uint16_t port) {
  return fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
}

class RouterProcessImpl : public RouterProcess {
public:
  RouterProcessImpl(RouterSettings settings, EventLog& log)
      : settings_(std::move(settings)), log_(log), context_(1), signals_(context_), stop_timer_(context_) {}

  int run() override {
    buildShards();
    if (!listenForPeers()) return kRouterExitCannotListen;
    MemberRecord self{settings_.name,
                      settings_.advertise,
                      settings_.zone,
                      settings_.region,
                      incarnation_,
                      MemberState::Alive,
                      0};
    control_ =
        std::make_unique<ControlThread>(context_, settings_, self, peer_thread_, shards_, log_, metrics_);
    admin_ = std::make_unique<RouterAdmin>(context_, settings_, *control_, peer_thread_, shards_, metrics_);
    if (const std::error_code error = admin_->listen(settings_.admin)) {
      logRefusedAddress("admin", settings_.admin, error);
      return kRouterExitCannotListen;
    }
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    awaitSignal();
    for (const auto& shard : shards_) shard->start();
    peer_thread_.thread.start();
    control_->start();
    fmt::print("listening {} admin {}\n", peer_thread_.connections->port(), admin_->port());
    std::fflush(stdout);
    log_.write(EventId::ProcessStarted,
               {{"address", settings_.advertise}, {"zone", settings_.zone}, {"version", CRANKSPUR_VERSION}});
    context_.run();
    peer_thread_.thread.stop();
    for (const auto& shard : shards_) shard->stop();
    log_.write(EventId::ProcessStopped, {});
    return kRouterExitOk;
  }

private:
  void buildShards() {
    for (std::uint32_t index = 0; index < settings_.traffic_threads; ++index) {
      TrafficShardOptions options;
      options.router_name = settings_.name;
      options.random_seed = randomSeed();
      options.index_entries = settings_.index_entries / settings_.traffic_threads;
      options.table_address = settings_.platform;
      options.fleet_table_rate = {static_cast<double>(settings_.table_calls_per_second),
                                  static_cast<double>(settings_.table_calls_per_second)};
      options.shard_count = settings_.traffic_threads;
      shards_.push_back(
          std::make_unique<TrafficShard>(std::move(options), shardCallbacks(index), log_, metrics_));
    }
  }

  TrafficShardCallbacks shardCallbacks(std::size_t shard) {
    TrafficShardCallbacks callbacks;
    callbacks.on_messages = [this](std::vector<SendToSidecar> messages) {
      peer_thread_.thread.post(
          [this, messages = std::move(messages)] { peer_thread_.connections->sendToSidecars(messages); });
    };
    callbacks.on_outcome = [this](const EngineOutcome& outcome) {
      boost::asio::post(context_, [this, outcome] { control_->onOutcome(outcome); });
    };
    callbacks.on_cache_gap = [this](EngineSlot slot, std::uint64_t incarnation) {
      boost::asio::post(context_, [this, slot, incarnation] { control_->onCacheGap(slot, incarnation); });
    };
    callbacks.on_group_claim = [this, shard](const GroupClaimRequest& request) {
      boost::asio::post(context_, [this, shard, request] { control_->onGroupClaim(shard, request); });
    };
    callbacks.on_group_notice = [this](const GroupClaimNotice& notice) {
      boost::asio::post(context_, [this, notice] { control_->onGroupNotice(notice); });
    };
    callbacks.on_group_found = [this] { boost::asio::post(context_, [this] { control_->onGroupFound(); }); };
    return callbacks;
  }

  bool listenForPeers() {
    peer_thread_.connections = std::make_unique<PeerConnections>(
        peer_thread_.thread.executor(), routerHello(settings_, incarnation_), peerCallbacks());
    if (const std::error_code error = peer_thread_.connections->listen(settings_.listen)) {
      logRefusedAddress("listen", settings_.listen, error);
      return false;
    }
    if (settings_.advertise.empty()) {
      settings_.advertise = withPort(settings_.listen, peer_thread_.connections->port());
    }
    peer_thread_.connections->setAdvertisedAddress(settings_.advertise);
    return true;
  }

  PeerConnectionCallbacks peerCallbacks() {
    PeerConnectionCallbacks callbacks;
    callbacks.on_submit = [this](SidecarId sidecar, SubmitRequest request) {
      TrafficShard& shard = shardOf(request);
      shard.postSubmit(sidecar, std::move(request));
    };
    callbacks.on_cancel = [this](SidecarId sidecar, const Cancel& cancel) {
      for (const auto& shard : shards_) shard->postCancel(sidecar, cancel);
    };
    callbacks.on_sidecar_lost = [this](SidecarId sidecar) {
      for (const auto& shard : shards_) shard->postSidecarLost(sidecar);
    };
    bindControlCallbacks(callbacks, context_, control_);
    return callbacks;
  }

  /// @return the shard for the request; all requests of one tenant and model or operation go to the same
  /// shard.
  TrafficShard& shardOf(const SubmitRequest& request) {
    const std::string& route_target =
        request.kind == RequestKind::Application ? request.operation : request.model;
    const std::uint64_t hash = combineHashes(hashBytes(request.tenant), hashBytes(route_target));
    return *shards_[hash % shards_.size()];
  }

  void logRefusedAddress(const char* key, const std::string& address, std::error_code error) {
    log_.write(EventId::SettingsRefused, {{"key", key}, {"value", address}, {"reason", error.message()}});
  }

  void awaitSignal() {
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      if (stopping_) {
        context_.stop();
        return;
      }
      stopping_ = true;
      awaitSignal();
      startDraining();
    });
  }

  void startDraining() {
    log_.write(EventId::ProcessStopping, {{"in_flight", inFlight()}});
    drain_deadline_ = clock_.now() + settings_.drain_limit;
    control_->leave();
    runAfter(kLeaveAnnouncementTime, [this] {
      for (const auto& shard : shards_) shard->postDrain();
      awaitDrained();
    });
  }

  void awaitDrained() {
    if (inFlight() == 0 || clock_.now() >= drain_deadline_) {
      closeConnections();
      return;
    }
    runAfter(kDrainPollInterval, [this] { awaitDrained(); });
  }

  /// Ends the process once all messages have been sent and every peer has closed its connection.
  void closeConnections() {
    peer_thread_.thread.post([this] {
      peer_thread_.connections->stop([this] { boost::asio::post(context_, [this] { context_.stop(); }); });
    });
  }

  void runAfter(Duration delay, std::function<void()> action) {
    stop_timer_.expires_after(delay);
    stop_timer_.async_wait([action = std::move(action)](boost::system::error_code error) {
      if (!error) action();
    });
  }

  std::size_t inFlight() const {
    std::size_t total = 0;
    for (const auto& shard : shards_) total += shard->inFlight();
    return total;
  }

  RouterSettings settings_;
  EventLog& log_;
  SteadyClock clock_;
  RouterMetrics metrics_;
  std::uint64_t incarnation_ = startIncarnation();
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
  PeerThread peer_thread_;
  ControlThread::Shards shards_;
  std::unique_ptr<ControlThread> control_;
  std::unique_ptr<RouterAdmin> admin_;
  bool stopping_ = false;
  TimePoint drain_deadline_{};
};

}  // namespace

std::unique_ptr<RouterProcess> makeRouterProcess(RouterSettings settings, EventLog& log) {
  return std::make_unique<RouterProcessImpl>(std::move(settings), log);
}

}  // namespace crankspur
