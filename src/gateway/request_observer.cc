#include "gateway/request_observer.h"

namespace crankspur::gateway {
namespace {

class silent_observer : public request_observer {
public:
  void onAdmitted(const request_admitted&) override {}
  void onPlaced(const request_placed&) override {}
  void onWaiting(const request_waiting&) override {}
  void onMoved(const request_moved&) override {}
  void onEnded(const request_ended&) override {}
  void onDistrusted(const backend_distrusted&) override {}
};

}  // namespace

request_observer& noObserver() {
  static silent_observer observer;
  return observer;
}

std::string_view nameOf(request_cause cause) {
  switch (cause) {
    case request_cause::none:
      return "none";
    case request_cause::malformed_head:
      return "malformed_head";
    case request_cause::no_configuration:
      return "no_configuration";
    case request_cause::no_route:
      return "no_route";
    case request_cause::unknown_key:
      return "unknown_key";
    case request_cause::keys_outdated:
      return "keys_outdated";
    case request_cause::route_without_pool:
      return "route_without_pool";
    case request_cause::no_time_left:
      return "no_time_left";
    case request_cause::expected_too_late:
      return "expected_too_late";
    case request_cause::no_back_end:
      return "no_back_end";
    case request_cause::back_ends_full:
      return "back_ends_full";
    case request_cause::back_end_full:
      return "back_end_full";
    case request_cause::back_end_unreachable:
      return "back_end_unreachable";
    case request_cause::back_end_replaced:
      return "back_end_replaced";
    case request_cause::other_weights:
      return "other_weights";
    case request_cause::answer_broke_off:
      return "answer_broke_off";
    case request_cause::answer_not_genuine:
      return "answer_not_genuine";
    case request_cause::error_answer:
      return "error_answer";
    case request_cause::silence:
      return "silence";
    case request_cause::time_ran_out:
      return "time_ran_out";
    case request_cause::client_left:
      return "client_left";
  }
  return "none";
}

std::string_view nameOf(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::answered:
      return "answered";
    case request_outcome::error_passed:
      return "error_passed";
    case request_outcome::refused:
      return "refused";
    case request_outcome::rejected:
      return "rejected";
    case request_outcome::failed:
      return "failed";
    case request_outcome::cut:
      return "cut";
    case request_outcome::abandoned:
      return "abandoned";
  }
  return "answered";
}

}  // namespace crankspur::gateway
