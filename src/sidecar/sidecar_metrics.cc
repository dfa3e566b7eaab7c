#include "sidecar/sidecar_metrics.h"

namespace crankspur {

namespace {

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry, const char* name,
                                                       const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Counter& counter(prometheus::Registry& registry, const char* name, const char* help) {
  return counterFamily(registry, name, help).Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Histogram& firstTokenHistogram(prometheus::Registry& registry) {
  const prometheus::Histogram::BucketBoundaries bounds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                          0.2,   0.33,  0.5,   1,    2,    5,    10};
  return prometheus::BuildHistogram()
      .Name("crankspur_sidecar_first_token_seconds")
      .Help("Time from a request's arrival to its first text")
      .Register(registry)
      .Add({}, bounds);
}

}  // namespace

SidecarMetrics::SidecarMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(
          counterFamily(*registry_, "crankspur_sidecar_requests_total", "Caller requests ended, by outcome")),
      first_token_(firstTokenHistogram(*registry_)),
      submits_(counter(*registry_, "crankspur_sidecar_submits_total", "Attempts submitted to routers")),
      resubmissions_(counter(*registry_, "crankspur_sidecar_resubmissions_total",
                             "Attempts submitted after an earlier one of the same request")),
      completion_tokens_(
          counter(*registry_, "crankspur_sidecar_answer_tokens_total", "Tokens of whole answers")),
      prompt_tokens_(
          counter(*registry_, "crankspur_sidecar_prompt_tokens_total", "Tokens of prompts answered")),
      cached_tokens_(counter(*registry_, "crankspur_sidecar_cached_tokens_total",
                             "Prompt tokens that an engine's prefix cache served")),
      in_flight_(gauge(*registry_, "crankspur_sidecar_requests_in_flight", "Caller requests not yet ended")),
      routers_(gauge(*registry_, "crankspur_sidecar_routers", "Routers connected and usable")),
      bundle_version_(
          gauge(*registry_, "crankspur_sidecar_bundle_version", "Version of the bundle in force")) {}

void SidecarMetrics::countRequest(const std::string& outcome) {
  requests_.Add({{"outcome", outcome}}).Increment();
}

void SidecarMetrics::observeFirstToken(Duration time) {
  first_token_.Observe(toSeconds(time));
}

void SidecarMetrics::countSubmit(bool resubmission) {
  submits_.Increment();
  if (resubmission) resubmissions_.Increment();
}

void SidecarMetrics::countTokens(std::uint64_t completion, std::uint64_t prompt, std::uint64_t cached) {
  completion_tokens_.Increment(static_cast<double>(completion));
  prompt_tokens_.Increment(static_cast<double>(prompt));
  cached_tokens_.Increment(static_cast<double>(cached));
}

void SidecarMetrics::setInFlight(std::size_t requests) {
  in_flight_.Set(static_cast<double>(requests));
}

void SidecarMetrics::setRouters(std::size_t routers) {
  routers_.Set(static_cast<double>(routers));
}

void SidecarMetrics::setBundleVersion(std::uint64_t version) {
  bundle_version_.Set(static_cast<double>(version));
}

}  // namespace crankspur
