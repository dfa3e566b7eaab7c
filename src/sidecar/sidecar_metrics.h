#pragma once
/// @file Prometheus metrics of the sidecar. Thread-safe.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace crankspur {

/// The metrics.
class SidecarMetrics {
public:
  SidecarMetrics();
  /// A caller's request ended: "ok" or an error name.
  void countRequest(const std::string& outcome);
  void observeFirstToken(Duration time);
  void countSubmit(bool resubmission);
  void countTokens(std::uint64_t answer, std::uint64_t prompt, std::uint64_t cached);
  void setInFlight(std::size_t requests);
  void setRouters(std::size_t routers);
  void setBundleVersion(std::uint64_t version);
  /// @return the registry that /metrics shows.
  std::shared_ptr<prometheus::Registry> registry() const { return registry_; }

private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Histogram& first_token_;
  prometheus::Counter& submits_;
  prometheus::Counter& resubmissions_;
  prometheus::Counter& answer_tokens_;
  prometheus::Counter& prompt_tokens_;
  prometheus::Counter& cached_tokens_;
  prometheus::Gauge& in_flight_;
  prometheus::Gauge& routers_;
  prometheus::Gauge& bundle_version_;
};

}  // namespace crankspur
