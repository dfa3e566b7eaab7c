#pragma once
/// @file Fixture: a RequestRouter with three engines and two runners, whose events and time the test
/// controls.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "router/request_router.h"

namespace crankspur {

/// Chooses the first eligible engine.
class FirstFitPlacement : public PlacementPolicy {
public:
  std::string name() const override { return "first_fit"; }
  PlacementDecision choose(const PlacementRequest& request, const RoutingSnapshot& snapshot,
                           const PrefixIndex&, const OutstandingWork&, RandomSource&, TimePoint) override {
    PlacementDecision decision;
    for (const EngineSlot slot : eligibleEngines(request, snapshot)) {
      const EngineView& engine = *snapshot.engine(slot);
      decision.found = true;
      decision.engine = slot;
      decision.incarnation = engine.incarnation;
      decision.weights_version = engine.weightsOf(request.model);
      break;
    }
    return decision;
  }
};

/// Admits all first attempts, and retries while `retries_left` is above 0.
class CountingAdmission : public Admission {
public:
  void configure(std::shared_ptr<const Bundle>, std::uint32_t, TimePoint) override {}
  AdmissionDecision admit(const AdmissionRequest& request, TimePoint) override {
    AdmissionDecision decision;
    decision.admitted = !request.retry || retries_left > 0;
    decision.priority = request.priority;
    if (request.retry && decision.admitted) --retries_left;
    if (decision.admitted) {
      ++in_flight;
      return decision;
    }
    decision.code = ErrorCode::Overloaded;
    decision.retry_after = std::chrono::milliseconds(70);
    return decision;
  }
  void finished(const AdmissionRequest&, std::uint32_t, TimePoint) override { --in_flight; }

  int retries_left = 100;
  int in_flight = 0;
};

/// Drives one RequestRouter. `now` changes only when the test changes it.
struct RouterFixture {
  TimePoint now{std::chrono::seconds(1000)};
  std::shared_ptr<Bundle> bundle = std::make_shared<Bundle>();
  RoutingSnapshot fleet;
  CountingAdmission* admission = nullptr;
  std::unique_ptr<RequestRouter> router;
  std::vector<RouterAction> actions;

  explicit RouterFixture(bool with_bundle = true) {
    fillBundle();
    for (EngineSlot slot = 0; slot < 3; ++slot) fleet.engines.push_back(makeEngine(slot));
    for (EngineSlot slot = 0; slot < 2; ++slot) fleet.runners.push_back(makeRunner(slot));
    RequestRouterOptions options;
    options.router_name = "r1";
    options.placement = std::make_unique<FirstFitPlacement>();
    options.index = makePrefixIndex(1000);
    auto counting = std::make_unique<CountingAdmission>();
    admission = counting.get();
    options.admission = std::move(counting);
    router = makeRequestRouterFromParts(std::move(options));
    if (with_bundle) fleet.bundle = bundle;
    publish();
  }

  void fillBundle() {
    bundle->version = 5;
    TenantPolicy tenant;
    tenant.name = "desk";
    tenant.models = {"m"};
    tenant.operations = {"order", "lookup"};
    bundle->tenants = {tenant};
    ModelPolicy model;
    model.name = "m";
    model.weights_version = "w1";
    model.pools = {"p"};
    model.max_answer_tokens = 100;
    bundle->models = {model};
    OperationPolicy order;
    order.name = "order";
    order.pools = {"apps"};
    OperationPolicy lookup = order;
    lookup.name = "lookup";
    lookup.repeatable = true;
    bundle->operations = {order, lookup};
  }

  static EngineView makeEngine(EngineSlot slot) {
    EngineView engine;
    engine.slot = slot;
    engine.name = "e" + std::to_string(slot);
    engine.address = "127.0.0.1:" + std::to_string(9000 + slot);
    engine.pool = "p";
    engine.incarnation = 10;
    engine.models = {LoadedModel{"m", "w1", {}}};
    return engine;
  }

  static EngineView makeRunner(EngineSlot slot) {
    EngineView runner;
    runner.slot = slot;
    runner.name = "a" + std::to_string(slot);
    runner.address = "127.0.0.1:" + std::to_string(9100 + slot);
    runner.pool = "apps";
    runner.incarnation = 1;
    return runner;
  }

  void publish() { router->onSnapshot(std::make_shared<RoutingSnapshot>(fleet), now); }
  void advance(Duration time) {
    now += time;
    router->onTimer(now);
  }

  static SubmitRequest completion(std::uint32_t attempt = 1) {
    SubmitRequest request;
    request.request_id = "q";
    request.attempt = attempt;
    request.tenant = "desk";
    request.model = "m";
    request.prompt = std::string(200, 'x');
    request.max_tokens = 50;
    request.deadline = std::chrono::seconds(30);
    request.bundle_version = 5;
    return request;
  }

  static SubmitRequest operation(const std::string& name = "order") {
    SubmitRequest request = completion();
    request.kind = RequestKind::Application;
    request.model.clear();
    request.operation = name;
    request.repeatable = name != "order";
    request.idempotency_key = "k";
    request.prompt = "two keels";
    return request;
  }

  void submit(const SubmitRequest& request, SidecarId sidecar = 1) {
    router->onSubmit(sidecar, request, now);
  }
  void backend(DispatchId dispatch, const BackendEvent& event) { router->onBackend(dispatch, event, now); }
  void accept(const DispatchCompletion& dispatch) {
    backend(dispatch.dispatch,
            BackendAccepted{dispatch.expected_incarnation, dispatch.expected_weights, 50, 0});
  }
  void piece(DispatchId dispatch, std::uint64_t offset, const std::string& text) {
    backend(dispatch, BackendPiece{offset, static_cast<std::uint32_t>(text.size() / 4), text});
  }
  void end(DispatchId dispatch, const std::string& text) {
    backend(dispatch, BackendEnd{text.size() / 4, hashBytes(text), "stop"});
  }

  void collectActions() {
    for (RouterAction& action : router->takeActions()) actions.push_back(std::move(action));
  }

  /// Removes the first pending action of the type. @return the action, or empty if there is none.
  template <typename Action>
  std::optional<Action> take() {
    collectActions();
    for (auto action = actions.begin(); action != actions.end(); ++action) {
      if (auto* found = std::get_if<Action>(&*action)) {
        Action result = std::move(*found);
        actions.erase(action);
        return result;
      }
    }
    return std::nullopt;
  }

  /// Removes the first pending message of the type to any sidecar. @return the message, or empty if there is
  /// none.
  template <typename Body>
  std::optional<Body> takeMessage() {
    collectActions();
    for (auto action = actions.begin(); action != actions.end(); ++action) {
      auto* sent = std::get_if<SendToSidecar>(&*action);
      if (sent == nullptr || !std::holds_alternative<Body>(sent->message)) continue;
      Body body = std::get<Body>(std::move(sent->message));
      actions.erase(action);
      return body;
    }
    return std::nullopt;
  }

  /// Submits the request. @return its dispatch, which is required.
  DispatchCompletion submitAndDispatch(const SubmitRequest& request = completion()) {
    submit(request);
    const auto dispatch = take<DispatchCompletion>();
    REQUIRE(dispatch);
    return *dispatch;
  }
};

}  // namespace crankspur
