#include "sim/gateway_world/engine_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace crankspur::gateway_sim {
namespace {

constexpr Duration kHeartbeat = std::chrono::milliseconds(1'200);
constexpr std::size_t kQueuePerSlot = 3;
/// Requests that may wait at a brittle engine, from this time after it began to state that it is brittle on.
constexpr std::size_t kBrittleQueue = 1;
constexpr Duration kBrittleWarningTime = std::chrono::seconds(3);
constexpr Duration kRejectionWindow = std::chrono::seconds(1);
constexpr std::uint64_t kMinRestartMilliseconds = 1'200;
constexpr std::uint64_t kMaxRestartMilliseconds = 4'000;
/// Bounds of the time for which a leaving engine still serves.
constexpr std::uint64_t kMinLeavingMilliseconds = 3'000;
constexpr std::uint64_t kMaxLeavingMilliseconds = 8'000;
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(100);
/// Maximum durations of the prefill of a stream, of the gap between events, and of a response without events.
constexpr std::uint64_t kMaxPrefillMilliseconds = 250;
constexpr std::uint64_t kMaxEventGapMilliseconds = 120;
constexpr std::uint64_t kMaxPlainMilliseconds = 300;
constexpr std::uint64_t kMaxEvents = 20;
/// Events of a response that precede a crash by PoisonEffect::after_first_bytes.
constexpr std::uint64_t kEventsBeforeCrash = 2;
constexpr Duration kCacheEventsWait = std::chrono::milliseconds(400);
/// Pieces of an event without end, and the time between them.
constexpr std::size_t kEndlessPieceBytes = 16'384;
constexpr Duration kEndlessInterval = std::chrono::milliseconds(5);
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

}  // namespace

std::uint32_t buildOf(const FleetSite& site, std::uint32_t engine, std::uint64_t started_ms) {
  if (!site.releases.empty()) {
    const TimePoint started_at{std::chrono::milliseconds(started_ms)};
    const auto next = std::upper_bound(site.releases.begin(), site.releases.end(), started_at);
    return static_cast<std::uint32_t>(next - site.releases.begin());
  }
  return static_cast<std::uint32_t>(combineHashes(engine, started_ms) % site.builds);
}

std::uint64_t eventCount(BodyId body) {
  return kEventsBeforeCrash + 1 + mixBits(body) % kMaxEvents;
}

EngineProcess::EngineProcess(FleetContext& context, StoreNode& store, std::uint32_t number)
    : context_(context),
      store_(store),
      number_(number),
      host_(fmt::format("engine-{}", number), {fmt::format("zone-{}", number % context.site.zones), "region"},
            context.queue),
      address_(fmt::format("10.2.0.{}:80", number)) {}

std::string EngineProcess::incarnationName() const {
  return fmt::format("i-{}#{}", number_, started_ms_);
}

std::uint32_t EngineProcess::freeSlots() const {
  if (!host_.up() || host_.paused()) return 0;
  return running_ < context_.site.engine_slots ? context_.site.engine_slots - running_ : 0;
}

void EngineProcess::start() {
  host_.start();
  started_ms_ =
      static_cast<std::uint64_t>(context_.queue.now().time_since_epoch() / std::chrono::milliseconds(1));
  running_ = 0;
  leaving_ = false;
  rejects_until_ = TimePoint{};
  fails_until_ = TimePoint{};
  rejections_.clear();
  context_.trace.note(host_.name(), "starts");
  heartbeat();
}

void EngineProcess::heartbeat() {
  if (leaving_) {
    store_.writeDeparture(host_, number_, announces_departure_);
  } else {
    store_.writeEngine(host_, number_, started_ms_);
  }
  host_.post(kHeartbeat, [this] { heartbeat(); });
}

void EngineProcess::leave(bool announced) {
  if (!host_.up() || std::exchange(leaving_, true)) return;
  context_.trace.note(host_.name(), "leaves, announced: {}", announced);
  announces_departure_ = announced;
  store_.writeDeparture(host_, number_, announced);
  const auto time = context_.random.uniform(kMinLeavingMilliseconds, kMaxLeavingMilliseconds);
  host_.post(std::chrono::milliseconds(time), [this] { endWhenIdle(); });
}

void EngineProcess::endWhenIdle() {
  if (!runs_.empty() || !in_transit_.empty()) {
    return host_.post(kIdleCheckInterval, [this] { endWhenIdle(); });
  }
  context_.network.crash(host_, false);
  context_.queue.after(std::chrono::milliseconds(kMinRestartMilliseconds), [this] { start(); });
}

void EngineProcess::crash(bool silent, std::optional<BodyId> cause, bool by_rejections) {
  if (!host_.up()) return;
  EngineCrash record;
  record.engine = number_;
  record.at = context_.queue.now();
  record.silent = silent;
  record.cause = cause;
  record.by_rejections = by_rejections;
  for (const auto& [index, run] : runs_) {
    record.interrupted_runs.push_back(index);
    context_.records.runs[index].ended_at = record.at;
  }
  for (const std::size_t index : in_transit_) {
    record.interrupted_runs.push_back(index);
    context_.records.runs[index].ended_at = record.at;
  }
  in_transit_.clear();
  context_.trace.note(host_.name(), "crashes with {} requests", runs_.size());
  context_.records.crashes.push_back(std::move(record));
  runs_.clear();
  queue_.clear();
  context_.network.crash(host_, silent);
  const auto delay = context_.random.uniform(kMinRestartMilliseconds, kMaxRestartMilliseconds);
  context_.queue.after(std::chrono::milliseconds(delay), [this] { start(); });
}

void EngineProcess::send(const Run& run, sim::Task deliver) {
  run.channel->send(sim::Side::Server, std::move(deliver));
}

std::size_t EngineProcess::onRequestWritten(const EngineRequest& request) {
  EngineRun record;
  record.attempt = request.attempt;
  record.body = request.body;
  record.engine = number_;
  record.engine_start = host_.epoch();
  record.build = buildOf(context_.site, number_, started_ms_);
  record.resume_after = request.resume_after;
  record.gateway = request.gateway;
  record.sent_at = request.sent_at;
  record.admitted_at = request.admitted_at;
  record.confirmed_at = request.confirmed_at;
  const std::size_t index = context_.records.runs.size();
  context_.records.runs.push_back(record);
  if (host_.up()) {
    in_transit_.insert(index);
    return index;
  }
  // The connection was to a process that has crashed in the meantime, so the request counts to that crash.
  const auto last = std::find_if(context_.records.crashes.rbegin(), context_.records.crashes.rend(),
                                 [this](const EngineCrash& crash) { return crash.engine == number_; });
  if (last != context_.records.crashes.rend()) last->interrupted_runs.push_back(index);
  context_.records.runs[index].ended_at = context_.queue.now();
  return index;
}

void EngineProcess::onRequest(std::size_t record, const sim::ChannelPointer& channel,
                              const EngineRequest& request, const EngineResponseHandlers& response) {
  in_transit_.erase(record);
  context_.records.runs[record].arrived_at = context_.queue.now();
  if (failsRequest(record, channel, request, response)) return;
  EngineHead refusal = makeHead(kUnavailable);
  refusal.wrong_engine = request.expected_engine != incarnationName();
  const bool pauses = !refusal.wrong_engine && rejectsRequests() && context_.random.chance(rejected_share_);
  const bool is_full = !refusal.wrong_engine && !pauses && runs_.size() >= capacity();
  if (is_full && fallsOver(request.gateway)) {
    in_transit_.insert(record);  // Its connection breaks like those of the running requests.
    return crash(false, std::nullopt, true);
  }
  refusal.not_run = pauses || is_full;
  if (pauses) refusal.pause = asked_pause_;
  context_.records.runs[record].rejected = pauses;
  if (refusal.wrong_engine) refusal.status = kMisdirected;
  if (refusal.wrong_engine || refusal.not_run) return reject(record, channel, refusal, response);
  const auto run = std::make_shared<Run>();
  run->record = record;
  run->request = request;
  run->response = response;
  run->channel = channel;
  run->next_event = request.resume_after + 1;
  run->events = eventCount(request.body);
  run->endless = context_.queue.now() < fails_until_ && failure_ == EngineFailure::endless_event &&
                 request.kind == RequestKind::resumable_stream && context_.random.chance(failed_share_);
  runs_.emplace(run->record, run);
  queue_.push_back(run);
  channel->onClosed(sim::Side::Server, [this, run] { onDisconnected(run); });
  startNext();
}

const BrittlePeriod* EngineProcess::brittlePeriod() const {
  const auto& periods = context_.records.brittle_periods;
  const bool is_brittle = !periods.empty() && context_.queue.now() < periods.back().to;
  return is_brittle ? &periods.back() : nullptr;
}

/// @return number of requests that the engine takes, waiting ones included.
std::size_t EngineProcess::capacity() const {
  const std::size_t slots = context_.site.engine_slots;
  const BrittlePeriod* brittle = brittlePeriod();
  const bool is_cut = brittle != nullptr && context_.queue.now() >= brittle->from + kBrittleWarningTime;
  return is_cut ? slots + kBrittleQueue : slots * (1 + kQueuePerSlot);
}

/// The engine rejects a request of the gateway for want of room.
/// @return whether that is one too many.
bool EngineProcess::fallsOver(std::uint32_t gateway) {
  const TimePoint now = context_.queue.now();
  while (!rejections_.empty() && now - rejections_.front().first >= kRejectionWindow) rejections_.pop_front();
  rejections_.emplace_back(now, gateway);
  const BrittlePeriod* brittle = brittlePeriod();
  const bool may_fall = brittle != nullptr && now >= brittle->from + kBrittleWarningTime;
  if (!may_fall || rejections_.size() <= brittle->tolerated_rejections) return false;
  EngineFall fall{number_, now, {}};
  for (const auto& [at, sender] : rejections_) fall.rejected.push_back(sender);
  context_.records.falls.push_back(std::move(fall));
  return true;
}

EngineHead EngineProcess::makeHead(int status) const {
  EngineHead head;
  if (const BrittlePeriod* brittle = brittlePeriod())
    head.tolerated_rejections = brittle->tolerated_rejections;
  head.status = status;
  head.leaving = leaving_ && context_.site.states_departures;
  head.engine = number_;
  head.engine_start = host_.epoch();
  head.sent_at = context_.queue.now();
  return head;
}

void EngineProcess::reject(std::size_t record, const sim::ChannelPointer& channel, EngineHead head,
                           const EngineResponseHandlers& response) {
  context_.records.runs[record].ended_at = context_.queue.now();
  channel->send(sim::Side::Server, [response, head] {
    response.on_head(head);
    response.on_end();
  });
}

void EngineProcess::rejectRequests(double share, Duration time, Duration pause) {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "rejects {:.2f} of its requests for {:.3f} s", share, toSeconds(time));
  rejected_share_ = share;
  rejects_until_ = context_.queue.now() + time;
  asked_pause_ = pause;
}

bool EngineProcess::rejectsRequests() const {
  return context_.queue.now() < rejects_until_;
}

void EngineProcess::failRequests(EngineFailure failure, double share, Duration time) {
  if (!host_.up()) return;
  context_.trace.note(host_.name(), "fails {:.2f} of its requests for {:.3f} s", share, toSeconds(time));
  failure_ = failure;
  failed_share_ = share;
  fails_until_ = context_.queue.now() + time;
}

bool EngineProcess::failsRequest(std::size_t record, const sim::ChannelPointer& channel,
                                 const EngineRequest& request, const EngineResponseHandlers& response) {
  if (context_.queue.now() >= fails_until_) return false;
  const bool has_events = request.kind == RequestKind::resumable_stream;
  if (failure_ == EngineFailure::endless_event && has_events) return false;  // Fails when it runs.
  if (!context_.random.chance(failed_share_)) return false;
  EngineHead head = makeHead(kInternalError);
  head.not_run = failure_ == EngineFailure::rejected;
  head.wrong_engine = failure_ == EngineFailure::misdirected;
  if (head.not_run) head.status = kUnavailable;
  if (head.wrong_engine) head.status = kMisdirected;
  reject(record, channel, head, response);
  return true;
}

void EngineProcess::onProbe(const sim::ChannelPointer& channel, const sim::Task& response) {
  channel->send(sim::Side::Server, response);
  channel->close(sim::Side::Server);
}

void EngineProcess::onCacheCall(const sim::ChannelPointer& channel, const sim::Task& response) {
  host_.post(kCacheEventsWait, [this, channel, response] { onProbe(channel, response); });
}

void EngineProcess::startNext() {
  while (running_ < context_.site.engine_slots && !queue_.empty()) {
    const RunPointer run = queue_.front();
    queue_.pop_front();
    if (runs_.contains(run->record)) startRun(run);
  }
}

bool EngineProcess::crashesAt(const Run& run, PoisonEffect point) const {
  for (const PoisonRequest& poison : context_.site.poison) {
    if (poison.body == run.request.body) return poison.effect == point;
  }
  return false;
}

void EngineProcess::startRun(const RunPointer& run) {
  run->running = true;
  ++running_;
  context_.records.runs[run->record].started_at = context_.queue.now();
  if (crashesAt(*run, PoisonEffect::on_start)) return crash(false, run->request.body);
  const bool stream = run->request.kind == RequestKind::resumable_stream;
  const std::uint64_t max_milliseconds = stream ? kMaxPrefillMilliseconds : kMaxPlainMilliseconds;
  const auto time = std::chrono::milliseconds(context_.random.uniform(10, max_milliseconds));
  host_.post(time / 2, [this, run] {
    if (runs_.contains(run->record) && crashesAt(*run, PoisonEffect::midway)) crash(false, run->request.body);
  });
  host_.post(time, [this, run] { sendHead(run); });
}

void EngineProcess::sendHead(const RunPointer& run) {
  if (!runs_.contains(run->record)) return;
  EngineHead head = makeHead(kOk);
  head.event_stream = run->request.kind == RequestKind::resumable_stream;
  send(*run, [response = run->response, head] { response.on_head(head); });
  if (run->endless) return sendEndlessEvent(run);
  if (head.event_stream) return sendEvents(run);
  // A poison request without events crashes the engine between the head and the body of its response.
  if (crashesAt(*run, PoisonEffect::after_first_bytes)) return crash(false, run->request.body);
  send(*run, [response = run->response] { response.on_bytes("{}"); });
  finish(run, true);
}

void EngineProcess::sendEvents(const RunPointer& run) {
  if (!runs_.contains(run->record)) return;
  const bool crash_due = run->next_event > kEventsBeforeCrash;
  if (crash_due && crashesAt(*run, PoisonEffect::after_first_bytes)) return crash(false, run->request.body);
  if (run->next_event > run->events) return finish(run, true);
  const std::string event = fmt::format("id: {}\ndata: x\n\n", run->next_event++);
  send(*run, [response = run->response, event] { response.on_bytes(event); });
  const auto gap = std::chrono::milliseconds(context_.random.uniform(10, kMaxEventGapMilliseconds));
  host_.post(gap, [this, run] { sendEvents(run); });
}

void EngineProcess::sendEndlessEvent(const RunPointer& run) {
  if (!runs_.contains(run->record)) return;
  send(*run, [response = run->response] { response.on_bytes(std::string(kEndlessPieceBytes, 'x')); });
  host_.post(kEndlessInterval, [this, run] { sendEndlessEvent(run); });
}

void EngineProcess::finish(const RunPointer& run, bool complete) {
  if (runs_.erase(run->record) == 0) return;
  EngineRun& record = context_.records.runs[run->record];
  record.ended_at = context_.queue.now();
  record.complete = complete;
  if (run->running) --running_;
  if (complete) {
    send(*run, [response = run->response] { response.on_end(); });
  }
  startNext();
}

/// The gateway closed the connection, or the connection broke.
void EngineProcess::onDisconnected(const RunPointer& run) {
  finish(run, false);
}

}  // namespace crankspur::gateway_sim
