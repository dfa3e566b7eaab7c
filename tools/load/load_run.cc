#include "tools/load/load_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <thread>

#include "base/timer.h"

namespace crankspur::load {

namespace {

/// One thread of a run, with its own workload, connections and outcomes.
class LoadWorker {
public:
  LoadWorker(const Bundle& bundle, const LoadRunOptions& options, std::uint32_t index, TimePoint start)
      : options_(options),
        rate_(options.requests_per_second / options.threads),
        index_(index),
        end_(start + options.duration),
        next_start_(start),
        workload_(bundle, options.key_prefix, workloadOptions(options, index)),
        interarrival_random_(options.workload.seed * 1000 + index),
        timer_(context_),
        client_(http::makeClient(context_.get_executor())) {}

  void run() {
    scheduleNext();
    armTimer();
    context_.run();
  }

  std::vector<CallOutcome>& outcomes() { return outcomes_; }
  std::uint64_t notSent() const { return not_sent_; }

private:
  static WorkloadOptions workloadOptions(const LoadRunOptions& options, std::uint32_t index) {
    WorkloadOptions workload = options.workload;
    workload.seed = options.workload.seed * 1000 + index;
    return workload;
  }

  void scheduleNext() {
    next_start_ += Duration(static_cast<Duration::rep>(interarrival_random_.exponential(1.0 / rate_) * 1e6));
  }

  void armTimer() {
    if (next_start_ >= end_) return;
    expireAt(timer_, next_start_, clock_.now());
    timer_.async_wait([this](boost::system::error_code) {
      // Sends every request that is due, including those that are late because the thread was busy.
      while (next_start_ <= clock_.now() && next_start_ < end_) {
        send(next_start_);
        scheduleNext();
      }
      armTimer();
    });
  }

  void send(TimePoint planned_start) {
    if (outstanding_ >= options_.max_outstanding / options_.threads) {
      ++not_sent_;
      return;
    }
    ++outstanding_;
    ++sent_;
    const Target& target = options_.targets[(sent_ + index_) % options_.targets.size()];
    const std::uint64_t number = (std::uint64_t{index_} << 40U) | sent_;
    startCall(*client_, target, workload_.next(), number, planned_start, [this](const CallOutcome& outcome) {
      --outstanding_;
      outcomes_.push_back(outcome);
    });
  }

  const LoadRunOptions& options_;
  double rate_;
  std::uint32_t index_;
  TimePoint end_;
  TimePoint next_start_;
  Workload workload_;
  RandomSource interarrival_random_;
  SteadyClock clock_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_;
  std::unique_ptr<http::Client> client_;
  std::uint64_t sent_ = 0;
  std::uint64_t outstanding_ = 0;
  std::uint64_t not_sent_ = 0;
  std::vector<CallOutcome> outcomes_;
};

}  // namespace

LoadRunResult runLoad(const Bundle& bundle, const LoadRunOptions& options) {
  const TimePoint start = SteadyClock().now();
  std::vector<std::unique_ptr<LoadWorker>> workers;
  for (std::uint32_t index = 0; index < options.threads; ++index) {
    workers.push_back(std::make_unique<LoadWorker>(bundle, options, index, start));
  }
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (const auto& worker : workers) threads.emplace_back([&worker] { worker->run(); });
  for (std::thread& thread : threads) thread.join();
  LoadRunResult result;
  result.duration = options.duration;
  for (const auto& worker : workers) {
    result.not_sent += worker->notSent();
    auto& outcomes = worker->outcomes();
    std::move(outcomes.begin(), outcomes.end(), std::back_inserter(result.outcomes));
  }
  return result;
}

}  // namespace crankspur::load
