#pragma once
/// @file Externally observable events of a run: responses to callers, actions of engines and runners,
/// accepted and applied bundles. Checkers read only these records.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur::sim {

/// A request as observed by its caller.
struct CallerRecord {
  SubmitRequest request;
  std::string sidecar;
  TimePoint submitted_at{};
  std::string text;               ///< All delivered text, in order of delivery.
  std::uint64_t tokens = 0;       ///< Number of delivered tokens.
  bool out_of_order = false;      ///< A piece did not start at the end of the previous one.
  std::uint32_t finals = 0;       ///< Number of delivered ends and errors.
  bool text_after_final = false;  ///< Text was delivered after the end or error.
  std::optional<StreamEnd> end;
  std::optional<Refusal> error;
  TimePoint finished_at{};
  bool abandoned = false;  ///< The sidecar crashed; the caller received no outcome.

  bool finished() const { return finals > 0 || abandoned; }
};

/// An execution at an application runner.
struct ExecutionRecord {
  std::string request_id;
  std::string tenant;
  std::string idempotency_key;
  std::string operation;
  std::string runner;
  TimePoint at{};
};

/// A completion on arrival at an engine, with the engine state that its sender expected.
struct ArrivalRecord {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string engine;
  std::uint64_t stream = 0;  ///< Number of this dispatch at the engine; never reused.
  std::string router;
  std::uint64_t expected_incarnation = 0;  ///< As sent by the router, before a disabled mechanism alters it.
  std::string expected_weights;
  std::uint64_t incarnation = 0;  ///< Incarnation of the engine on arrival.
  TimePoint at{};
};

/// A back end that started to leave.
struct LeavingRecord {
  std::string machine;
  TimePoint at{};                      ///< Earliest time at which the state is readable by others.
  bool process_only = false;           ///< Reported by the process only; its next start is not leaving.
  TimePoint ended = TimePoint::max();  ///< End of the leaving process; TimePoint::max() for a machine.
};

/// A bundle whose acceptance was committed in the table.
struct AcceptedBundle {
  std::uint64_t version = 0;
  std::string digest;  ///< SHA-256 of the document.
  TimePoint at{};
};

/// A node applied a bundle.
struct BundleActivation {
  std::string node;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::string digest;
  TimePoint at{};
};

/// An order executed by an engine.
struct ExecutedOrder {
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint64_t token = 0;          ///< As sent, before a disabled mechanism alters it.
  std::size_t loading_weights = 0;  ///< Engines loading weights after this order, this one included.
  TimePoint at{};
};

/// A refusal sent by a router.
struct RouterRefusal {
  std::string router;
  std::uint64_t epoch = 0;
  TimePoint router_started_at{};
  ErrorCode code = ErrorCode::Internal;
  TimePoint at{};
};

/// A routing decision and the bundle versions involved.
struct DecisionObservation {
  std::string router;
  std::string request_id;
  std::uint64_t caller_version = 0;  ///< Version named by the sidecar.
  std::uint64_t version = 0;         ///< Version that the router used.
  TimePoint at{};
};

/// Time interval of a fault.
struct TimeSpan {
  TimePoint from{};
  TimePoint to{};
};

/// A long outage of the table service.
struct TableOutage {
  TimeSpan span;
  bool majority_live = false;  ///< No fault removed a majority of the claim group.
};

/// All records of a run.
struct Records {
  /// Ends the leaving records reported only by the process that ended; they do not apply to its successor.
  void recordProcessEnd(const std::string& machine, TimePoint now) {
    for (LeavingRecord& record : leaving) {
      if (record.machine == machine && record.process_only) record.ended = std::min(record.ended, now);
    }
  }

  std::deque<CallerRecord> callers;  ///< A deque, as element addresses must stay valid.
  std::vector<ExecutionRecord> executions;
  std::vector<ArrivalRecord> arrivals;
  std::vector<LeavingRecord> leaving;
  std::set<std::string> loading_weights;  ///< Engines currently loading weights.
  std::vector<AcceptedBundle> accepted_bundles;
  std::vector<BundleActivation> bundle_uses;
  std::vector<ExecutedOrder> orders;
  std::vector<RouterRefusal> refusals;
  std::vector<DecisionObservation> decisions;
  std::optional<TableOutage> table_outage;
  std::uint64_t rolls_reported_accepted = 0;  ///< Number of rolls reported as accepted.
};

}  // namespace crankspur::sim
