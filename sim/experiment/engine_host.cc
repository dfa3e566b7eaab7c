#include "sim/experiment/engine_host.h"

namespace crankspur::experiment {
namespace {

/// @return whether nothing follows the event on its stream.
bool endsStream(const standin::StreamEvent& event) {
  return std::holds_alternative<standin::StreamRefused>(event) ||
         std::holds_alternative<standin::StreamFinished>(event) ||
         std::holds_alternative<standin::StreamAborted>(event);
}

}  // namespace

EngineHost::EngineHost(sim::EventQueue& queue, const standin::EngineOptions& options,
                       const standin::EngineTimings& timings, std::uint64_t seed, EngineSlot slot,
                       std::uint32_t zone)
    : queue_(queue),
      model_(options, timings, seed, queue.now()),
      slot_(slot),
      zone_(zone),
      address_(options.name) {}

void EngineHost::submit(const standin::CompletionRequest& request, const StreamHandler& handler) {
  if (!up()) {
    handler(standin::StreamAborted{});
    return;
  }
  const standin::StreamId stream = next_stream_++;
  handlers_.emplace(stream, handler);
  model_.submit(stream, request, queue_.now());
  pump();
}

void EngineHost::onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                                  std::uint64_t source_incarnation) {
  model_.onImportResponse(request_id, attempt, held, source_incarnation, queue_.now());
  pump();
}

void EngineHost::crash(Duration down) {
  model_.crash(queue_.now());
  down_until_ = queue_.now() + down;
  pump();
}

void EngineHost::freeze(Duration length) {
  model_.freeze(queue_.now());
  queue_.after(length, [this] {
    model_.thaw(queue_.now());
    pump();
  });
}

void EngineHost::pump() {
  for (standin::EngineOutput& output : model_.takeOutputs()) {
    if (const auto* query = std::get_if<standin::ImportQuery>(&output)) {
      if (resolve_import_) resolve_import_(*query);
      continue;
    }
    const auto* sent = std::get_if<standin::StreamOutput>(&output);
    if (sent == nullptr) continue;
    const auto place = handlers_.find(sent->stream);
    if (place == handlers_.end()) continue;
    const StreamHandler handler = place->second;
    if (endsStream(sent->event)) handlers_.erase(place);
    handler(sent->event);
  }
  arm();
}

void EngineHost::arm() {
  const std::optional<TimePoint> next = model_.nextTimer();
  if (!next || *next >= armed_for_) return;
  armed_for_ = *next;
  queue_.at(*next, [this, due = *next] {
    if (armed_for_ != due) return;
    armed_for_ = TimePoint::max();
    model_.onTimer(queue_.now());
    pump();
  });
}

}  // namespace crankspur::experiment
