#include "gateway_process/gateway_metrics.h"

namespace crankspur::gateway {
namespace {

constexpr char kPrefix[] = "crankspur_gateway_";
/// Number of routes with a label of their own. Further routes share the label "other", since a configuration
/// may contain thousands.
constexpr std::size_t kMaxLabelValues = 32;

prometheus::Histogram::BucketBoundaries secondsBuckets() {
  return {0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10, 20};
}

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const std::string& name,
                                                  const std::string& help) {
  return prometheus::BuildCounter().Name(kPrefix + name).Help(help).Register(registry);
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildHistogram()
      .Name(kPrefix + name)
      .Help(help)
      .Register(registry)
      .Add({}, secondsBuckets());
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(counters(*registry_, "requests_total", "Requests that ended, by route, outcome and cause.")),
      refusals_(counters(*registry_, "refusals_total", "Requests answered as not run, by cause.")),
      over_quota_(counters(*registry_, "over_quota_total", "Requests rejected over quota, by tenant.")),
      moves_(counters(*registry_, "moves_total", "Back ends that did not serve a request, by cause.")),
      repeat_decisions_(counters(*registry_, "repeat_decisions_total",
                                 "Requests that a back end did not serve, by whether they are repeated.")),
      backends_(prometheus::BuildGauge()
                    .Name(std::string(kPrefix) + "backends")
                    .Help("Back ends in view, by state.")
                    .Register(*registry_)),
      backend_limits_(prometheus::BuildGauge()
                          .Name(std::string(kPrefix) + "backend_limit_per_second")
                          .Help("Requests per second that a back end named for all gateways together.")
                          .Register(*registry_)),
      limited_requests_(
          counters(*registry_, "backend_limit_requests_total", "Requests sent while a limit was in force.")),
      stream_origins_(counters(*registry_, "stream_origins_total",
                               "Decisions where a resumed stream may go on, by state and source.")),
      admitted_(counter("admitted_total", "Requests with a route and a valid key.")),
      dispatches_(counter("dispatches_total", "Requests sent to back ends.")),
      retries_(counter("repeats_total", "Of these, beyond the first of a request.")),
      waits_(counter("waits_total", "Requests that waited for a place.")),
      backends_distrusted_(
          counter("backends_distrusted_total", "Times that failures took a back end out of use.")),
      suspected_(counter("requests_suspected_total", "Back ends that broke off, by request that they had.")),
      suspicions_withdrawn_(counter("suspicions_withdrawn_total",
                                    "Times that a whole answer or a back end that lives refuted that.")),
      unobserved_ends_(counters(*registry_, "unobserved_ends_total",
                                "Ends that may hide a crash of the back end, by cause.")),
      invalid_limits_(
          counter("backend_limits_invalid_total", "Limits of back ends that are no positive number.")),
      backends_paused_(counter("backend_pauses_total",
                               "Responses in which a back end asked for no requests for some time.")),
      invalid_pauses_(
          counter("backend_pauses_invalid_total", "Pauses of back ends that are no number of seconds.")),
      departures_stated_(
          counter("backend_departures_stated_total", "Back ends that stated in a response that they leave.")),
      brittle_backends_(counter("backends_brittle_total",
                                "Times that a back end began to state that rejections make it fall over.")),
      sent_while_paused_(
          counter("sent_while_paused_total", "Requests sent to a back end that had asked for none.")),
      sent_after_departure_(counter("sent_after_departure_total",
                                    "Requests sent to a back end that had stated that it leaves.")),
      relayed_(counter("relayed_total", "Requests relayed to another gateway, by attempt.")),
      prompt_tokens_(counter("prompt_tokens_total", "Prompt tokens of dispatches.")),
      uncached_tokens_(counter("uncached_tokens_total", "Of these, expected to be read by the engine.")),
      recomputed_shared_tokens_(counter("shared_tokens_again_total",
                                        "Shared tokens expected to be read though an engine holds them.")),
      imports_(counter("imports_total", "Dispatches that import cached parts from another engine.")),
      time_to_first_byte_(
          histogram(*registry_, "first_byte_seconds", "From the request read to its first byte.")),
      response_time_(
          histogram(*registry_, "answer_seconds", "From the request read to the end of a whole answer.")),
      time_to_refusal_(
          histogram(*registry_, "refused_after_seconds", "From the request read to its refusal.")),
      cache_age_(
          histogram(*registry_, "cache_age_seconds", "Age of the cache news that a placement rests on.")),
      list_age_at_placement_(histogram(*registry_, "placement_list_age_seconds",
                                       "Age of the list of back ends that a placement rests on.")),
      in_flight(gauge("requests_in_flight", "Requests whose answer has not ended.")),
      repeat_budget_left(
          gauge("repeat_budget_left", "Repeats still allowed, as of the last back end that failed.")),
      configuration_version(gauge("configuration_version", "Version of the configuration in force.")),
      members(gauge("members", "Gateways that are not dead, this one included.")),
      knowledge_age(
          gauge("knowledge_age_seconds", "Since the platform confirmed the configuration and the keys.")),
      list_age(gauge("list_age_seconds", "Since the platform confirmed the list of back ends.")),
      platform_reachable(gauge("platform_reachable", "1 while the platform's store answers.")),
      holds_order_lease(gauge("holds_order_lease", "1 while this gateway gives the orders.")),
      serves(gauge("serves", "1 while clients are sent to this gateway.")),
      serving(gauge("serving_gateways", "Gateways that clients are sent to, as this one sees it.")),
      orders(gauge("orders", "Orders sent since the start.")),
      held_bytes(
          gauge("held_bytes",
                "Bytes held for clients: heads, bodies, and responses that are incomplete or not read.")),
      held_bytes_limit(gauge("held_bytes_limit", "Limit of these; requests beyond it wait or are rejected.")),
      call_bytes(gauge("call_bytes", "Bytes of incomplete responses to calls of the control thread.")),
      call_bytes_limit(gauge("call_bytes_limit", "Limit of these; calls that need more fail.")),
      resident_bytes(prometheus::BuildGauge()
                         .Name("process_resident_memory_bytes")
                         .Help("Resident memory of the process.")
                         .Register(*registry_)
                         .Add({})),
      log_lines(gauge("log_lines", "Log lines accepted since the start.")),
      log_routine_dropped(gauge("log_routine_lines_dropped", "Lines on requests that went well, dropped.")),
      log_notable_dropped(gauge("log_notable_lines_dropped", "Lines on failures and changes, dropped.")) {}

prometheus::Counter& GatewayMetrics::counter(const std::string& name, const std::string& help) {
  return counters(*registry_, name, help).Add({});
}

prometheus::Gauge& GatewayMetrics::gauge(const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(kPrefix + name).Help(help).Register(*registry_).Add({});
}

std::string GatewayMetrics::label(LabelValues& known, std::string_view value) {
  if (value.empty()) return "none";
  if (known.contains(value)) return std::string(value);
  if (known.size() >= kMaxLabelValues) return "other";
  return *known.emplace(value).first;
}

void GatewayMetrics::onAdmitted(const RequestAdmitted&) {
  admitted_.Increment();
}

void GatewayMetrics::onOriginDecided(const OriginDecided& record) {
  const std::string state(record.state);
  stream_origins_.Add({{"state", state}, {"source", std::string(record.source)}}).Increment();
}

void GatewayMetrics::onPlaced(const RequestPlaced& record) {
  dispatches_.Increment();
  if (record.backend_paused > Duration(0)) sent_while_paused_.Increment();
  if (record.backend_leaving) sent_after_departure_.Increment();
  if (record.dispatch > 1) retries_.Increment();
  if (record.backend_limit > 0) {
    limited_requests_.Add({{"backend", std::string(record.backend)}}).Increment();
  }
  prompt_tokens_.Increment(record.prompt_tokens);
  uncached_tokens_.Increment(record.uncached_tokens);
  recomputed_shared_tokens_.Increment(record.shared_tokens_again);
  if (!record.import_from.empty()) imports_.Increment();
  if (record.cache_age) cache_age_.Observe(toSeconds(*record.cache_age));
  list_age_at_placement_.Observe(toSeconds(record.list_age));
}

void GatewayMetrics::onWaiting(const RequestWaiting&) {
  waits_.Increment();
}

void GatewayMetrics::onMoved(const RequestMoved& record) {
  moves_.Add({{"cause", std::string(nameOf(record.cause))}}).Increment();
  repeat_decisions_.Add({{"decision", std::string(nameOf(record.repeat))}}).Increment();
  repeat_budget_left.Set(record.budget_left);
}

void GatewayMetrics::onEnded(const RequestEnded& record) {
  requests_
      .Add({{"route", label(labeled_routes_, record.route)},
            {"outcome", std::string(nameOf(record.outcome))},
            {"cause", std::string(nameOf(record.cause))}})
      .Increment();
  if (record.outcome == RequestOutcome::refused) {
    refusals_.Add({{"cause", std::string(nameOf(record.cause))}}).Increment();
    time_to_refusal_.Observe(toSeconds(record.total));
  }
  if (record.first_byte) time_to_first_byte_.Observe(toSeconds(*record.first_byte));
  if (record.outcome == RequestOutcome::answered) response_time_.Observe(toSeconds(record.total));
}

void GatewayMetrics::onOverQuota(const RequestOverQuota& record) {
  over_quota_.Add({{"tenant", label(labeled_tenants_, record.tenant)}}).Increment();
}

void GatewayMetrics::onDistrusted(const BackendDistrusted&) {
  backends_distrusted_.Increment();
}

void GatewayMetrics::onSuspected(const RequestSuspected&) {
  suspected_.Increment();
}

void GatewayMetrics::onSuspicionWithdrawn(const SuspicionWithdrawn&) {
  suspicions_withdrawn_.Increment();
}

void GatewayMetrics::onEndUnobserved(const EndUnobserved& record) {
  unobserved_ends_.Add({{"cause", std::string(nameOf(record.cause))}}).Increment();
}

/// The series of a back end whose limit has ended is removed, since back ends come and go.
void GatewayMetrics::onBackendLimitChanged(const BackendLimitChanged& record) {
  prometheus::Gauge& limit = backend_limits_.Add({{"backend", std::string(record.backend)}});
  limit.Set(record.limit);
  if (record.limit > 0) return;
  backend_limits_.Remove(&limit);
  limited_requests_.Remove(&limited_requests_.Add({{"backend", std::string(record.backend)}}));
}

void GatewayMetrics::onBackendLimitInvalid(const BackendLimitInvalid&) {
  invalid_limits_.Increment();
}

void GatewayMetrics::onBackendPaused(const BackendPaused&) {
  backends_paused_.Increment();
}

void GatewayMetrics::onBackendPauseInvalid(const BackendPauseInvalid&) {
  invalid_pauses_.Increment();
}

void GatewayMetrics::onBackendLeaving(const BackendLeaving&) {
  departures_stated_.Increment();
}

void GatewayMetrics::onBackendBrittle(const BackendBrittle& record) {
  if (record.brittle) brittle_backends_.Increment();
}

void GatewayMetrics::onRelayed(const RequestRelayed&) {
  relayed_.Increment();
}

void GatewayMetrics::setBackends(std::string_view state, std::size_t count) {
  backends_.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

}  // namespace crankspur::gateway
