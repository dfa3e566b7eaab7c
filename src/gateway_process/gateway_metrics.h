#pragma once
/// @file Prometheus metrics of one gateway. The observer functions run on the traffic thread; gauges may be
/// set from any thread.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "gateway/request_observer.h"

namespace crankspur::gateway {

/// Registers each metric as crankspur_gateway_NAME and updates it from the decisions that it observes. The
/// constructor contains the help text of each metric.
class GatewayMetrics : public RequestObserver {
private:
  // Declared before the metrics because their initializers register them here.
  std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
  prometheus::Counter& counter(const std::string& name, const std::string& help);
  prometheus::Gauge& gauge(const std::string& name, const std::string& help);

public:
  GatewayMetrics();
  std::shared_ptr<prometheus::Registry> registry() const { return registry_; }

  void onAdmitted(const RequestAdmitted& record) override;
  void onOriginDecided(const OriginDecided& record) override;
  void onPlaced(const RequestPlaced& record) override;
  void onWaiting(const RequestWaiting& record) override;
  void onMoved(const RequestMoved& record) override;
  void onEnded(const RequestEnded& record) override;
  void onOverQuota(const RequestOverQuota& record) override;
  void onDistrusted(const BackendDistrusted& record) override;
  void onSuspected(const RequestSuspected& record) override;
  void onSuspicionWithdrawn(const SuspicionWithdrawn& record) override;
  void onEndUnobserved(const EndUnobserved& record) override;
  void onBackendLimitChanged(const BackendLimitChanged& record) override;
  void onBackendLimitInvalid(const BackendLimitInvalid& record) override;
  void onRelayed(const RequestRelayed& record) override;
  void onBackendPaused(const BackendPaused& record) override;
  void onBackendPauseInvalid(const BackendPauseInvalid& record) override;
  void onBackendLeaving(const BackendLeaving& record) override;
  void onBackendBrittle(const BackendBrittle& record) override;

  /// Sets the number of back ends in `state` in the last published list.
  void setBackends(std::string_view state, std::size_t count);

private:
  using LabelValues = std::set<std::string, std::less<>>;
  /// @return value of a label: "other" for values beyond the first kMaxLabelValues.
  static std::string label(LabelValues& known, std::string_view value);

  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& over_quota_;
  prometheus::Family<prometheus::Counter>& moves_;
  prometheus::Family<prometheus::Counter>& repeat_decisions_;
  prometheus::Family<prometheus::Gauge>& backends_;
  prometheus::Family<prometheus::Gauge>& backend_limits_;
  prometheus::Family<prometheus::Counter>& limited_requests_;
  prometheus::Family<prometheus::Counter>& stream_origins_;
  prometheus::Counter& admitted_;
  prometheus::Counter& dispatches_;
  prometheus::Counter& retries_;
  prometheus::Counter& waits_;
  prometheus::Counter& backends_distrusted_;
  prometheus::Counter& suspected_;
  prometheus::Counter& suspicions_withdrawn_;
  prometheus::Family<prometheus::Counter>& unobserved_ends_;
  prometheus::Counter& invalid_limits_;
  prometheus::Counter& backends_paused_;
  prometheus::Counter& invalid_pauses_;
  prometheus::Counter& departures_stated_;
  prometheus::Counter& brittle_backends_;
  prometheus::Counter& sent_while_paused_;
  prometheus::Counter& sent_after_departure_;
  prometheus::Counter& relayed_;
  prometheus::Counter& prompt_tokens_;
  prometheus::Counter& uncached_tokens_;
  prometheus::Counter& recomputed_shared_tokens_;
  prometheus::Counter& imports_;
  prometheus::Histogram& time_to_first_byte_;
  prometheus::Histogram& response_time_;
  prometheus::Histogram& time_to_refusal_;
  prometheus::Histogram& cache_age_;
  prometheus::Histogram& list_age_at_placement_;
  LabelValues labeled_routes_;
  LabelValues labeled_tenants_;

public:
  prometheus::Gauge& in_flight;
  prometheus::Gauge& repeat_budget_left;
  prometheus::Gauge& configuration_version;
  prometheus::Gauge& members;
  prometheus::Gauge& knowledge_age;
  prometheus::Gauge& list_age;
  prometheus::Gauge& platform_reachable;
  prometheus::Gauge& holds_order_lease;
  prometheus::Gauge& serves;
  prometheus::Gauge& serving;
  prometheus::Gauge& orders;
  prometheus::Gauge& held_bytes;
  prometheus::Gauge& held_bytes_limit;
  prometheus::Gauge& call_bytes;
  prometheus::Gauge& call_bytes_limit;
  prometheus::Gauge& resident_bytes;
  prometheus::Gauge& log_lines;
  prometheus::Gauge& log_routine_dropped;
  prometheus::Gauge& log_notable_dropped;
};

}  // namespace crankspur::gateway
