#include "gateway/request_observer.h"

namespace crankspur::gateway {
namespace {

class NoopObserver : public RequestObserver {
public:
  void onAdmitted(const RequestAdmitted&) override {}
  void onOriginDecided(const OriginDecided&) override {}
  void onPlaced(const RequestPlaced&) override {}
  void onWaiting(const RequestWaiting&) override {}
  void onRelayed(const RequestRelayed&) override {}
  void onMoved(const RequestMoved&) override {}
  void onEnded(const RequestEnded&) override {}
  void onOverQuota(const RequestOverQuota&) override {}
  void onBackendLimitChanged(const BackendLimitChanged&) override {}
  void onBackendLimitInvalid(const BackendLimitInvalid&) override {}
  void onBackendPaused(const BackendPaused&) override {}
  void onBackendPauseInvalid(const BackendPauseInvalid&) override {}
  void onBackendLeaving(const BackendLeaving&) override {}
  void onBackendBrittle(const BackendBrittle&) override {}
  void onDistrusted(const BackendDistrusted&) override {}
  void onSuspected(const RequestSuspected&) override {}
  void onSuspicionWithdrawn(const SuspicionWithdrawn&) override {}
  void onEndUnobserved(const EndUnobserved&) override {}
};

}  // namespace

RequestObserver& noopObserver() {
  static NoopObserver observer;
  return observer;
}

std::string_view nameOf(RequestCause cause) {
  switch (cause) {
    case RequestCause::none:
      return "none";
    case RequestCause::malformed_head:
      return "malformed_head";
    case RequestCause::head_too_large:
      return "head_too_large";
    case RequestCause::body_too_large:
      return "body_too_large";
    case RequestCause::arrived_too_slowly:
      return "arrived_too_slowly";
    case RequestCause::too_many_connections:
      return "too_many_connections";
    case RequestCause::memory_exhausted:
      return "memory_exhausted";
    case RequestCause::stopping:
      return "stopping";
    case RequestCause::no_configuration:
      return "no_configuration";
    case RequestCause::no_route:
      return "no_route";
    case RequestCause::unknown_key:
      return "unknown_key";
    case RequestCause::over_quota:
      return "over_quota";
    case RequestCause::keys_outdated:
      return "keys_outdated";
    case RequestCause::route_without_pool:
      return "route_without_pool";
    case RequestCause::no_time_left:
      return "no_time_left";
    case RequestCause::expected_too_late:
      return "expected_too_late";
    case RequestCause::queues_too_long:
      return "queues_too_long";
    case RequestCause::build_gone:
      return "build_gone";
    case RequestCause::build_not_listed:
      return "build_not_listed";
    case RequestCause::origin_unknown:
      return "origin_unknown";
    case RequestCause::no_back_end:
      return "no_back_end";
    case RequestCause::back_ends_limited:
      return "back_ends_limited";
    case RequestCause::back_ends_paused:
      return "back_ends_paused";
    case RequestCause::back_ends_full:
      return "back_ends_full";
    case RequestCause::back_end_full:
      return "back_end_full";
    case RequestCause::back_end_unreachable:
      return "back_end_unreachable";
    case RequestCause::recalled:
      return "recalled";
    case RequestCause::back_end_replaced:
      return "back_end_replaced";
    case RequestCause::other_weights:
      return "other_weights";
    case RequestCause::answer_broke_off:
      return "answer_broke_off";
    case RequestCause::end_unproven:
      return "end_unproven";
    case RequestCause::answer_not_genuine:
      return "answer_not_genuine";
    case RequestCause::answer_unreadable:
      return "answer_unreadable";
    case RequestCause::event_too_large:
      return "event_too_large";
    case RequestCause::error_answer:
      return "error_answer";
    case RequestCause::quarantined:
      return "quarantined";
    case RequestCause::suspicion_undecided:
      return "suspicion_undecided";
    case RequestCause::runs_already:
      return "runs_already";
    case RequestCause::silence:
      return "silence";
    case RequestCause::time_ran_out:
      return "time_ran_out";
    case RequestCause::client_left:
      return "client_left";
  }
  return "none";
}

std::string_view nameOf(RepeatDecision decision) {
  switch (decision) {
    case RepeatDecision::budgeted:
      return "budgeted";
    case RepeatDecision::unbudgeted:
      return "unbudgeted";
    case RepeatDecision::over_budget:
      return "over_budget";
    case RepeatDecision::not_allowed:
      return "not_allowed";
  }
  return "not_allowed";
}

bool isRepeated(RepeatDecision decision) {
  return decision == RepeatDecision::budgeted || decision == RepeatDecision::unbudgeted;
}

std::string_view nameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::answered:
      return "answered";
    case RequestOutcome::error_passed:
      return "error_passed";
    case RequestOutcome::refused:
      return "refused";
    case RequestOutcome::rejected:
      return "rejected";
    case RequestOutcome::failed:
      return "failed";
    case RequestOutcome::cut:
      return "cut";
    case RequestOutcome::abandoned:
      return "abandoned";
  }
  return "answered";
}

}  // namespace crankspur::gateway
