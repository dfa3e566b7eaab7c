#pragma once
/// @file What can be seen from outside: what callers got, what engines and runners did, which bundles were
/// accepted and used. Checkers judge by these alone.

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

/// One request as its caller saw it.
struct CallerRecord {
  SubmitRequest request;
  std::string sidecar;
  TimePoint submitted_at{};
  std::string text;           ///< Everything delivered, in the order of delivery.
  std::uint64_t tokens = 0;   ///< Tokens delivered.
  bool out_of_order = false;  ///< A piece did not begin where the one before ended.
  std::uint32_t finals = 0;   ///< Ends and errors delivered.
  bool late_text = false;     ///< Text came after the final answer.
  std::optional<StreamEnd> end;
  std::optional<Refusal> error;
  TimePoint finished_at{};
  bool abandoned = false;  ///< The sidecar crashed; the caller knows nothing.

  bool finished() const { return finals > 0 || abandoned; }
};

/// One execution at an application runner.
struct ExecutionRecord {
  std::string request_id;
  std::string tenant;
  std::string idempotency_key;
  std::string operation;
  std::string runner;
  TimePoint at{};
};

/// One completion as it arrived at an engine, with what its sender counted on.
struct ArrivalRecord {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string engine;
  std::uint64_t stream = 0;  ///< Number of this dispatch at the engine, never used again.
  std::string router;
  std::uint64_t counted_on_incarnation = 0;  ///< Named by the router before any tampering.
  std::string counted_on_weights;
  std::uint64_t incarnation = 0;  ///< Of the engine at arrival.
  TimePoint at{};
};

/// A back end that began to leave.
struct LeavingRecord {
  std::string machine;
  TimePoint at{};                      ///< First instant at which anyone could read it.
  bool of_process = false;             ///< Only the process itself said so: its next start does not leave.
  TimePoint ended = TimePoint::max();  ///< End of the process that leaves; far future for a machine.
};

/// A bundle whose acceptance took effect in the table.
struct AcceptedBundle {
  std::uint64_t version = 0;
  std::string digest;  ///< SHA-256 of the document.
  TimePoint at{};
};

/// A node began to use a bundle.
struct BundleUse {
  std::string node;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::string digest;
  TimePoint at{};
};

/// An order that an engine carried out.
struct OrderUse {
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint64_t token = 0;          ///< As its sender gave it.
  std::size_t loading_weights = 0;  ///< Engines that loaded weights from then on, this one counted.
  TimePoint at{};
};

/// A refusal that a router sent.
struct RouterRefusal {
  std::string router;
  std::uint64_t epoch = 0;
  TimePoint router_started_at{};
  ErrorCode code = ErrorCode::Internal;
  TimePoint at{};
};

/// A router decided a request under a bundle.
struct DecisionUse {
  std::string router;
  std::string request_id;
  std::uint64_t caller_version = 0;  ///< The version the sidecar had named.
  std::uint64_t version = 0;         ///< The version the router decided under.
  TimePoint at{};
};

/// A time span in which a kind of trouble went on.
struct Span {
  TimePoint from{};
  TimePoint to{};
};

/// The table service was down for long.
struct TableOutage {
  Span span;
  bool majority_lives = false;  ///< No fault of the run took a majority of the claim group away.
};

/// All observations of a run.
struct Records {
  /// A back end's process died: what it alone said of itself does not hold for the next one.
  void endProcess(const std::string& machine, TimePoint now) {
    for (LeavingRecord& record : leaving) {
      if (record.machine == machine && record.of_process) record.ended = std::min(record.ended, now);
    }
  }

  std::deque<CallerRecord> callers;  ///< Addresses stay valid as it grows.
  std::vector<ExecutionRecord> executions;
  std::vector<ArrivalRecord> arrivals;
  std::vector<LeavingRecord> leaving;
  std::set<std::string> loading_weights;  ///< Engines that load weights now.
  std::vector<AcceptedBundle> accepted_bundles;
  std::vector<BundleUse> bundle_uses;
  std::vector<OrderUse> orders;
  std::vector<RouterRefusal> refusals;
  std::vector<DecisionUse> decisions;
  std::optional<TableOutage> table_outage;
  std::uint64_t rolls_told_accepted = 0;  ///< Operators told that their roll was accepted.
};

}  // namespace crankspur::sim
