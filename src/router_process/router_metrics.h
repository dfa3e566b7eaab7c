#pragma once
/// @file Metrics of the router process. Counters may be incremented from any thread; /metrics exports the
/// registry.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace crankspur {

/// The metrics of a router, each registered as crankspur_router_NAME.
class RouterMetrics {
private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Counter& counter(const std::string& name, const std::string& help);
  prometheus::Gauge& gauge(const std::string& name, const std::string& help);

public:
  RouterMetrics();
  std::shared_ptr<prometheus::Registry> registry() const { return registry_; }

  prometheus::Counter& requests;
  prometheus::Counter& answers;
  prometheus::Counter& refusals;
  prometheus::Counter& dispatches;
  prometheus::Counter& dispatches_lost;
  prometheus::Counter& dispatches_refused;
  prometheus::Counter& prompt_tokens;
  prometheus::Counter& cached_tokens;
  prometheus::Counter& cache_events;
  prometheus::Counter& cache_gaps;
  prometheus::Counter& cache_digests;
  prometheus::Counter& load_digests;
  prometheus::Counter& cache_summaries;
  prometheus::Counter& snapshots;
  prometheus::Counter& bundles_taken;
  prometheus::Counter& bundles_refused;
  prometheus::Counter& group_claims;
  prometheus::Counter& claims_without_table;
  prometheus::Gauge& control_bytes_sent;
  prometheus::Gauge& control_bytes_received;
  prometheus::Gauge& bundle_version;
  prometheus::Gauge& in_flight;
  prometheus::Gauge& sidecars;
  prometheus::Gauge& router_connections;
  prometheus::Gauge& members;
  prometheus::Gauge& engines;
  prometheus::Gauge& claim_epoch;
  prometheus::Gauge& claim_votes;
};

}  // namespace crankspur
