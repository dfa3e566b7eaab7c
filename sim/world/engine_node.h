#pragma once
/// @file Simulated model engine: drives standin::EngineModel over the simulated network and records
/// observable actions.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/world/context.h"
#include "standins/engine/engine_model.h"

namespace crankspur::sim {

/// Engine state that the sender of a completion expected, for the records.
struct DispatchExpectation {
  std::string router;
  std::uint64_t incarnation = 0;
  std::string weights;
};

class EngineNode {
public:
  /// Receives stream events at the host of the stream's reader.
  using StreamHandler = std::function<void(const standin::StreamEvent&)>;

  EngineNode(Context& context, Host& host, standin::EngineOptions options, standin::EngineTimings timings,
             std::uint64_t seed);

  // Called in the context of this host.
  void submit(const ChannelPointer& channel, standin::CompletionRequest request,
              const DispatchExpectation& sender, StreamHandler handler);
  void resume(const ChannelPointer& channel, const standin::ResumeRequest& request, StreamHandler handler);
  void cancel(const std::string& request_id, std::uint32_t attempt);
  ErrorCode order(standin::EngineOrder order);
  const standin::EngineModel& model() const { return model_; }
  standin::CacheDigest cacheDigest();

  // Fault injection.
  /// Crashes the process; restart() starts it again without state.
  void crash(bool silent);
  void restart();
  void freeze();
  void thaw();
  void startLeaving();
  /// Drops this fraction of token events on their way to readers, as a faulty engine would.
  void setPieceLossRate(double rate) { piece_loss_rate_ = rate; }
  Host& host() { return host_; }

private:
  struct Stream {
    ChannelPointer channel;
    StreamHandler handler;
  };
  void processOutputs();
  void recordLoadedWeights();
  void forwardStreamOutput(const standin::StreamOutput& output);
  void queryWeightStore(const standin::WeightsQuery& query);
  void armTimer();
  standin::StreamId addStream(const ChannelPointer& channel, StreamHandler handler);
  void recordArrival(standin::StreamId stream, const standin::CompletionRequest& request,
                     const DispatchExpectation& sender);

  Context& context_;
  Host& host_;
  standin::EngineModel model_;
  std::map<standin::StreamId, Stream> streams_;
  standin::StreamId next_stream_ = 1;
  std::uint64_t highest_order_token_ = 0;
  std::uint64_t timer_generation_ = 0;
  TimePoint armed_for_{};
  double piece_loss_rate_ = 0;
};

}  // namespace crankspur::sim
