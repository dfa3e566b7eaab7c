#include "gateway_control/gateway_admin.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <fstream>
#include <map>

#include "base/error.h"
#include "router/engine_table.h"

namespace crankspur::gateway {
namespace {

namespace json = boost::json;

constexpr int kNotFound = 404;
constexpr int kOk = 200;

json::object describe(const MemberRecord& member) {
  return {{"name", member.name},
          {"state", memberStateName(member.state)},
          {"incarnation", member.incarnation},
          {"bundle_version", member.bundle_version}};
}

json::object describe(const Backend& backend) {
  json::object models;
  for (const LoadedModel& loaded : backend.view.models) models[loaded.model] = loaded.weights_version;
  return {{"name", backend.view.name},
          {"pool", backend.view.pool},
          {"zone", backend.view.zone},
          {"state", engineStateName(backend.view.state)},
          {"weights", std::move(models)}};
}

/// @return resident memory of this process; 0 if the kernel does not tell.
std::size_t residentBytes() {
  std::ifstream pages("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(pages >> total >> resident)) return 0;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

template <typename Items>
json::array describeAll(const Items& items) {
  json::array all;
  for (const auto& item : items) all.push_back(describe(item));
  return all;
}

}  // namespace

GatewayAdmin::GatewayAdmin(const NodeSettings& settings, const GatewayProcess& process,
                           const GatewayControl& control, GatewayMetrics& metrics, const BoundedEventLog& log,
                           const HeldBytes& held)
    : settings_(settings), process_(process), control_(control), metrics_(metrics), log_(log), held_(held) {}

std::error_code GatewayAdmin::listen(const boost::asio::any_io_executor& executor,
                                     const std::string& address) {
  std::error_code error;
  if (address.empty()) return error;
  endpoints_ =
      std::make_shared<http::AdminEndpoints>(metrics_.registry(), [this] { return notServingReason(); });
  endpoints_->setMetricsRefresh([this] { refreshGauges(); });
  endpoints_->add("/status",
                  [this](const http::Request&, const writer_pointer& writer) { writer->respond(status()); });
  endpoints_->add("/explain", [this](const http::Request& request, const writer_pointer& writer) {
    writer->respond(explain(request.query("request_id")));
  });
  server_ = http::listenAdmin(executor, address, endpoints_, error);
  return error;
}

std::string GatewayAdmin::notServingReason() const {
  if (process_.ready()) return "";
  return control_.status().leaving ? "stopping" : "no configuration";
}

http::Response GatewayAdmin::status() const {
  const ControlStatus current = control_.status();
  const json::object body = {{"name", settings_.name},
                             {"role", "gateway"},
                             {"zone", settings_.zone},
                             {"region", settings_.region},
                             {"version", CRANKSPUR_VERSION},
                             {"bundle_version", current.configuration_version},
                             {"requests_in_flight", process_.inFlight()},
                             {"stopping", current.leaving},
                             {"platform_reachable", current.platform_reachable},
                             {"knowledge_age_ms", toSeconds(current.knowledge_age) * 1000},
                             {"list_age_ms", toSeconds(current.list_age) * 1000},
                             {"holds_order_lease", current.holds_order_lease},
                             {"serves", current.serves},
                             {"serving", json::array(current.serving.begin(), current.serving.end())},
                             {"members", describeAll(current.members)},
                             {"engines", describeAll(current.backends)}};
  return http::jsonResponse(kOk, json::serialize(body));
}

/// @return the log lines that name the request, as far back as they are kept.
http::Response GatewayAdmin::explain(const std::string& request_id) const {
  json::array lines;
  const std::string wanted = "request_id=" + request_id + " ";
  if (!request_id.empty()) {
    for (const std::string& line : log_.recentLines(wanted)) {
      lines.emplace_back(std::string_view(line).substr(0, line.size() - 1));
    }
  }
  if (lines.empty()) {
    return http::errorResponse(kNotFound, errorName(ErrorCode::InvalidRequest),
                               "no line of late names this request", "not_run");
  }
  const json::object body = {
      {"request_id", request_id}, {"gateway", settings_.name}, {"lines", std::move(lines)}};
  return http::jsonResponse(kOk, json::serialize(body));
}

void GatewayAdmin::refreshGauges() {
  const ControlStatus current = control_.status();
  std::map<std::string_view, std::size_t> states = {{"live", 0}, {"leaving", 0}, {"ejected", 0}, {"dead", 0}};
  for (const Backend& backend : current.backends) ++states[engineStateName(backend.view.state)];
  for (const auto& [state, count] : states) metrics_.setBackends(state, count);
  metrics_.in_flight.Set(static_cast<double>(process_.inFlight()));
  metrics_.configuration_version.Set(static_cast<double>(current.configuration_version));
  metrics_.members.Set(static_cast<double>(current.members.size()));
  metrics_.knowledge_age.Set(toSeconds(current.knowledge_age));
  metrics_.list_age.Set(toSeconds(current.list_age));
  metrics_.platform_reachable.Set(current.platform_reachable ? 1 : 0);
  metrics_.holds_order_lease.Set(current.holds_order_lease ? 1 : 0);
  metrics_.serves.Set(current.serves ? 1 : 0);
  metrics_.serving.Set(static_cast<double>(current.serving.size()));
  metrics_.orders.Set(static_cast<double>(current.orders_sent));
  metrics_.held_bytes.Set(static_cast<double>(held_.traffic.used()));
  metrics_.held_bytes_limit.Set(static_cast<double>(held_.traffic.limit()));
  metrics_.call_bytes.Set(static_cast<double>(held_.calls.used()));
  metrics_.call_bytes_limit.Set(static_cast<double>(held_.calls.limit()));
  metrics_.resident_bytes.Set(static_cast<double>(residentBytes()));
  const DroppedLines dropped = log_.dropped();
  metrics_.log_lines.Set(static_cast<double>(log_.linesAccepted()));
  metrics_.log_routine_dropped.Set(static_cast<double>(dropped.routine));
  metrics_.log_notable_dropped.Set(static_cast<double>(dropped.notable));
}

}  // namespace crankspur::gateway
