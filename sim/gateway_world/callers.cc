#include "sim/gateway_world/callers.h"

#include <charconv>

#include "sim/gateway_world/engine_process.h"
#include "sim/gateway_world/fleet_world.h"
#include "sim/gateway_world/gateway_node.h"

namespace crankspur::gateway_sim {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(800);
constexpr double kPopularShare = 0.25;
constexpr double kDisconnectShare = 0.04;
constexpr std::uint64_t kMinDeadlineMilliseconds = 3'000;
constexpr std::uint64_t kMaxDeadlineMilliseconds = 6'000;
/// Maximum random delay that callers add to the retry delay of a refusal.
constexpr std::uint64_t kMaxRetryJitterMilliseconds = 200;
/// Callers that disconnect do so within this time.
constexpr std::uint64_t kMaxConnectedMilliseconds = 600;
/// Delay before a caller tries again after no gateway accepted its connection.
constexpr Duration kUnreachableRetryDelay = std::chrono::milliseconds(200);
/// How long callers wait for a response beyond their deadline.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(500);

/// @return the request kind of a body, which is the same for every attempt.
RequestKind kindOf(BodyId body) {
  const std::uint32_t draw = body % 10;
  if (draw < 6) return RequestKind::resumable_stream;
  return draw < 8 ? RequestKind::plain : RequestKind::at_most_once;
}

}  // namespace

Callers::Callers(FleetContext& context, FleetWorld& world)
    : context_(context), world_(world), host_("callers", {"zone-0", "region"}, context.queue) {
  host_.start();
}

void Callers::start() {
  load_end_ = context_.queue.now() + context_.site.load_time;
  sendNext();
  for (const PoisonRequest& poison : context_.site.poison) {
    context_.queue.at(poison.from, [this, &poison] { sendPoison(poison); });
  }
}

GatewayNode& Callers::randomGateway() {
  auto& gateways = world_.gateways();
  if (used_gateway_ && gateways[*used_gateway_]->host().up()) return *gateways[*used_gateway_];
  return *gateways[context_.random.uniform(0, gateways.size() - 1)];
}

BodyId Callers::drawBody() {
  if (context_.random.chance(kPopularShare)) {
    return static_cast<BodyId>(context_.random.uniform(1, context_.site.popular_bodies));
  }
  return next_body_++;
}

void Callers::sendNext() {
  if (context_.queue.now() >= load_end_) return;
  Submission submission;
  submission.body = drawBody();
  submission.kind = kindOf(submission.body);
  submission.retries = context_.site.caller_retries;
  submission.may_disconnect = context_.random.chance(kDisconnectShare);
  send(submission, randomGateway());
  const double interval = context_.random.exponential(1.0 / context_.site.requests_per_second);
  host_.post(Duration(static_cast<std::int64_t>(interval * 1e6)), [this] { sendNext(); });
}

void Callers::sendPoison(const PoisonRequest& poison) {
  if (context_.queue.now() >= std::min(poison.to, load_end_)) return;
  Submission submission;
  submission.body = poison.body;
  submission.kind = RequestKind::resumable_stream;
  submission.may_disconnect = poison.caller_may_disconnect && context_.random.chance(0.5);
  send(submission, randomGateway());
  if (poison.concurrent) send(submission, randomGateway());
  const double interval = context_.random.exponential(toSeconds(poison.mean_interval));
  host_.post(Duration(static_cast<std::int64_t>(interval * 1e6)), [this, &poison] { sendPoison(poison); });
}

void Callers::send(const Submission& submission, GatewayNode& gateway) {
  Attempt record;
  record.body = submission.body;
  record.kind = submission.kind;
  record.begun_by = submission.events > 0 ? submission.begun_by : context_.records.attempts.size();
  record.events = submission.events;
  record.gateway = 0;
  while (world_.gateways()[record.gateway].get() != &gateway) ++record.gateway;
  record.sent_at = context_.queue.now();
  record.is_retry = submission.is_retry;
  record.deadline =
      std::chrono::milliseconds(context_.random.uniform(kMinDeadlineMilliseconds, kMaxDeadlineMilliseconds));
  const std::uint64_t attempt = context_.records.attempts.size();
  context_.records.attempts.push_back(record);
  context_.network.connect(
      host_, gateway.host(), kConnectTimeout, [](const sim::ChannelPointer&) {},
      [this, attempt, submission, &gateway](const sim::ChannelPointer& channel) {
        sendRequest(attempt, submission, gateway, channel);
      },
      [this, attempt, submission] {
        finish(attempt, AttemptOutcome::unreachable);
        if (context_.site.retries_unreachable) scheduleRetry(submission, kUnreachableRetryDelay);
      });
}

void Callers::sendRequest(std::uint64_t attempt, const Submission& submission, GatewayNode& gateway,
                          const sim::ChannelPointer& channel) {
  const Attempt& sent = context_.records.attempts[attempt];
  const CallerRequest request{attempt,       submission.body,   submission.kind,
                              sent.deadline, submission.events, sent.begun_by};
  CallerHandlers handlers;
  handlers.on_bytes = [this, attempt](const std::string& bytes) { onBytes(attempt, bytes); };
  handlers.on_end = [this, attempt, channel] {
    finish(attempt, AttemptOutcome::completed);
    channel->close(sim::Side::Client);
  };
  handlers.on_refused = [this, attempt, submission, channel](const gateway::Refuse& refusal) {
    const bool quarantined = refusal.cause == gateway::RequestCause::quarantined;
    const bool not_run = refusal.status == 503;
    Attempt& record = context_.records.attempts[attempt];
    record.retry_after = refusal.retry_after;
    finish(attempt, quarantined ? AttemptOutcome::quarantined
                    : not_run   ? AttemptOutcome::refused
                                : AttemptOutcome::failed);
    channel->close(sim::Side::Client);
    const bool retryable = not_run ? !quarantined : context_.site.retries_broken_responses;
    if (retryable) scheduleRetry(submission, refusal.retry_after);
  };
  channel->onClosed(sim::Side::Client, [this, attempt, submission] {
    if (context_.records.attempts[attempt].outcome != AttemptOutcome::pending) return;
    finish(attempt, AttemptOutcome::aborted);
    if (context_.site.retries_broken_responses) scheduleRetry(submission, Duration(0));
    if (context_.site.builds > 1) resume(attempt, submission);
  });
  channel->send(sim::Side::Client,
                [&gateway, channel, request, handlers] { gateway.onRequest(channel, request, handlers); });
  host_.post(request.deadline + kDeadlineMargin, [this, attempt, channel] {
    if (context_.records.attempts[attempt].outcome != AttemptOutcome::pending) return;
    finish(attempt, AttemptOutcome::timed_out);
    channel->close(sim::Side::Client);
  });
  if (!submission.may_disconnect) return;
  const auto connected_time =
      std::chrono::milliseconds(context_.random.uniform(1, kMaxConnectedMilliseconds));
  host_.post(connected_time, [this, attempt, channel] {
    if (context_.records.attempts[attempt].outcome != AttemptOutcome::pending) return;
    finish(attempt, AttemptOutcome::disconnected);
    channel->close(sim::Side::Client);
  });
}

/// The response of a stream broke off: the caller takes it up at any gateway.
void Callers::resume(std::uint64_t attempt, const Submission& submission) {
  const Attempt& broken = context_.records.attempts[attempt];
  if (broken.kind != RequestKind::resumable_stream || broken.events == 0) return;
  Submission resumed = submission;
  resumed.events = broken.events;
  resumed.begun_by = broken.begun_by;
  scheduleRetry(resumed, Duration(0));
}

void Callers::scheduleRetry(const Submission& submission, Duration after) {
  if (submission.retries == 0) return;
  Submission retry = submission;
  --retry.retries;
  retry.is_retry = true;
  const auto jitter = std::chrono::milliseconds(context_.random.uniform(0, kMaxRetryJitterMilliseconds));
  host_.post(after + jitter, [this, retry] { send(retry, randomGateway()); });
}

void Callers::finish(std::uint64_t attempt, AttemptOutcome outcome) {
  Attempt& record = context_.records.attempts[attempt];
  if (record.outcome != AttemptOutcome::pending) return;
  record.outcome = outcome;
  record.ended_at = context_.queue.now();
  if (outcome == AttemptOutcome::completed && record.kind == RequestKind::resumable_stream) {
    record.events_broken |= record.events != eventCount(record.body);
  }
  context_.trace.note(host_.name(), "attempt {} of body {} ends as {}", attempt, record.body,
                      static_cast<int>(outcome));
}

/// Counts the events in a part of a response; event ids must be consecutive.
void Callers::onBytes(std::uint64_t attempt, const std::string& bytes) {
  Attempt& record = context_.records.attempts[attempt];
  if (record.kind != RequestKind::resumable_stream) return;
  constexpr std::string_view kIdPrefix = "id: ";
  for (std::size_t position = bytes.find(kIdPrefix); position != std::string::npos;
       position = bytes.find(kIdPrefix, position + 1)) {
    std::uint32_t id = 0;
    std::from_chars(bytes.data() + position + kIdPrefix.size(), bytes.data() + bytes.size(), id);
    record.events_broken |= id != record.events + 1;
    ++record.events;
  }
}

}  // namespace crankspur::gateway_sim
