#include "router_process/router_admin.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <utility>

namespace crankspur {

namespace {

namespace json = boost::json;

constexpr Duration kGaugeInterval = std::chrono::seconds(1);

json::object describeEngine(const EngineView& engine) {
  json::array models;
  for (const LoadedModel& model : engine.models) {
    models.push_back(json::object{{"model", model.model}, {"weights_version", model.weights_version}});
  }
  return {{"name", engine.name},
          {"address", engine.address},
          {"zone", engine.zone},
          {"pool", engine.pool},
          {"incarnation", engine.incarnation},
          {"state", engineStateName(engine.state)},
          {"queued_tokens", engine.load.queued_tokens},
          {"running_requests", engine.load.running_requests},
          {"models", std::move(models)}};
}

json::array describeEngines(const std::vector<EngineView>& engines) {
  json::array list;
  for (const EngineView& engine : engines) list.push_back(describeEngine(engine));
  return list;
}

json::array describeMembers(const std::vector<MemberRecord>& members) {
  json::array list;
  for (const MemberRecord& member : members) {
    list.push_back(json::object{{"name", member.name},
                                {"address", member.address},
                                {"zone", member.zone},
                                {"region", member.region},
                                {"incarnation", member.incarnation},
                                {"state", memberStateName(member.state)},
                                {"bundle_version", member.bundle_version}});
  }
  return list;
}

/// @return where claims are currently decided.
const char* claimMode(const ControlStatus& status) {
  if (status.claim_group.row.epoch == 0) return "table";
  return status.table_reachable ? "group_and_table" : "group";
}

json::object describeClaims(const ControlStatus& status) {
  json::array members;
  for (const ClaimGroupMember& member : status.claim_group.row.members) members.emplace_back(member.address);
  return {{"mode", claimMode(status)},
          {"epoch", status.claim_group.row.epoch},
          {"members", std::move(members)},
          {"voting", status.claim_group.voting},
          {"claims_held", status.claim_group.votes},
          {"covered_seconds", toSeconds(status.claim_group.covered)},
          {"epochs_begun", status.claim_group.epochs_begun}};
}

json::object describeCandidate(const CandidateEstimate& candidate, const std::string& engine) {
  return {{"engine_slot", candidate.engine},
          {"engine", engine},
          {"cached_blocks", candidate.cached_blocks},
          {"queue_ms", toMilliseconds(candidate.queue)},
          {"prefill_ms", toMilliseconds(candidate.prefill)},
          {"import_ms", toMilliseconds(candidate.import)},
          {"cost", candidate.cost}};
}

std::string describeDecision(const DecisionRecord& record, const std::string& router,
                             const ControlThread& control) {
  json::array candidates;
  for (const CandidateEstimate& candidate : record.decision.candidates) {
    candidates.push_back(describeCandidate(candidate, control.engineName(candidate.engine)));
  }
  return json::serialize(
      json::object{{"request_id", record.request_id},
                   {"attempt", record.attempt},
                   {"router", router},
                   {"tenant", record.tenant},
                   {"model", record.model},
                   {"bundle_version", record.bundle_version},
                   {"engine", record.engine_name},
                   {"engine_incarnation", record.decision.incarnation},
                   {"weights_version", record.decision.weights_version},
                   {"expected_cached_blocks", record.decision.cached_blocks},
                   {"expected_first_token_ms", toMilliseconds(record.decision.expected_first_token)},
                   {"import_from", record.decision.import_from},
                   {"import_blocks", record.decision.import_blocks},
                   {"outcome", record.outcome},
                   {"prompt_tokens", record.prompt_tokens},
                   {"cached_tokens", record.cached_tokens},
                   {"time_to_first_token_ms", toMilliseconds(record.time_to_first_token)},
                   {"candidates", std::move(candidates)}});
}

http::Response errorResponse(int status, const std::string& code, const std::string& message) {
  return http::jsonResponse(status,
                            json::serialize(json::object{{"error", {{"code", code}, {"message", message}}}}));
}

}  // namespace

RouterAdmin::RouterAdmin(boost::asio::io_context& context, const RouterSettings& settings,
                         ControlThread& control, PeerThread& peer_thread, ControlThread::Shards& shards,
                         RouterMetrics& metrics)
    : context_(context),
      settings_(settings),
      control_(control),
      peer_thread_(peer_thread),
      shards_(shards),
      metrics_(metrics),
      gauge_timer_(context) {}

std::error_code RouterAdmin::listen(const std::string& address) {
  endpoints_ =
      std::make_shared<http::AdminEndpoints>(metrics_.registry(), [this] { return unhealthyReason(); });
  endpoints_->add("/status", [this](const http::Request&, const Writer& writer) { respondStatus(writer); });
  endpoints_->add("/explain", [this](const http::Request& request, const Writer& writer) {
    explain(request.query("request_id"), 0, writer);
  });
  std::error_code error;
  server_ = http::listenAdmin(context_.get_executor(), address, endpoints_, error);
  if (!error) refreshGauges();
  return error;
}

std::string RouterAdmin::unhealthyReason() const {
  const ControlStatus status = control_.status();
  if (status.leaving) return "stopping";
  return status.bundle_version == 0 ? "no bundle" : "";
}

void RouterAdmin::respondStatus(const Writer& writer) {
  const ControlStatus status = control_.status();
  const auto body = json::object{{"role", "router"},
                                 {"name", settings_.name},
                                 {"zone", settings_.zone},
                                 {"region", settings_.region},
                                 {"version", CRANKSPUR_VERSION},
                                 {"bundle_version", status.bundle_version},
                                 {"site", status.site},
                                 {"stopping", status.leaving},
                                 {"gives_orders", status.holds_order_lease},
                                 {"platform_reachable", status.platform_reachable},
                                 {"claims", describeClaims(status)},
                                 {"requests_in_flight", inFlight()},
                                 {"members", describeMembers(status.members)},
                                 {"engines", describeEngines(status.engines)},
                                 {"runners", describeEngines(status.runners)}};
  writer->respond(http::jsonResponse(200, json::serialize(body)));
}

std::size_t RouterAdmin::inFlight() const {
  std::size_t total = 0;
  for (const auto& shard : shards_) total += shard->inFlight();
  return total;
}

void RouterAdmin::refreshGauges() {
  peer_thread_.thread.post([this] {
    boost::asio::post(context_, [this, counts = peer_thread_.connections->counts()] { setGauges(counts); });
  });
  gauge_timer_.expires_after(kGaugeInterval);
  gauge_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) refreshGauges();
  });
}

void RouterAdmin::setGauges(const PeerConnectionCounts& counts) {
  const ControlStatus status = control_.status();
  metrics_.control_bytes_sent.Set(static_cast<double>(counts.control_bytes_sent));
  metrics_.control_bytes_received.Set(static_cast<double>(counts.control_bytes_received));
  metrics_.bundle_version.Set(static_cast<double>(status.bundle_version));
  metrics_.in_flight.Set(static_cast<double>(inFlight()));
  metrics_.sidecars.Set(static_cast<double>(counts.sidecars));
  metrics_.router_connections.Set(static_cast<double>(counts.routers));
  metrics_.members.Set(static_cast<double>(status.members.size()));
  metrics_.engines.Set(static_cast<double>(status.engines.size()));
  metrics_.claim_epoch.Set(static_cast<double>(status.claim_group.row.epoch));
  metrics_.claim_votes.Set(static_cast<double>(status.claim_group.votes));
}

void RouterAdmin::explain(const std::string& request_id, std::size_t shard, const Writer& writer) {
  if (shard >= shards_.size()) {
    writer->respond(errorResponse(404, "unknown_request", "no record of this request is kept here"));
    return;
  }
  // The writer is moved, not copied: it belongs to the control thread, and the shard's thread must not hold
  // its last reference.
  auto on_record = [this, request_id, shard,
                    writer = Writer(writer)](const std::optional<DecisionRecord>& record) mutable {
    boost::asio::post(context_, [this, request_id, shard, writer = std::move(writer), record] {
      if (!record) return explain(request_id, shard + 1, writer);
      writer->respond(http::jsonResponse(200, describeDecision(*record, settings_.name, control_)));
    });
  };
  shards_[shard]->postExplain(request_id, std::move(on_record));
}

}  // namespace crankspur
