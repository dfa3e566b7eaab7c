#pragma once
/// @file A gateway with a small configuration and two back ends in each pool, driven step by step by the
/// test.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "gateway/gateway.h"

namespace crankspur::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kKey = "key-of-harbour";

inline Route makeRoute(const std::string& name, Repeatability repeatability, const std::string& pool) {
  Route route;
  route.name = name;
  route.host = kHost;
  route.path_prefix = "/" + name + "/";
  route.repeatability = repeatability;
  route.timeout = seconds(4);
  route.first_byte_target = milliseconds(400);
  route.max_attempts = 2;
  route.pools = {{pool, 1}};
  return route;
}

inline Configuration makeConfiguration() {
  Configuration configuration;
  configuration.routes = {makeRoute("order", Repeatability::AtMostOnce, "app"),
                          makeRoute("look", Repeatability::Repeatable, "app"),
                          makeRoute("review", Repeatability::ResumableStream, "lm"),
                          makeRoute("answer", Repeatability::AtMostOnce, "lm")};
  for (std::size_t index : {2U, 3U}) {
    configuration.routes[index].streaming = true;
    configuration.routes[index].uses_prefixes = true;
  }
  Pool app;
  app.name = "app";
  Pool lm;
  lm.name = "lm";
  lm.token_bytes = 1000;
  configuration.pools = {app, lm};
  configuration.tenants = {{"harbour", {kKey}, std::nullopt, false}, {"island", {"key-of-island"}, 7, true}};
  return configuration;
}

inline Backend makeBackend(EngineSlot slot, const std::string& pool) {
  Backend backend;
  backend.view.slot = slot;
  backend.view.name = "b" + std::to_string(slot);
  backend.view.address = "10.0.0." + std::to_string(slot) + ":80";
  backend.view.zone = "here";
  backend.view.region = "coast";
  backend.view.pool = pool;
  backend.view.incarnation = 1000U + slot;
  backend.view.load.prefill_tokens_per_second = 10'000;
  if (pool == "lm") backend.view.models = {{"m", "1", {}}};
  backend.slots = 2;
  return backend;
}

inline BackendResponse genuineResponse() {
  BackendResponse response;
  response.genuine = true;
  return response;
}

inline BackendResponse wrongBackend(std::optional<std::uint64_t> weights) {
  BackendResponse response;
  response.wrong_backend = true;
  response.weights_version = weights;
  return response;
}

/// Keeps the records of a gateway's decisions.
class RecordingObserver : public RequestObserver {
public:
  void onAdmitted(const RequestAdmitted& record) override { admitted.emplace_back(record.request_id); }
  void onOriginDecided(const OriginDecided& record) override { origins.push_back(record); }
  void onPlaced(const RequestPlaced& record) override {
    placed.push_back(record);
    placed_at.emplace_back(record.backend);
  }
  void onWaiting(const RequestWaiting& record) override { waiting.push_back(record); }
  void onRelayed(const RequestRelayed& record) override { relayed_to.emplace_back(record.gateway); }
  void onMoved(const RequestMoved& record) override { moved.push_back(record); }
  void onEnded(const RequestEnded& record) override {
    ended.push_back(record);
    ended_ids.emplace_back(record.request_id);
    ended_at.emplace_back(record.backend);
  }
  void onOverQuota(const RequestOverQuota& record) override { over_quota.push_back(record); }
  void onDistrusted(const BackendDistrusted& record) override { distrusted.emplace_back(record.backend); }

  void onSuspected(const RequestSuspected& record) override { suspected.push_back(record); }
  void onSuspicionWithdrawn(const SuspicionWithdrawn& record) override { withdrawn.push_back(record); }
  void onEndUnobserved(const EndUnobserved& record) override { unobserved.push_back(record.cause); }
  void onBackendLimitChanged(const BackendLimitChanged& record) override { limits.push_back(record); }
  void onBackendLimitInvalid(const BackendLimitInvalid& record) override {
    invalid_limits.emplace_back(record.text);
  }
  void onBackendPaused(const BackendPaused& record) override { paused.push_back(record); }
  void onBackendPauseInvalid(const BackendPauseInvalid& record) override {
    invalid_pauses.emplace_back(record.text);
  }
  void onBackendLeaving(const BackendLeaving& record) override { leaving.emplace_back(record.backend); }
  void onBackendBrittle(const BackendBrittle& record) override { brittle.push_back(record); }

  // Views in the records are invalid after the call; strings that tests compare are copied.
  std::vector<std::string> admitted;
  std::vector<OriginDecided> origins;
  std::vector<RequestPlaced> placed;
  std::vector<std::string> placed_at;
  std::vector<RequestWaiting> waiting;
  std::vector<std::string> relayed_to;
  std::vector<RequestMoved> moved;
  std::vector<RequestEnded> ended;
  std::vector<std::string> ended_ids;
  std::vector<std::string> ended_at;
  std::vector<RequestOverQuota> over_quota;
  std::vector<std::string> distrusted;
  std::vector<RequestSuspected> suspected;
  std::vector<SuspicionWithdrawn> withdrawn;
  std::vector<RequestCause> unobserved;
  std::vector<BackendLimitChanged> limits;
  std::vector<std::string> invalid_limits;
  std::vector<BackendPaused> paused;
  std::vector<std::string> invalid_pauses;
  std::vector<std::string> leaving;
  std::vector<BackendBrittle> brittle;
};

class GatewayFixture {
public:
  explicit GatewayFixture(GatewaySettings settings = {})
      : configuration(makeConfiguration()),
        backends{makeBackend(1, "app"), makeBackend(2, "app"), makeBackend(3, "lm"), makeBackend(4, "lm")},
        gateway(settings, 7, observer) {
    // Its process has run for longer than the window of the retry budget.
    gateway.onSnapshot(std::make_shared<GatewaySnapshot>(), now - std::chrono::minutes(1));
  }

  void publish() {
    auto snapshot = std::make_shared<GatewaySnapshot>();
    snapshot->configuration = std::make_shared<const Configuration>(configuration);
    snapshot->backends = backends;
    snapshot->weights = weights;
    snapshot->own_name = own_name;
    snapshot->own_zone = "here";
    snapshot->peers = peers;
    snapshot->own_region = "coast";
    snapshot->contact = contact;
    snapshot->list_contact = list_contact;
    snapshot->key_validity = key_validity;
    gateway.onSnapshot(snapshot, now);
  }

  static IncomingRequest request(const std::string& route) {
    IncomingRequest incoming;
    incoming.host = kHost;
    incoming.path = "/" + route + "/1";
    incoming.client.emplace();
    incoming.client->request_id = "id";
    incoming.client->api_key = kKey;
    incoming.client->deadline = seconds(3);
    if (route == "review" || route == "answer") {
      incoming.client->model = "m";
      incoming.client->prompt = {{11, 1600}, {12, 100}};
      incoming.client->prompt_tokens = 1700;
    }
    return incoming;
  }

  /// Gives the gateway a client request; the resulting actions are in `actions`.
  ClientId send(const std::string& route) { return send(request(route)); }
  ClientId send(IncomingRequest incoming) {
    const ClientId client = ++last_client;
    gateway.onRequest(client, std::move(incoming), now);
    takeActions();
    return client;
  }

  /// @return the gateway's actions since the last call, also in `actions`.
  const std::vector<GatewayAction>& takeActions() {
    actions = gateway.takeActions();
    for (std::size_t index = 0; index < actions.size(); ++index) {
      const auto* confirm = std::get_if<ConfirmBuilds>(&actions[index]);
      if (confirm == nullptr || !confirms) continue;
      gateway.onBuildsConfirmed(confirmedBuilds(confirm->number), now);
      std::vector<GatewayAction> further = gateway.takeActions();
      actions.insert(actions.end(), further.begin(), further.end());
    }
    for (const GatewayAction& action : actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) last = *dispatch;
    }
    return actions;
  }

  template <typename Action>
  std::vector<Action> all() const {
    std::vector<Action> found;
    for (const GatewayAction& action : actions) {
      if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
    }
    return found;
  }
  template <typename Action>
  bool has() const {
    return !all<Action>().empty();
  }
  /// @return the only action of the type; fails the test if there is none or several.
  template <typename Action>
  Action only() const {
    const std::vector<Action> found = all<Action>();
    REQUIRE(found.size() == 1);
    return found.front();
  }

  void head(int status, BackendResponse response = genuineResponse()) {
    gateway.onHead(last.exchange, status, response, now);
    takeActions();
  }
  void bytes(const std::string& text) {
    gateway.onBytes(last.exchange, text, now);
    takeActions();
  }
  void end() {
    gateway.onEnd(last.exchange, now);
    takeActions();
  }
  void breakExchange(bool sent) {
    gateway.onLost(last.exchange, sent, now);
    takeActions();
  }
  void notRun() {
    BackendResponse response;
    response.not_run = true;
    head(503, response);
  }

  /// @return what the platform states: the builds of the back ends, and `served_before`.
  ConfirmedBuilds confirmedBuilds(std::uint64_t number) const {
    ConfirmedBuilds confirmed{number, platform_responds, served_before};
    for (const Backend& backend : backends) {
      confirmed.builds.push_back({hashBytes(backend.view.pool), buildId(backend.build), now});
    }
    return confirmed;
  }

  /// Advances the time and runs the gateway's timers; their actions are in `actions`.
  void advance(Duration time) {
    const TimePoint until = now + time;
    std::vector<GatewayAction> all_actions;
    while (gateway.nextTimer() && *gateway.nextTimer() <= until) {
      now = std::max(now, *gateway.nextTimer());
      gateway.onTimer(now);
      takeActions();
      all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    }
    now = until;
    actions = std::move(all_actions);
  }

  Configuration configuration;
  std::vector<Backend> backends;
  std::string own_name;
  std::vector<PeerGateway> peers;
  std::vector<NamedWeights> weights;
  std::shared_ptr<PlatformContact> contact = std::make_shared<PlatformContact>();
  std::shared_ptr<PlatformContact> list_contact;  ///< Null: the list always counts as confirmed.
  std::optional<Duration> key_validity;
  bool confirms = true;                    ///< takeActions() responds to ConfirmBuilds.
  bool platform_responds = true;           ///< That response is of the platform.
  std::vector<ServedBuild> served_before;  ///< Builds of the record that no listed back end has.
  TimePoint now{seconds(1000)};
  RecordingObserver observer;
  Gateway gateway;
  std::vector<GatewayAction> actions;
  Dispatch last;
  ClientId last_client = 0;
};

}  // namespace crankspur::gateway
