#include "sim/world/mechanism.h"

namespace crankspur::sim {

const std::vector<MechanismName>& mechanismNames() {
  static const std::vector<MechanismName> names = {
      {Mechanism::IncarnationCheck, "incarnation_check"},
      {Mechanism::TenantSalt, "tenant_salt"},
      {Mechanism::WeightsCheck, "weights_check"},
      {Mechanism::ContiguousDelivery, "contiguous_delivery"},
      {Mechanism::EndCheck, "end_check"},
      {Mechanism::AttemptCheck, "attempt_check"},
      {Mechanism::RequestCheck, "request_check"},
      {Mechanism::Claim, "claim"},
      {Mechanism::ClaimReadBack, "claim_read_back"},
      {Mechanism::ClaimGroup, "claim_group"},
      {Mechanism::ClaimMajority, "claim_majority"},
      {Mechanism::Fencing, "fencing"},
      {Mechanism::LeavingMarks, "leaving_marks"},
      {Mechanism::Drain, "drain"},
      {Mechanism::BundleMonotonicity, "bundle_monotonicity"},
      {Mechanism::BundleCompareAndSet, "bundle_compare_and_set"},
      {Mechanism::BundleFromPeers, "bundle_from_peers"},
      {Mechanism::CallerVersion, "caller_version"},
      {Mechanism::RunStateTruth, "run_state_truth"},
      {Mechanism::RelativeDeadlines, "relative_deadlines"},
      {Mechanism::RetryBudget, "retry_budget"},
      {Mechanism::WeightWaves, "weight_waves"},
      {Mechanism::CrashExchange, "crash_exchange"},
      {Mechanism::CrashSequence, "crash_sequence"},
      {Mechanism::CrashClearing, "crash_clearing"},
      {Mechanism::CrashIsolation, "crash_isolation"},
      {Mechanism::SignsOfLife, "signs_of_life"},
      {Mechanism::QuarantineRecord, "quarantine_record"},
      {Mechanism::SuspensionClock, "suspension_clock"},
      {Mechanism::StreamBuilds, "stream_builds"},
      {Mechanism::BuildRecord, "build_record"},
      {Mechanism::OriginRecord, "origin_record"},
      {Mechanism::BuildConfirmation, "build_confirmation"},
      {Mechanism::Relay, "relay"},
      {Mechanism::Pauses, "pauses"},
      {Mechanism::BrittleShares, "brittle_shares"},
      {Mechanism::StatedDepartures, "stated_departures"},
      {Mechanism::ListedDepartures, "listed_departures"},
  };
  return names;
}

std::optional<Mechanism> findMechanism(std::string_view name) {
  for (const MechanismName& entry : mechanismNames()) {
    if (name == entry.name) return entry.mechanism;
  }
  return std::nullopt;
}

}  // namespace crankspur::sim
