#include "sim/experiment/engine_host.h"

namespace crankspur::experiment {
namespace {

/// @return whether the event is the last one on its stream.
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
  deliverOutputs();
}

void EngineHost::onImportResponse(const std::string& request_id, std::uint32_t attempt, std::uint32_t held,
                                  std::uint64_t source_incarnation) {
  model_.onImportResponse(request_id, attempt, held, source_incarnation, queue_.now());
  deliverOutputs();
}

void EngineHost::crash(Duration down) {
  model_.crash(queue_.now());
  down_until_ = queue_.now() + down;
  deliverOutputs();
}

void EngineHost::freeze(Duration length) {
  model_.freeze(queue_.now());
  queue_.after(length, [this] {
    model_.thaw(queue_.now());
    deliverOutputs();
  });
}

void EngineHost::deliverOutputs() {
  for (standin::EngineOutput& output : model_.takeOutputs()) {
    if (const auto* query = std::get_if<standin::ImportQuery>(&output)) {
      if (import_resolver_) import_resolver_(*query);
      continue;
    }
    const auto* stream_output = std::get_if<standin::StreamOutput>(&output);
    if (stream_output == nullptr) continue;
    const auto entry = handlers_.find(stream_output->stream);
    if (entry == handlers_.end()) continue;
    const StreamHandler handler = entry->second;
    if (endsStream(stream_output->event)) handlers_.erase(entry);
    handler(stream_output->event);
  }
  armTimer();
}

void EngineHost::armTimer() {
  const std::optional<TimePoint> next = model_.nextTimer();
  if (!next || *next >= timer_due_) return;
  timer_due_ = *next;
  queue_.at(*next, [this, due = *next] {
    if (timer_due_ != due) return;
    timer_due_ = TimePoint::max();
    model_.onTimer(queue_.now());
    deliverOutputs();
  });
}

}  // namespace crankspur::experiment
