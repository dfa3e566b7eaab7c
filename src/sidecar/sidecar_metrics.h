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

/// Metrics of the sidecar process.
class SidecarMetrics {
public:
  SidecarMetrics();
  /// Counts an ended caller request. @param outcome "ok" or an error name.
  void countRequest(const std::string& outcome);
  void observeFirstToken(Duration time);
  void countSubmit(bool resubmission);
  void countTokens(std::uint64_t completion, std::uint64_t prompt, std::uint64_t cached);
  void setInFlight(std::size_t requests);
  void setRouters(std::size_t routers);
  void setBundleVersion(std::uint64_t version);
  /// @return the registry exposed by /metrics.
  std::shared_ptr<prometheus::Registry> registry() const { return registry_; }

private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Histogram& first_token_;
  prometheus::Counter& submits_;
  prometheus::Counter& resubmissions_;
  prometheus::Counter& completion_tokens_;
  prometheus::Counter& prompt_tokens_;
  prometheus::Counter& cached_tokens_;
  prometheus::Gauge& in_flight_;
  prometheus::Gauge& routers_;
  prometheus::Gauge& bundle_version_;
};

}  // namespace crankspur
