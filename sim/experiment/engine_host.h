#pragma once
/// @file One engine of an experiment: the engine model driven by a virtual clock.

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>

#include "placement/engine_view.h"
#include "sim/kernel/event_queue.h"
#include "standins/engine/engine_model.h"

namespace crankspur::experiment {

/// Receives the events that an engine sends on one stream, without network delay.
using StreamHandler = std::function<void(const standin::StreamEvent&)>;
/// Delivers an import query to the source engine and its response back to the querying engine.
using ImportResolver = std::function<void(const standin::ImportQuery&)>;

/// An engine located in a zone.
class EngineHost {
public:
  EngineHost(sim::EventQueue& queue, const standin::EngineOptions& options,
             const standin::EngineTimings& timings, std::uint64_t seed, EngineSlot slot, std::uint32_t zone);

  void setImportResolver(ImportResolver resolver) { import_resolver_ = std::move(resolver); }
  /// Submits a request. If the engine is down, the stream is cut immediately.
  void submit(const standin::CompletionRequest& request, const StreamHandler& handler);
  /// Receives the response to an import query.
  void onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                        std::uint64_t source_incarnation);
  /// Cuts all streams, clears the cache and keeps the engine down for `down`.
  void crash(Duration down);
  /// Suspends the engine for `length`; streams stay open.
  void freeze(Duration length);

  bool up() const { return queue_.now() >= down_until_; }
  bool frozen() const { return model_.frozen(); }
  EngineSlot slot() const { return slot_; }
  std::uint32_t zone() const { return zone_; }
  const std::string& address() const { return address_; }
  const standin::EngineModel& model() const { return model_; }
  standin::EngineModel& model() { return model_; }

private:
  /// Delivers pending outputs and arms the next timer.
  void deliverOutputs();
  void armTimer();

  sim::EventQueue& queue_;
  standin::EngineModel model_;
  EngineSlot slot_;
  std::uint32_t zone_;
  std::string address_;
  ImportResolver import_resolver_;
  absl::flat_hash_map<standin::StreamId, StreamHandler> handlers_;
  standin::StreamId next_stream_ = 1;
  TimePoint timer_due_ = TimePoint::max();
  TimePoint down_until_ = TimePoint::min();
};

}  // namespace crankspur::experiment
