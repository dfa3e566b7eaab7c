#include "router_process/router_admin.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <utility>

namespace crankspur {

namespace {

namespace json = boost::json;

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

json::object describeCandidate(const CandidateEstimate& candidate) {
  return {{"engine_slot", candidate.engine},
          {"cached_blocks", candidate.cached_blocks},
          {"queue_ms", toMilliseconds(candidate.queue)},
          {"prefill_ms", toMilliseconds(candidate.prefill)},
          {"import_ms", toMilliseconds(candidate.import)},
          {"cost", candidate.cost}};
}

std::string describeDecision(const DecisionRecord& record, const std::string& router) {
  json::array candidates;
  for (const CandidateEstimate& candidate : record.decision.candidates) {
    candidates.push_back(describeCandidate(candidate));
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

void addMetric(std::string& text, const char* name, const char* type, const char* help, double value) {
  text += fmt::format("# HELP crankspur_router_{0} {1}\n# TYPE crankspur_router_{0} {2}\n", name, help, type);
  text += fmt::format("crankspur_router_{} {}\n", name, value);
}

}  // namespace

RouterAdmin::RouterAdmin(boost::asio::io_context& context, const RouterSettings& settings,
                         ControlThread& control, FrontThread& front, ControlThread::Shards& shards,
                         RouterMetrics& metrics)
    : context_(context),
      settings_(settings),
      control_(control),
      front_(front),
      shards_(shards),
      metrics_(metrics) {}

std::error_code RouterAdmin::listen(const std::string& address) {
  std::error_code error;
  server_ = http::listen(
      context_.get_executor(), address,
      [this](const http::Request& request, const Writer& writer) { handle(request, writer); }, error);
  return error;
}

void RouterAdmin::handle(const http::Request& request, const Writer& writer) {
  const std::string path = request.path();
  if (request.method != "GET") {
    writer->respond(errorResponse(405, "invalid_request", "only GET is served here"));
  } else if (path == "/healthz") {
    respondHealth(writer);
  } else if (path == "/status") {
    respondStatus(writer);
  } else if (path == "/metrics") {
    respondMetrics(writer);
  } else if (path == "/explain") {
    explain(request.query("request_id"), 0, writer);
  } else {
    writer->respond(errorResponse(404, "invalid_request", "no such page"));
  }
}

void RouterAdmin::respondHealth(const Writer& writer) {
  const ControlStatus status = control_.status();
  std::string reason;
  if (status.leaving) {
    reason = "stopping";
  } else if (status.bundle_version == 0) {
    reason = "no bundle";
  }
  const auto body = json::object{{"status", reason.empty() ? "ok" : reason}};
  writer->respond(http::jsonResponse(reason.empty() ? 200 : 503, json::serialize(body)));
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
                                 {"platform_reachable", status.platform_reachable},
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

void RouterAdmin::respondMetrics(const Writer& writer) {
  front_.thread.post([this, writer] {
    boost::asio::post(context_, [this, writer, counts = front_.front->counts()] {
      http::Response response;
      response.headers["content-type"] = "text/plain; version=0.0.4";
      response.body = metricsText(counts);
      writer->respond(std::move(response));
    });
  });
}

std::string RouterAdmin::metricsText(const PeerFrontCounts& counts) const {
  std::string text;
  const auto counter = [&text](const char* name, const char* help, std::uint64_t value) {
    addMetric(text, name, "counter", help, static_cast<double>(value));
  };
  const auto gauge = [&text](const char* name, const char* help, double value) {
    addMetric(text, name, "gauge", help, value);
  };
  counter("requests_total", "Attempts submitted by sidecars.", metrics_.requests);
  counter("answers_total", "Attempts that ended with a whole answer.", metrics_.answers);
  counter("refusals_total", "Attempts that ended with a refusal.", metrics_.refusals);
  counter("dispatches_total", "Dispatches to back ends.", metrics_.dispatches);
  counter("dispatches_lost_total", "Dispatches whose exchange broke.", metrics_.dispatches_lost);
  counter("dispatches_refused_total", "Dispatches that the back end refused.", metrics_.dispatches_refused);
  counter("prompt_tokens_total", "Prompt tokens of accepted dispatches.", metrics_.prompt_tokens);
  counter("cached_tokens_total", "Prompt tokens served from caches.", metrics_.cached_tokens);
  counter("cache_events_total", "Cache events received from engines.", metrics_.cache_events);
  counter("cache_gaps_total", "Gaps found in cache event streams.", metrics_.cache_gaps);
  counter("cache_digests_total", "Cache digests fetched.", metrics_.cache_digests);
  counter("snapshots_total", "Snapshots published to traffic threads.", metrics_.snapshots);
  counter("bundles_taken_total", "Bundles accepted as newer.", metrics_.bundles_taken);
  counter("bundles_refused_total", "Bundles that did not verify.", metrics_.bundles_refused);
  counter("control_sent_bytes_total", "Bytes of control messages to routers.", counts.control_bytes_sent);
  counter("control_received_bytes_total", "Bytes of control messages from routers.",
          counts.control_bytes_received);
  const ControlStatus status = control_.status();
  gauge("bundle_version", "Version of the bundle in force.", static_cast<double>(status.bundle_version));
  gauge("requests_in_flight", "Attempts not yet ended.", static_cast<double>(inFlight()));
  gauge("sidecars", "Connected sidecars.", static_cast<double>(counts.sidecars));
  gauge("router_connections", "Connections with routers.", static_cast<double>(counts.routers));
  gauge("members", "Routers not dead, this one included.", static_cast<double>(status.members.size()));
  gauge("engines", "Engines in view.", static_cast<double>(status.engines.size()));
  return text;
}

void RouterAdmin::explain(const std::string& request_id, std::size_t shard, const Writer& writer) {
  if (shard >= shards_.size()) {
    writer->respond(errorResponse(404, "unknown_request", "no record of this request is kept here"));
    return;
  }
  const auto answer = [this, request_id, shard, writer](const std::optional<DecisionRecord>& record) {
    boost::asio::post(context_, [this, request_id, shard, writer, record] {
      if (!record) return explain(request_id, shard + 1, writer);
      writer->respond(http::jsonResponse(200, describeDecision(*record, settings_.name)));
    });
  };
  shards_[shard]->postExplain(request_id, answer);
}

}  // namespace crankspur
