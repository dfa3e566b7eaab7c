#include "router_process/backend_poller.h"

#include <utility>

namespace crankspur {

BackendPoller::BackendPoller(const boost::asio::any_io_executor& executor, EngineTable& engine_table,
                             std::function<void()> on_change)
    : engine_table_(engine_table),
      on_change_(std::move(on_change)),
      http_(http::makeClient(executor)),
      engines_(makeEngineClient(*http_, clock_)),
      runners_(makeAppRunnerClient(*http_)) {}

void BackendPoller::start(const std::vector<BackendPoll>& polls) {
  for (const BackendPoll& poll : polls) {
    switch (poll.kind) {
      case BackendPoll::Kind::EngineInfo:
        pollEngine(poll);
        break;
      case BackendPoll::Kind::EngineLoad:
        pollLoad(poll);
        break;
      case BackendPoll::Kind::RunnerInfo:
        pollRunner(poll);
        break;
    }
  }
}

void BackendPoller::pollEngine(const BackendPoll& poll) {
  engines_->fetchInfo(poll.address,
                      [this, name = poll.name](std::error_code error, const EngineDescription& description) {
                        if (error) return reportFailure(name, error);
                        BackendReport report;
                        report.incarnation = description.incarnation;
                        report.leaving = description.leaving;
                        report.role = description.role;
                        report.models = description.models;
                        engine_table_.onReport(name, report, clock_.now());
                        on_change_();
                      });
}

void BackendPoller::pollLoad(const BackendPoll& poll) {
  engines_->fetchLoad(poll.address,
                      [this, name = poll.name](std::error_code error, const EngineLoadResponse& response) {
                        if (error) return reportFailure(name, error);
                        engine_table_.onLoad(name, response.incarnation, response.report, clock_.now());
                        on_change_();
                      });
}

void BackendPoller::pollRunner(const BackendPoll& poll) {
  runners_->fetchInfo(poll.address,
                      [this, name = poll.name](std::error_code error, const RunnerDescription& description) {
                        if (error) return reportFailure(name, error);
                        BackendReport report;
                        report.incarnation = description.incarnation;
                        report.leaving = description.leaving;
                        engine_table_.onReport(name, report, clock_.now());
                        on_change_();
                      });
}

void BackendPoller::reportFailure(const std::string& name, std::error_code error) {
  const bool refused = error == std::errc::connection_refused;
  engine_table_.onPollFailed(name, refused ? PollFailure::Refused : PollFailure::TimedOut, clock_.now());
  on_change_();
}

}  // namespace crankspur
