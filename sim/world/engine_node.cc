#include "sim/world/engine_node.h"

#include "sim/world/platform_node.h"

namespace crankspur::sim {

EngineNode::EngineNode(Context& context, Host& host, standin::EngineOptions options,
                       standin::EngineTimings timings, std::uint64_t seed)
    : context_(context), host_(host), model_(std::move(options), timings, seed, context.queue.now()) {
  host_.start();
}

void EngineNode::submit(const ChannelPointer& channel, standin::CompletionRequest request,
                        const DispatchExpectation& sender, StreamHandler handler) {
  if (context_.without(Mechanism::IncarnationCheck)) request.expect_incarnation = 0;
  if (context_.without(Mechanism::WeightsCheck)) request.expect_weights.clear();
  const standin::StreamId stream = addStream(channel, std::move(handler));
  recordArrival(stream, request, sender);
  model_.submit(stream, request, context_.queue.now());
  processOutputs();
}

standin::StreamId EngineNode::addStream(const ChannelPointer& channel, StreamHandler handler) {
  const standin::StreamId stream = next_stream_++;
  streams_[stream] = {channel, std::move(handler)};
  channel->onClosed(Side::Server, [this, stream] {
    streams_.erase(stream);
    model_.onStreamClosed(stream, context_.queue.now());
    processOutputs();
  });
  return stream;
}

void EngineNode::resume(const ChannelPointer& channel, const standin::ResumeRequest& request,
                        StreamHandler handler) {
  model_.resume(addStream(channel, std::move(handler)), request, context_.queue.now());
  processOutputs();
}

void EngineNode::recordArrival(standin::StreamId stream, const standin::CompletionRequest& request,
                               const DispatchExpectation& sender) {
  ArrivalRecord record;
  record.request_id = request.request_id;
  record.attempt = request.attempt;
  record.engine = host_.name();
  record.stream = stream;
  record.router = sender.router;
  record.expected_incarnation = sender.incarnation;
  record.expected_weights = sender.weights;
  record.incarnation = model_.incarnation();
  record.at = context_.queue.now();
  context_.trace.note(host_.name(), "gets {} attempt {} from {}", record.request_id, record.attempt,
                      sender.router);
  context_.records.arrivals.push_back(std::move(record));
}

void EngineNode::cancel(const std::string& request_id, std::uint32_t attempt) {
  model_.cancel(request_id, attempt, context_.queue.now());
  processOutputs();
}

ErrorCode EngineNode::order(standin::EngineOrder order) {
  const std::uint64_t token = order.token;
  if (context_.without(Mechanism::Fencing)) {
    highest_order_token_ = std::max(highest_order_token_, order.token);
    order.token = highest_order_token_;
  }
  const ErrorCode code = model_.order(order, context_.queue.now());
  if (code == ErrorCode::Ok) {
    context_.trace.note(host_.name(), "order token {} {} {}", token, order.model, order.weights_version);
    if (order.kind == standin::OrderKind::LoadWeights) context_.records.loading_weights.insert(host_.name());
    context_.records.orders.push_back({host_.name(), model_.incarnation(), token,
                                       context_.records.loading_weights.size(), context_.queue.now()});
  }
  processOutputs();
  return code;
}

standin::CacheDigest EngineNode::cacheDigest() {
  standin::CacheDigest digest = model_.cacheDigest(context_.queue.now());
  processOutputs();
  return digest;
}

void EngineNode::crash(bool silent) {
  context_.trace.note(host_.name(), "crash");
  context_.network.crash(host_, silent);
  context_.records.recordProcessEnd(host_.name(), context_.queue.now());
  model_.crash(context_.queue.now());
  context_.records.loading_weights.erase(host_.name());
  model_.takeOutputs();
  streams_.clear();
  highest_order_token_ = 0;
}

void EngineNode::restart() {
  if (host_.up()) return;
  host_.start();
  context_.trace.note(host_.name(), "restart, incarnation {}", model_.incarnation());
  processOutputs();
}

void EngineNode::freeze() {
  if (!host_.up() || model_.frozen()) return;
  context_.trace.note(host_.name(), "freeze");
  model_.freeze(context_.queue.now());
  host_.pause();
}

void EngineNode::thaw() {
  if (!model_.frozen()) return;
  context_.trace.note(host_.name(), "thaw");
  model_.thaw(context_.queue.now());
  host_.wake();
  armTimer();
}

void EngineNode::startLeaving() {
  context_.trace.note(host_.name(), "says that it leaves");
  model_.startLeaving(context_.queue.now());
  processOutputs();
}

void EngineNode::processOutputs() {
  recordLoadedWeights();
  for (const standin::EngineOutput& output : model_.takeOutputs()) {
    if (const auto* stream = std::get_if<standin::StreamOutput>(&output)) forwardStreamOutput(*stream);
    if (const auto* query = std::get_if<standin::WeightsQuery>(&output)) queryWeightStore(*query);
    if (const auto* query = std::get_if<standin::ImportQuery>(&output)) {
      const standin::ImportQuery copy = *query;
      host_.post(Duration(0), [this, copy] {
        model_.onImportResponse(copy.request_id, copy.attempt, 0, 0, context_.queue.now());
        processOutputs();
      });
    }
  }
  armTimer();
}

void EngineNode::recordLoadedWeights() {
  std::set<std::string>& loading = context_.records.loading_weights;
  // The engine omits a model from its info while it loads the weights of that model.
  if (loading.contains(host_.name()) && !model_.info().models.empty()) loading.erase(host_.name());
}

void EngineNode::forwardStreamOutput(const standin::StreamOutput& output) {
  const auto found = streams_.find(output.stream);
  if (found == streams_.end()) return;
  const Stream stream = found->second;
  if (std::holds_alternative<standin::StreamTokens>(output.event) && piece_loss_rate_ > 0 &&
      context_.random.chance(piece_loss_rate_)) {
    context_.trace.note(host_.name(), "loses a piece of stream {}", output.stream);
    return;
  }
  const bool last = std::holds_alternative<standin::StreamFinished>(output.event) ||
                    std::holds_alternative<standin::StreamRefused>(output.event);
  const bool cut = std::holds_alternative<standin::StreamAborted>(output.event);
  if (!cut) {
    stream.channel->send(Side::Server, [handler = stream.handler, event = output.event] { handler(event); });
  }
  if (last) {
    const auto* refused = std::get_if<standin::StreamRefused>(&output.event);
    context_.trace.note(host_.name(), "ends stream {}{}", output.stream,
                        refused ? ", refused: " + refused->message : "");
  }
  if (last || cut) {
    streams_.erase(found);
    stream.channel->close(Side::Server);
  }
}

void EngineNode::queryWeightStore(const standin::WeightsQuery& query) {
  context_.directory.platform().loadWeights(
      host_, query.model, query.weights_version, [this, query](std::optional<WeightsTransfer> transfer) {
        const auto time = transfer ? std::optional(transfer->duration) : std::nullopt;
        model_.onWeightsResponse(query.model, query.weights_version, time, context_.queue.now());
        processOutputs();
      });
}

void EngineNode::armTimer() {
  const std::optional<TimePoint> next = model_.nextTimer();
  if (!next) return;
  const std::uint64_t generation = ++timer_generation_;
  host_.post(std::max(*next - context_.queue.now(), Duration(0)), [this, generation] {
    if (generation != timer_generation_) return;
    model_.onTimer(context_.queue.now());
    processOutputs();
  });
}

}  // namespace crankspur::sim
