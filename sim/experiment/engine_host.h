#pragma once
/// @file One engine of an experiment: the engine model driven by virtual time.

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>

#include "placement/engine_view.h"
#include "sim/kernel/event_queue.h"
#include "standins/engine/engine_model.h"

namespace crankspur::experiment {

/// Receives what an engine sends on one stream, at the engine's time.
using StreamHandler = std::function<void(const standin::StreamEvent&)>;
/// Carries an import query to its source and the answer back.
using ImportResolver = std::function<void(const standin::ImportQuery&)>;

/// An engine in its zone.
class EngineHost {
public:
  EngineHost(sim::EventQueue& queue, const standin::EngineOptions& options,
             const standin::EngineTimings& timings, std::uint64_t seed, EngineSlot slot, std::uint32_t zone);

  void setImportResolver(ImportResolver resolver) { resolve_import_ = std::move(resolver); }
  /// Submits a request. A down engine cuts the stream without an event before it.
  void submit(const standin::CompletionRequest& request, const StreamHandler& handler);
  void onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                        std::uint64_t source_incarnation);
  /// Cuts every stream, loses the cache and stays down for `down`.
  void crash(Duration down);
  /// Stops all progress for `length`; streams stay open.
  void freeze(Duration length);

  bool up() const { return queue_.now() >= down_until_; }
  bool frozen() const { return model_.frozen(); }
  EngineSlot slot() const { return slot_; }
  std::uint32_t zone() const { return zone_; }
  const std::string& address() const { return address_; }
  const standin::EngineModel& model() const { return model_; }
  standin::EngineModel& model() { return model_; }

private:
  /// Delivers outputs and arms the next timer.
  void pump();
  void arm();

  sim::EventQueue& queue_;
  standin::EngineModel model_;
  EngineSlot slot_;
  std::uint32_t zone_;
  std::string address_;
  ImportResolver resolve_import_;
  absl::flat_hash_map<standin::StreamId, StreamHandler> handlers_;
  standin::StreamId next_stream_ = 1;
  TimePoint armed_for_ = TimePoint::max();
  TimePoint down_until_ = TimePoint::min();
};

}  // namespace crankspur::experiment
