#include "gateway_process/request_log.h"

#include <fmt/format.h>

#include <optional>
#include <string>

namespace crankspur::gateway {
namespace {

std::int64_t milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string millisecondsOrNone(const std::optional<Duration>& duration) {
  return duration ? std::to_string(milliseconds(*duration)) : "none";
}

std::string_view framingOrNone(const std::optional<http::BodyFraming>& framing) {
  return framing ? http::nameOf(*framing) : "none";
}

std::string numberOrNone(const std::optional<std::uint64_t>& number) {
  return number ? std::to_string(*number) : "none";
}

EventId eventOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::answered:
      return EventId::GatewayRequestAnswered;
    case RequestOutcome::refused:
    case RequestOutcome::rejected:
      return EventId::GatewayRequestRefused;
    case RequestOutcome::abandoned:
      return EventId::GatewayRequestAbandoned;
    case RequestOutcome::error_passed:
    case RequestOutcome::failed:
    case RequestOutcome::cut:
      return EventId::GatewayRequestFailed;
  }
  return EventId::GatewayRequestFailed;
}

}  // namespace

void RequestLog::onAdmitted(const RequestAdmitted& record) {
  log_.write(EventId::GatewayRequestAdmitted, {{"request_id", record.request_id},
                                               {"route", record.route},
                                               {"pool", record.pool},
                                               {"tenant", record.tenant},
                                               {"model", record.model},
                                               {"fingerprint", toHex(record.fingerprint)},
                                               {"configuration", record.configuration_version},
                                               {"keys_age_ms", millisecondsOrNone(record.keys_age)},
                                               {"priority", record.priority},
                                               {"prompt_tokens", record.prompt_tokens},
                                               {"resumes", record.resumed_attempt},
                                               {"resume_after", numberOrNone(record.resume_after)},
                                               {"time_left_ms", milliseconds(record.time_left)}});
}

void RequestLog::onOriginDecided(const OriginDecided& record) {
  log_.write(EventId::StreamOriginDecided, {{"request_id", record.request_id},
                                            {"resumes", record.resumed_attempt},
                                            {"pool", record.pool},
                                            {"state", record.state},
                                            {"source", record.source},
                                            {"build_id", fmt::format("{:x}", record.build)},
                                            {"builds_seen", record.builds_seen},
                                            {"unanswered", record.unanswered},
                                            {"waited_ms", milliseconds(record.waited)},
                                            {"list_age_ms", milliseconds(record.list_age)},
                                            {"gateway_age_ms", milliseconds(record.gateway_age)}});
}

void RequestLog::onPlaced(const RequestPlaced& record) {
  log_.write(EventId::GatewayRequestPlaced,
             {{"request_id", record.request_id},
              {"dispatch", record.dispatch},
              {"pool", record.pool},
              {"backend", record.backend},
              {"build", record.build},
              {"zone", record.zone},
              {"weights", numberOrNone(record.weights)},
              {"candidates", record.candidates},
              {"cost", fmt::format("{:.4f}", record.cost)},
              {"runner_up", record.runner_up},
              {"runner_up_cost", fmt::format("{:.4f}", record.runner_up_cost)},
              {"in_flight", record.in_flight},
              {"passed_over", record.passed_over},
              {"paused", record.paused},
              {"backend_limit", fmt::format("{:.2f}", record.backend_limit)},
              {"backend_paused_ms", milliseconds(record.backend_paused)},
              {"backend_leaving", record.backend_leaving},
              {"uncached_tokens", record.uncached_tokens},
              {"shared_part", fmt::format("{:x}", record.shared_part)},
              {"shared_tokens", record.shared_tokens},
              {"shared_tokens_again", record.shared_tokens_again},
              {"import_from", record.import_from},
              {"cache_age_ms", millisecondsOrNone(record.cache_age)},
              {"list_age_ms", milliseconds(record.list_age)},
              {"configuration", record.configuration_version},
              {"expected_first_byte_ms", milliseconds(record.expected_first_byte)},
              {"time_left_ms", milliseconds(record.time_left)}});
}

void RequestLog::onWaiting(const RequestWaiting& record) {
  log_.write(EventId::GatewayRequestWaiting, {{"request_id", record.request_id},
                                              {"route", record.route},
                                              {"pool", record.pool},
                                              {"cause", nameOf(record.cause)},
                                              {"out_of_reach", record.reach.out_of_reach},
                                              {"unanswered", record.reach.unanswered},
                                              {"listed", record.reach.listed},
                                              {"longest_ms", milliseconds(record.max_wait)}});
}

void RequestLog::onRelayed(const RequestRelayed& record) {
  log_.write(EventId::GatewayRequestRelayed, {{"request_id", record.request_id},
                                              {"pool", record.pool},
                                              {"gateway", record.gateway},
                                              {"cause", nameOf(record.cause)},
                                              {"out_of_reach", record.reach.out_of_reach},
                                              {"unanswered", record.reach.unanswered},
                                              {"listed", record.reach.listed},
                                              {"time_left_ms", milliseconds(record.time_left)}});
}

void RequestLog::onMoved(const RequestMoved& record) {
  log_.write(EventId::GatewayRequestMoved, {{"request_id", record.request_id},
                                            {"fingerprint", toHex(record.fingerprint)},
                                            {"backend", record.backend},
                                            {"cause", nameOf(record.cause)},
                                            {"status", record.status},
                                            {"after_ms", milliseconds(record.after)},
                                            {"goes_on", isRepeated(record.repeat)},
                                            {"repeat", nameOf(record.repeat)},
                                            {"resumes", record.resumes},
                                            {"back_ends", record.backends_reached},
                                            {"framing", framingOrNone(record.body.framing)},
                                            {"inside_event", record.body.inside_event},
                                            {"budget_left", fmt::format("{:.1f}", record.budget_left)},
                                            {"share_divisor", record.share_divisor}});
}

void RequestLog::onEnded(const RequestEnded& record) {
  log_.write(eventOf(record.outcome), {{"request_id", record.request_id},
                                       {"route", record.route},
                                       {"tenant", record.tenant},
                                       {"outcome", nameOf(record.outcome)},
                                       {"status", record.status},
                                       {"cause", nameOf(record.cause)},
                                       {"backend", record.backend},
                                       {"may_have_run", record.may_have_run},
                                       {"dispatches", record.dispatches},
                                       {"configuration", record.configuration_version},
                                       {"keys_age_ms", millisecondsOrNone(record.keys_age)},
                                       {"list_age_ms", milliseconds(record.list_age)},
                                       {"retry_after_ms", milliseconds(record.retry_after)},
                                       {"first_byte_ms", millisecondsOrNone(record.first_byte)},
                                       {"framing", framingOrNone(record.body.framing)},
                                       {"inside_event", record.body.inside_event},
                                       {"dropped_events", record.continuity.dropped_events},
                                       {"skipped_ids", record.continuity.skipped_ids},
                                       {"out_of_reach", record.reach.out_of_reach},
                                       {"unanswered", record.reach.unanswered},
                                       {"listed", record.reach.listed},
                                       {"total_ms", milliseconds(record.total)}});
}

void RequestLog::onOverQuota(const RequestOverQuota& record) {
  log_.write(EventId::GatewayRequestOverQuota,
             {{"request_id", record.request_id},
              {"tenant", record.tenant},
              {"units", fmt::format("{:.0f}", record.units)},
              {"limit_per_second", fmt::format("{:.0f}", record.quota.limit.per_second)},
              {"burst", fmt::format("{:.0f}", record.quota.limit.burst)},
              {"left", fmt::format("{:.0f}", record.quota.left)},
              {"asked_per_second", fmt::format("{:.0f}", record.quota.asked_per_second)},
              {"reachable_share", fmt::format("{:.2f}", record.quota.reachable_share)},
              {"oldest_report_ms", milliseconds(record.quota.oldest_report)}});
}

void RequestLog::onBackendLimitChanged(const BackendLimitChanged& record) {
  log_.write(EventId::GatewayBackendLimitChanged,
             {{"backend", record.backend},
              {"from_per_second", fmt::format("{:.2f}", record.previous)},
              {"to_per_second", fmt::format("{:.2f}", record.limit)},
              {"source", record.source},
              {"age_ms", milliseconds(record.age)},
              {"status", record.status}});
}

void RequestLog::onBackendLimitInvalid(const BackendLimitInvalid& record) {
  log_.write(EventId::GatewayBackendLimitInvalid, {{"backend", record.backend}, {"limit", record.text}});
}

void RequestLog::onBackendPaused(const BackendPaused& record) {
  log_.write(EventId::GatewayBackendPaused, {{"backend", record.backend},
                                             {"request_id", record.request_id},
                                             {"status", record.status},
                                             {"asked_ms", milliseconds(record.asked)},
                                             {"paused_ms", milliseconds(record.paused_for)},
                                             {"in_flight", record.in_flight}});
}

void RequestLog::onBackendPauseInvalid(const BackendPauseInvalid& record) {
  log_.write(EventId::GatewayBackendPauseInvalid, {{"backend", record.backend}, {"pause", record.text}});
}

void RequestLog::onBackendLeaving(const BackendLeaving& record) {
  log_.write(EventId::GatewayBackendLeaving, {{"backend", record.backend},
                                              {"request_id", record.request_id},
                                              {"status", record.status},
                                              {"listed_as_leaving", record.listed_as_leaving}});
}

void RequestLog::onBackendBrittle(const BackendBrittle& record) {
  log_.write(EventId::GatewayBackendBrittle, {{"backend", record.backend},
                                              {"request_id", record.request_id},
                                              {"status", record.status},
                                              {"brittle", record.brittle},
                                              {"tolerated_per_second", record.tolerated_rejections},
                                              {"in_flight", record.in_flight}});
}

void RequestLog::onDistrusted(const BackendDistrusted& record) {
  log_.write(EventId::GatewayBackendDistrusted, {{"backend", record.backend},
                                                 {"cause", nameOf(record.cause)},
                                                 {"for_ms", milliseconds(record.ejected_for)}});
}

void RequestLog::onSuspected(const RequestSuspected& record) {
  log_.write(EventId::GatewayRequestSuspected, {{"request_id", record.request_id},
                                                {"fingerprint", toHex(record.fingerprint)},
                                                {"backend", record.backend},
                                                {"after_ms", milliseconds(record.after)},
                                                {"parts", record.parts},
                                                {"body_began", record.body_began},
                                                {"crashes", record.crashes},
                                                {"crashes_in_all", record.crashes_in_all},
                                                {"suspicion", nameOf(record.suspicion)},
                                                {"quarantine_ms", milliseconds(record.quarantine)}});
}

void RequestLog::onSuspicionWithdrawn(const SuspicionWithdrawn& record) {
  log_.write(EventId::GatewaySuspicionWithdrawn,
             {{"request_id", record.request_id},
              {"fingerprint", toHex(record.fingerprint)},
              {"backend", record.backend},
              {"cause", record.backend_live ? "back_end_lives" : "whole_answer"},
              {"status", record.status}});
}

}  // namespace crankspur::gateway
