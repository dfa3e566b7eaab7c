#include "router_process/traffic_shard.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "base/timer.h"
#include "table_service/row_codec.h"

namespace crankspur {

namespace {

/// A stream that is silent for longer has lost its engine. Queueing counts; the request's own deadline and
/// RequestRouter's limits are usually earlier.
constexpr Duration kStreamIdleTimeout = std::chrono::minutes(5);

}  // namespace

TrafficShard::TrafficShard(TrafficShardOptions options, TrafficShardCallbacks callbacks, EventLog& log,
                           RouterMetrics& metrics)
    : options_(std::move(options)),
      table_share_(options_.table_rate, options_.shards),
      callbacks_(std::move(callbacks)),
      log_(log),
      metrics_(metrics),
      http_(http::makeClient(thread_.executor())),
      timer_(thread_.executor()) {
  EngineClientOptions engine_options;
  engine_options.stream_idle_timeout = kStreamIdleTimeout;
  engines_ = makeEngineClient(*http_, clock_, engine_options);
  runners_ = makeAppRunnerClient(*http_);
  if (!options_.table_address.empty()) {
    ServiceOptions service;
    service.address = options_.table_address;
    service.limit = table_share_.callerLimit();
    // Processes that start together must not make their calls in step for ever after.
    service.initial_debt = RandomSource(options_.random_seed).unit();
    table_ = makeTableClient(thread_.executor(), *http_, clock_, service);
  }
  RequestRouterOptions router_options;
  router_options.router_name = options_.router_name;
  router_options.random_seed = options_.random_seed;
  router_options.index_entries = options_.index_entries;
  router_ = makeRequestRouter(std::move(router_options));
}

TrafficShard::~TrafficShard() {
  stop();
}

void TrafficShard::postSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  thread_.post([this, snapshot = std::move(snapshot)] {
    shareTableRate(*snapshot);
    router_->onSnapshot(snapshot, now());
    pump();
  });
}

void TrafficShard::shareTableRate(const RoutingSnapshot& snapshot) {
  // Back ends come by the list that names the routers, too; before it this router only knows itself.
  const bool fleet_known = !snapshot.engines.empty() || !snapshot.runners.empty();
  if (!table_ || !fleet_known) return;
  table_share_.recordRouterCount(snapshot.router_count, now());
  table_->setLimit(table_share_.callerLimit());
}

void TrafficShard::postSubmit(SidecarId sidecar, SubmitRequest request) {
  ++in_flight_;
  thread_.post([this, sidecar, request = std::move(request)] {
    ++counted_;
    metrics_.requests.Increment();
    tellSent(request.request_id);
    router_->onSubmit(sidecar, request, now());
    pump();
  });
}

void TrafficShard::postCancel(SidecarId sidecar, const Cancel& cancel) {
  thread_.post([this, sidecar, cancel] {
    tellSent(cancel.request_id);
    router_->onCancel(sidecar, cancel, now());
    pump();
  });
}

void TrafficShard::postSidecarLost(SidecarId sidecar) {
  thread_.post([this, sidecar] {
    tellAllSent();
    router_->onSidecarLost(sidecar, now());
    pump();
  });
}

void TrafficShard::postCacheNews(std::shared_ptr<const CacheNews> news) {
  thread_.post([this, news = std::move(news)] {
    if (news->is_digest) {
      router_->onCacheDigest(news->slot, news->incarnation, news->digest_sequence, news->digest_blocks,
                             now());
    }
    bool gap = false;
    for (const CacheEvent& event : news->events) {
      gap = !router_->onCacheEvent(news->slot, news->incarnation, event, now()) || gap;
    }
    if (gap) callbacks_.on_cache_gap(news->slot, news->incarnation);
    pump();
  });
}

void TrafficShard::postGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision) {
  thread_.post([this, claim, decision] {
    router_->onGroupClaim(claim, decision, now());
    pump();
  });
}

void TrafficShard::postDrain() {
  thread_.post([this] {
    router_->drain(now());
    pump();
  });
}

void TrafficShard::postExplain(const std::string& request_id,
                               std::function<void(std::optional<DecisionRecord>)> done) {
  thread_.post([this, request_id, done = std::move(done)] { done(router_->explain(request_id)); });
}

void TrafficShard::pump() {
  std::vector<RouterAction> actions = router_->takeActions();
  while (!actions.empty()) {
    for (RouterAction& action : actions) carryOut(std::move(action));
    actions = router_->takeActions();
  }
  if (!messages_.empty()) callbacks_.on_messages(std::exchange(messages_, {}));
  updateInFlight();
  armTimer();
}

/// After the messages were handed over: a planned stop closes the connections once nothing is in flight.
void TrafficShard::updateInFlight() {
  const std::size_t running = router_->inFlight();
  in_flight_ += running - counted_;
  counted_ = running;
}

void TrafficShard::carryOut(RouterAction action) {
  if (auto* send = std::get_if<SendToSidecar>(&action)) {
    if (std::holds_alternative<StreamEnd>(send->message)) metrics_.answers.Increment();
    if (std::holds_alternative<Refusal>(send->message)) metrics_.refusals.Increment();
    messages_.push_back(std::move(*send));
  } else if (const auto* completion = std::get_if<DispatchCompletion>(&action)) {
    dispatchCompletion(*completion);
  } else if (const auto* operation = std::get_if<DispatchOperation>(&action)) {
    dispatchOperation(*operation);
  } else if (const auto* cancel = std::get_if<CancelDispatch>(&action)) {
    cancelDispatch(cancel->dispatch);
  } else if (const auto* call = std::get_if<ClaimTableCall>(&action)) {
    callTable(*call);
  } else if (const auto* asked = std::get_if<GroupClaimCall>(&action)) {
    metrics_.group_claims.Increment();
    callbacks_.on_group_claim(asked->request);
  } else if (const auto* notice = std::get_if<GroupClaimNotice>(&action)) {
    callbacks_.on_group_notice(*notice);
  } else if (const auto* event = std::get_if<LogEvent>(&action)) {
    if (event->event == EventId::ClaimGrantedByGroup) metrics_.claims_without_table.Increment();
    log_.write(event->event, event->fields);
  }
}

void TrafficShard::dispatchCompletion(const DispatchCompletion& dispatch) {
  metrics_.dispatches.Increment();
  Running& running = running_[dispatch.dispatch];
  running.address = dispatch.address;
  running.request_id = dispatch.request.request_id;
  running.attempt = dispatch.request.attempt;
  running.slot = dispatch.engine;
  running.incarnation = dispatch.expected_incarnation;
  running.engine = true;
  running.started_at = now();
  if (const auto record = router_->explain(running.request_id)) {
    running.expected = record->decision.expected_first_token;
  }
  const DispatchId id = dispatch.dispatch;
  untold_.emplace(running.request_id, id);
  const auto handler = [this, id](const BackendEvent& event) { onBackend(id, event); };
  if (!dispatch.resume) {
    running.stream = engines_->complete(dispatch, handler);
    return;
  }
  EngineResumeRequest resume;
  resume.request_id = dispatch.request.request_id;
  resume.attempt = dispatch.request.attempt;
  resume.expect_incarnation = dispatch.expected_incarnation;
  resume.offset = dispatch.request.resume_offset;
  running.stream = engines_->resume(dispatch.address, resume, handler);
}

void TrafficShard::dispatchOperation(const DispatchOperation& dispatch) {
  metrics_.dispatches.Increment();
  Running& running = running_[dispatch.dispatch];
  running.address = dispatch.address;
  running.request_id = dispatch.request.request_id;
  running.attempt = dispatch.request.attempt;
  running.started_at = now();
  const DispatchId id = dispatch.dispatch;
  untold_.emplace(running.request_id, id);
  running.call = runners_->execute(dispatch, [this, id](const BackendEvent& event) { onBackend(id, event); });
}

void TrafficShard::cancelDispatch(DispatchId dispatch) {
  const auto found = running_.find(dispatch);
  if (found == running_.end()) return;
  const Running running = std::move(found->second);
  running_.erase(found);
  noLongerUntold(running.request_id, dispatch);
  if (running.stream) running.stream->close();
  if (running.call) running.call->close();
  if (running.engine) engines_->cancel(running.address, running.request_id, running.attempt);
}

void TrafficShard::onBackend(DispatchId dispatch, const BackendEvent& event) {
  const auto found = running_.find(dispatch);
  if (found == running_.end()) return;
  Running& running = found->second;
  noLongerUntold(running.request_id, dispatch);
  reportOutcome(running, event);
  const bool last = std::holds_alternative<BackendEnd>(event) ||
                    std::holds_alternative<BackendRefused>(event) ||
                    std::holds_alternative<BackendLost>(event);
  // The handler's owner must outlive the handler's call.
  const Running ended = last ? std::move(running) : Running();
  if (last) running_.erase(found);
  router_->onBackend(dispatch, event, now());
  pump();
}

void TrafficShard::reportOutcome(Running& running, const BackendEvent& event) {
  if (const auto* accepted = std::get_if<BackendAccepted>(&event)) {
    metrics_.prompt_tokens.Increment(static_cast<double>(accepted->prompt_tokens));
    metrics_.cached_tokens.Increment(static_cast<double>(accepted->cached_tokens));
  }
  if (std::holds_alternative<BackendRefused>(event)) metrics_.dispatches_refused.Increment();
  const auto* lost = std::get_if<BackendLost>(&event);
  if (lost != nullptr) metrics_.dispatches_lost.Increment();
  if (!running.engine) return;
  EngineOutcome outcome{running.slot, running.incarnation, OutcomeKind::Answered, Duration(0)};
  if (lost != nullptr) {
    outcome.kind = lost->bytes_sent ? OutcomeKind::Lost : OutcomeKind::ConnectFailed;
    callbacks_.on_outcome(outcome);
  } else if (std::holds_alternative<BackendPiece>(event) && !running.answered) {
    running.answered = true;
    outcome.lateness = now() - running.started_at - running.expected;
    callbacks_.on_outcome(outcome);
  }
}

/// The client does not say when the first byte leaves. Until it reports a failed connect, bytes count as
/// sent for every decision that could tell a caller "not run".
void TrafficShard::tellSent(const std::string& request_id) {
  const auto [begin, end] = untold_.equal_range(request_id);
  std::vector<DispatchId> sent;
  for (auto place = begin; place != end; ++place) sent.push_back(place->second);
  untold_.erase(begin, end);
  for (const DispatchId id : sent) router_->onDispatchSent(id, now());
}

void TrafficShard::tellAllSent() {
  const auto untold = std::exchange(untold_, {});
  for (const auto& [request_id, id] : untold) router_->onDispatchSent(id, now());
}

void TrafficShard::noLongerUntold(const std::string& request_id, DispatchId dispatch) {
  const auto [begin, end] = untold_.equal_range(request_id);
  const auto found =
      std::find_if(begin, end, [dispatch](const auto& item) { return item.second == dispatch; });
  if (found != end) untold_.erase(found);
}

void TrafficShard::callTable(const ClaimTableCall& call) {
  const std::uint64_t claim = call.claim;
  if (!table_) {
    thread_.post([this, claim] {
      router_->onClaimFailed(claim, now());
      pump();
    });
    return;
  }
  const ClaimAction& action = call.action;
  if (action.kind == ClaimAction::Kind::Read) {
    table_->read(action.key, [this, claim](const ReadResult& result) { onClaimRead(claim, result); });
    return;
  }
  TableTransaction transaction{{{action.key, action.expected_version}},
                               {{action.key, encodeClaimRow(action.write)}}};
  if (call.only_without_group) transaction.conditions.push_back({kClaimGroupRowKey, 0});
  table_->commit(transaction,
                 [this, claim](const TransactionResult& result) { onClaimWritten(claim, result); });
}

void TrafficShard::onClaimRead(std::uint64_t claim, const ReadResult& result) {
  const auto* row = std::get_if<TableRow>(&result);
  const std::optional<ClaimRow> decoded = row != nullptr ? decodeClaimRow(*row) : std::nullopt;
  if (decoded) {
    router_->onClaimRead(claim, *decoded, now());
  } else {
    router_->onClaimFailed(claim, now());
  }
  pump();
}

void TrafficShard::onClaimWritten(std::uint64_t claim, const TransactionResult& result) {
  if (const auto* committed = std::get_if<TransactionCommitted>(&result)) {
    const std::uint64_t version = committed->versions.empty() ? 0 : committed->versions.front().version;
    router_->onClaimWritten(claim, true, now(), version);
  } else if (const auto* conflict = std::get_if<TransactionConflict>(&result)) {
    const bool fenced = std::any_of(conflict->rows.begin(), conflict->rows.end(), [](const TableRow& row) {
      return row.key == kClaimGroupRowKey && row.version != 0;
    });
    if (fenced) {
      callbacks_.on_group_found();
      router_->onClaimFenced(claim, now());
    } else {
      router_->onClaimWritten(claim, false, now());
    }
  } else {
    router_->onClaimFailed(claim, now());
  }
  pump();
}

void TrafficShard::armTimer() {
  const auto next = router_->nextTimer();
  if (!next) {
    timer_at_ = TimePoint::max();
    timer_.cancel();
    return;
  }
  if (*next == timer_at_) return;
  timer_at_ = *next;
  expireAt(timer_, *next, now());
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_at_ = TimePoint::max();
    tellAllSent();
    router_->onTimer(now());
    pump();
  });
}

}  // namespace crankspur
