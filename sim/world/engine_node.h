#pragma once
/// @file A model engine of the simulation: drives standin::EngineModel over the simulated network and records
/// what it did.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/world/context.h"
#include "standins/engine/engine_model.h"

namespace crankspur::sim {

/// What the sender of a completion counted on, for the records.
struct SenderView {
  std::string router;
  std::uint64_t incarnation = 0;
  std::string weights;
};

/// One engine.
class EngineNode {
public:
  /// Receives stream events at the reader's host.
  using StreamHandler = std::function<void(const standin::StreamEvent&)>;

  EngineNode(Context& context, Host& host, standin::EngineOptions options, standin::EngineTimings timings,
             std::uint64_t seed);

  // Calls that run at this host.
  void submit(const ChannelPointer& channel, standin::CompletionRequest request, const SenderView& sender,
              StreamHandler handler);
  void resume(const ChannelPointer& channel, const standin::ResumeRequest& request, StreamHandler handler);
  void cancel(const std::string& request_id, std::uint32_t attempt);
  ErrorCode order(standin::EngineOrder order);
  const standin::EngineModel& model() const { return model_; }
  standin::CacheDigest cacheDigest();

  // Faults.
  /// The process dies; restart() brings it back empty.
  void crash(bool silent);
  void restart();
  void freeze();
  void thaw();
  void startLeaving();
  /// Loses a share of the token events on the way to readers, as a faulty engine would.
  void setLostPieces(double share) { lost_piece_share_ = share; }
  Host& host() { return host_; }

private:
  struct Stream {
    ChannelPointer channel;
    StreamHandler handler;
  };
  void pump();
  void noteLoadedWeights();
  void handle(const standin::StreamOutput& output);
  void askWeightStore(const standin::WeightsQuery& query);
  void armTimer();
  standin::StreamId addStream(const ChannelPointer& channel, StreamHandler handler);
  void recordArrival(standin::StreamId stream, const standin::CompletionRequest& request,
                     const SenderView& sender);

  Context& context_;
  Host& host_;
  standin::EngineModel model_;
  std::map<standin::StreamId, Stream> streams_;
  standin::StreamId next_stream_ = 1;
  std::uint64_t highest_order_token_ = 0;
  std::uint64_t timer_generation_ = 0;
  TimePoint armed_for_{};
  double lost_piece_share_ = 0;
};

}  // namespace crankspur::sim
