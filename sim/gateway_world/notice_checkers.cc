#include "sim/gateway_world/notice_checkers.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace crankspur::gateway_sim {
namespace {

/// Requests that were on their way when the engine asked for the pause.
constexpr Duration kPauseTolerance = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t kToleratedRequests = 2;
constexpr Duration kDepartureLimit = std::chrono::seconds(2);

double secondsOfRun(TimePoint instant) {
  return toSeconds(instant.time_since_epoch()) - 3600.0;
}

/// An engine process and a gateway that sends it requests.
struct Sender {
  std::uint32_t engine = 0;
  std::uint64_t engine_start = 0;
  std::uint32_t gateway = 0;

  bool operator<(const Sender& other) const {
    return std::tie(engine, engine_start, gateway) <
           std::tie(other.engine, other.engine_start, other.gateway);
  }
};

using RunsBySender = std::map<Sender, std::vector<const EngineRun*>>;

RunsBySender groupBySender(const std::vector<EngineRun>& runs) {
  RunsBySender grouped;
  for (const EngineRun& run : runs) {
    const bool arrived = run.arrived_at > run.sent_at;
    if (arrived) grouped[{run.engine, run.engine_start, run.gateway}].push_back(&run);
  }
  return grouped;
}

}  // namespace

void checkPauses(const FleetHistory& history, sim::Violations& violations) {
  const RunsBySender senders = groupBySender(history.records().runs);
  for (const EnginePause& pause : history.records().pauses) {
    const auto sent = senders.find({pause.engine, pause.engine_start, pause.gateway});
    if (sent == senders.end()) continue;
    const TimePoint end = pause.at + pause.asked;
    const auto received = std::count_if(sent->second.begin(), sent->second.end(), [&](const EngineRun* run) {
      return run->arrived_at > pause.at + kPauseTolerance && run->arrived_at <= end;
    });
    if (received <= kToleratedRequests) continue;
    if (!history.isUndisturbed(pause.gateway, pause.at, end, Duration(0))) continue;
    violations.push_back({"pause", fmt::format("gateway-{} sent {} requests to engine-{}, which had asked at "
                                               "{:.3f} s for a pause of {:.3f} s",
                                               pause.gateway, received, pause.engine, secondsOfRun(pause.at),
                                               toSeconds(pause.asked))});
  }
}

void checkStatedDepartures(const FleetHistory& history, sim::Violations& violations) {
  const Records& records = history.records();
  std::map<Sender, TimePoint> received_at;
  for (const StatedDeparture& departure : records.stated_departures) {
    received_at.try_emplace({departure.engine, departure.engine_start, departure.gateway},
                            departure.received_at);
  }
  for (const EngineRun& run : records.runs) {
    const auto stated = received_at.find({run.engine, run.engine_start, run.gateway});
    if (stated == received_at.end() || run.arrived_at <= run.sent_at) continue;
    if (run.admitted_at <= stated->second + kDepartureLimit) continue;
    if (!history.isUndisturbed(run.gateway, stated->second, run.sent_at, Duration(0))) continue;
    violations.push_back(
        {"stated_departure",
         fmt::format("gateway-{} sent body {} at {:.3f} s to engine-{}, which had stated at {:.3f} s that "
                     "it leaves",
                     run.gateway, run.body, secondsOfRun(run.sent_at), run.engine,
                     secondsOfRun(stated->second))});
  }
}

}  // namespace crankspur::gateway_sim
