#pragma once
/// @file Safety mechanisms of the product that a simulation run can disable, to demonstrate that a checker
/// detects the resulting violation. The simulation's adapters disable them; the product has no such switch.

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crankspur::sim {

/// A mechanism that a run can disable.
enum class Mechanism {
  IncarnationCheck,     ///< Requests name the expected incarnation; other incarnations refuse them.
  TenantSalt,           ///< Cache entries are scoped to tenant, adapter and weights.
  WeightsCheck,         ///< Requests name the expected weights; engines with others refuse them.
  ContiguousDelivery,   ///< The sidecar forwards contiguous text only.
  EndCheck,             ///< The sidecar verifies token count and checksum before it reports an end.
  AttemptCheck,         ///< The sidecar discards messages of earlier attempts.
  RequestCheck,         ///< The sidecar matches responses to requests by request ID.
  Claim,                ///< Non-repeatable operations are claimed before dispatch.
  ClaimReadBack,        ///< A claim write without a response is read back.
  ClaimGroup,           ///< A group of routers decides claims, also while the table is unavailable.
  ClaimMajority,        ///< A claim group grants a claim by a majority of member votes.
  Fencing,              ///< Engines refuse orders with a lower fencing token.
  LeavingMarks,         ///< The leaving state of back ends is spread by gossip.
  Drain,                ///< A planned stop waits for requests in flight.
  BundleMonotonicity,   ///< The applied bundle version never decreases.
  BundleCompareAndSet,  ///< A bundle is accepted by compare-and-set on the row version.
  BundleFromPeers,      ///< Sidecars and routers send each other newer bundles.
  CallerVersion,        ///< A router updates to the caller's bundle version before it decides.
  RunStateTruth,        ///< "Not run" is reported only when it is certain.
  RelativeDeadlines,    ///< Deadlines are sent as remaining time, not as local clock times.
  RetryBudget,          ///< Retries of each tenant are bounded.
  WeightWaves,          ///< The number of engines that load weights concurrently is bounded.
  CrashExchange,        ///< Gateways exchange which requests crash engines.
  CrashSequence,        ///< Only consecutive crashes count against a request.
  CrashClearing,        ///< A complete response clears a suspected request.
  CrashIsolation,       ///< Suspected requests do not share an engine with each other.
  SignsOfLife,          ///< A responding engine is not counted as crashed.
  QuarantineRecord,     ///< Quarantined requests are persisted in the platform's store.
  SuspensionClock,      ///< The product's clock includes time spent suspended.
  StreamBuilds,         ///< A stream goes on only at back ends of the build that began it.
  BuildRecord,          ///< The builds that serve are persisted in the platform's store.
  BuildConfirmation,    ///< The builds that serve are read before a stream of unknown origin goes on.
  OriginRecord,         ///< The builds that began streams are persisted in the platform's store.
  Relay,                ///< A gateway that reaches too few back ends relays requests to another one.
  Pauses,               ///< A back end that asked for a pause gets no requests until it ends.
  BrittleShares,        ///< A brittle back end gets only a share of its places from each gateway.
  StatedDepartures,     ///< A back end that stated in a response that it leaves gets no new work.
  ListedDepartures,     ///< A back end that the platform lists as leaving, or no longer, gets no new work.
};

/// A mechanism and its name for the --without option.
struct MechanismName {
  Mechanism mechanism;
  const char* name;
};

/// @return all mechanisms with their names.
const std::vector<MechanismName>& mechanismNames();
/// @return the mechanism of that name, if any.
std::optional<Mechanism> findMechanism(std::string_view name);

/// Mechanisms disabled in a run.
using RemovedMechanisms = std::set<Mechanism>;

}  // namespace crankspur::sim
