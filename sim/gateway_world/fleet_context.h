#pragma once
/// @file State shared by all parts of a simulated fleet.

#include <set>

#include "sim/gateway_world/fleet_site.h"
#include "sim/gateway_world/records.h"
#include "sim/kernel/network.h"
#include "sim/kernel/trace.h"
#include "sim/world/mechanism.h"

namespace crankspur::gateway_sim {

/// Probabilities that a datagram between gateways is lost or duplicated.
struct DatagramFaults {
  double loss = 0;
  double duplication = 0;
};

/// See the file comment.
struct FleetContext {
  FleetContext(std::uint64_t seed, const sim::RemovedMechanisms& without, bool keep_trace_lines)
      : network(queue, {}, seed), random(seed + 1), removed(without), trace(queue, keep_trace_lines) {}

  bool has(sim::Mechanism mechanism) const { return !removed.contains(mechanism); }

  sim::EventQueue queue;
  sim::Network network;
  RandomSource random;
  sim::RemovedMechanisms removed;
  sim::Trace trace;
  FleetSite site;
  DatagramFaults datagrams;
  Records records;
};

}  // namespace crankspur::gateway_sim
