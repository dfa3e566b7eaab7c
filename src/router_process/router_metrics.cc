#include "router_process/router_metrics.h"

namespace crankspur {

RouterMetrics::RouterMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests(counter("requests_total", "Attempts submitted by sidecars.")),
      answers(counter("answers_total", "Attempts that ended with a whole answer.")),
      refusals(counter("refusals_total", "Attempts that ended with a refusal.")),
      dispatches(counter("dispatches_total", "Dispatches to back ends.")),
      dispatches_lost(counter("dispatches_lost_total", "Dispatches whose exchange broke.")),
      dispatches_refused(counter("dispatches_refused_total", "Dispatches that the back end refused.")),
      prompt_tokens(counter("prompt_tokens_total", "Prompt tokens of accepted dispatches.")),
      cached_tokens(counter("cached_tokens_total", "Prompt tokens served from engines' caches.")),
      cache_events(counter("cache_events_total", "Cache events received from engines.")),
      cache_gaps(counter("cache_gaps_total", "Gaps found in cache event streams.")),
      cache_digests(counter("cache_digests_total", "Cache digests fetched.")),
      load_digests(counter("load_digests_total", "Load digests received from routers.")),
      cache_summaries(counter("cache_summaries_total", "Cache summaries received from routers.")),
      snapshots(counter("snapshots_total", "Snapshots published to traffic threads.")),
      bundles_taken(counter("bundles_taken_total", "Bundles accepted as newer.")),
      bundles_refused(counter("bundles_refused_total", "Bundles that did not verify or parse.")),
      group_claims(counter("group_claims_total", "Claims asked of the claim group.")),
      claims_without_table(counter("claims_without_table_total",
                                   "Claims that the claim group granted while the table gave no answer.")),
      control_bytes_sent(gauge("control_sent_bytes", "Bytes of control messages sent to routers.")),
      control_bytes_received(gauge("control_received_bytes", "Bytes of control messages from routers.")),
      bundle_version(gauge("bundle_version", "Version of the bundle in force.")),
      in_flight(gauge("requests_in_flight", "Attempts not yet ended.")),
      sidecars(gauge("sidecars", "Connected sidecars.")),
      router_connections(gauge("router_connections", "Open connections with routers.")),
      members(gauge("members", "Routers that are not dead, this one included.")),
      engines(gauge("engines", "Engines in view.")),
      claim_epoch(gauge("claim_epoch", "Epoch of the claim group as known here; 0 without a group.")),
      claim_votes(gauge("claim_votes", "Claims held here as a member of the claim group.")) {}

prometheus::Counter& RouterMetrics::counter(const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name("crankspur_router_" + name).Help(help).Register(*registry_).Add({});
}

prometheus::Gauge& RouterMetrics::gauge(const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name("crankspur_router_" + name).Help(help).Register(*registry_).Add({});
}

}  // namespace crankspur
