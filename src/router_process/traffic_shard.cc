#include "router_process/traffic_shard.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "base/timer.h"
#include "table_service/row_codec.h"

namespace crankspur {

namespace {

/// A stream without data for this time, including time in the engine's queue, counts as lost. The deadline of
/// the request and the limits of RequestRouter usually take effect earlier.
constexpr Duration kStreamIdleTimeout = std::chrono::minutes(5);

}  // namespace

TrafficShard::TrafficShard(TrafficShardOptions options, TrafficShardCallbacks callbacks, EventLog& log,
                           RouterMetrics& metrics)
    : options_(std::move(options)),
      table_share_(options_.fleet_table_rate, options_.shard_count),
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
    // Spreads the calls of processes that start together; otherwise they would stay synchronized.
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
    updateTableLimit(*snapshot);
    router_->onSnapshot(snapshot, now());
    executeActions();
  });
}

void TrafficShard::updateTableLimit(const RoutingSnapshot& snapshot) {
  // The machine list contains both back ends and routers; until it arrives, the router count only includes
  // this router.
  const bool fleet_known = !snapshot.engines.empty() || !snapshot.runners.empty();
  if (!table_ || !fleet_known) return;
  table_share_.recordRouterCount(snapshot.router_count, now());
  table_->setLimit(table_share_.callerLimit());
}

void TrafficShard::postSubmit(SidecarId sidecar, SubmitRequest request) {
  ++in_flight_;
  thread_.post([this, sidecar, request = std::move(request)] {
    ++counted_in_flight_;
    metrics_.requests.Increment();
    reportSent(request.request_id);
    router_->onSubmit(sidecar, request, now());
    executeActions();
  });
}

void TrafficShard::postCancel(SidecarId sidecar, const Cancel& cancel) {
  thread_.post([this, sidecar, cancel] {
    reportSent(cancel.request_id);
    router_->onCancel(sidecar, cancel, now());
    executeActions();
  });
}

void TrafficShard::postSidecarLost(SidecarId sidecar) {
  thread_.post([this, sidecar] {
    reportAllSent();
    router_->onSidecarLost(sidecar, now());
    executeActions();
  });
}

void TrafficShard::postCacheUpdate(std::shared_ptr<const EngineCacheUpdate> update) {
  thread_.post([this, update = std::move(update)] {
    if (update->is_digest) {
      router_->onCacheDigest(update->slot, update->incarnation, update->digest_sequence,
                             update->digest_blocks, now());
    }
    bool gap = false;
    for (const CacheEvent& event : update->events) {
      gap = !router_->onCacheEvent(update->slot, update->incarnation, event, now()) || gap;
    }
    if (gap) callbacks_.on_cache_gap(update->slot, update->incarnation);
    executeActions();
  });
}

void TrafficShard::postGroupClaim(std::uint64_t claim, const GroupClaimDecision& decision) {
  thread_.post([this, claim, decision] {
    router_->onGroupClaim(claim, decision, now());
    executeActions();
  });
}

void TrafficShard::postDrain() {
  thread_.post([this] {
    router_->drain(now());
    executeActions();
  });
}

void TrafficShard::postExplain(const std::string& request_id,
                               std::function<void(std::optional<DecisionRecord>)> done) {
  thread_.post([this, request_id, done = std::move(done)] { done(router_->explain(request_id)); });
}

void TrafficShard::executeActions() {
  std::vector<RouterAction> actions = router_->takeActions();
  while (!actions.empty()) {
    for (RouterAction& action : actions) execute(std::move(action));
    actions = router_->takeActions();
  }
  if (!messages_.empty()) callbacks_.on_messages(std::exchange(messages_, {}));
  updateInFlight();
  armTimer();
}

/// To be called after the messages were delivered to on_messages: a planned shutdown closes the connections
/// once nothing is in flight.
void TrafficShard::updateInFlight() {
  const std::size_t in_flight = router_->inFlight();
  in_flight_ += in_flight - counted_in_flight_;
  counted_in_flight_ = in_flight;
}

void TrafficShard::execute(RouterAction action) {
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
  } else if (const auto* claim = std::get_if<GroupClaimCall>(&action)) {
    metrics_.group_claims.Increment();
    callbacks_.on_group_claim(claim->request);
  } else if (const auto* notice = std::get_if<GroupClaimNotice>(&action)) {
    callbacks_.on_group_notice(*notice);
  } else if (const auto* event = std::get_if<LogEvent>(&action)) {
    if (event->event == EventId::ClaimGrantedByGroup) metrics_.claims_without_table.Increment();
    log_.write(event->event, event->fields);
  }
}

void TrafficShard::dispatchCompletion(const DispatchCompletion& dispatch) {
  metrics_.dispatches.Increment();
  ActiveDispatch& active = active_dispatches_[dispatch.dispatch];
  active.address = dispatch.address;
  active.request_id = dispatch.request.request_id;
  active.attempt = dispatch.request.attempt;
  active.slot = dispatch.engine;
  active.incarnation = dispatch.expected_incarnation;
  active.is_engine = true;
  active.started_at = now();
  if (const auto record = router_->explain(active.request_id)) {
    active.expected_first_token = record->decision.expected_first_token;
  }
  const DispatchId id = dispatch.dispatch;
  unreported_dispatches_.emplace(active.request_id, id);
  const auto handler = [this, id](const BackendEvent& event) { onBackend(id, event); };
  if (!dispatch.resume) {
    active.stream = engines_->complete(dispatch, handler);
    return;
  }
  EngineResumeRequest resume;
  resume.request_id = dispatch.request.request_id;
  resume.attempt = dispatch.request.attempt;
  resume.expect_incarnation = dispatch.expected_incarnation;
  resume.offset = dispatch.request.resume_offset;
  active.stream = engines_->resume(dispatch.address, resume, handler);
}

void TrafficShard::dispatchOperation(const DispatchOperation& dispatch) {
  metrics_.dispatches.Increment();
  ActiveDispatch& active = active_dispatches_[dispatch.dispatch];
  active.address = dispatch.address;
  active.request_id = dispatch.request.request_id;
  active.attempt = dispatch.request.attempt;
  active.started_at = now();
  const DispatchId id = dispatch.dispatch;
  unreported_dispatches_.emplace(active.request_id, id);
  active.call = runners_->execute(dispatch, [this, id](const BackendEvent& event) { onBackend(id, event); });
}

void TrafficShard::cancelDispatch(DispatchId dispatch) {
  const auto found = active_dispatches_.find(dispatch);
  if (found == active_dispatches_.end()) return;
  const ActiveDispatch active = std::move(found->second);
  active_dispatches_.erase(found);
  removeUnreported(active.request_id, dispatch);
  if (active.stream) active.stream->close();
  if (active.call) active.call->close();
  if (active.is_engine) engines_->cancel(active.address, active.request_id, active.attempt);
}

void TrafficShard::onBackend(DispatchId dispatch, const BackendEvent& event) {
  const auto found = active_dispatches_.find(dispatch);
  if (found == active_dispatches_.end()) return;
  ActiveDispatch& active = found->second;
  removeUnreported(active.request_id, dispatch);
  reportOutcome(active, event);
  const bool last = std::holds_alternative<BackendEnd>(event) ||
                    std::holds_alternative<BackendRefused>(event) ||
                    std::holds_alternative<BackendLost>(event);
  // The dispatch owns the stream or call whose handler is running, so it must outlive this function.
  const ActiveDispatch ended = last ? std::move(active) : ActiveDispatch();
  if (last) active_dispatches_.erase(found);
  router_->onBackend(dispatch, event, now());
  executeActions();
}

void TrafficShard::reportOutcome(ActiveDispatch& active, const BackendEvent& event) {
  if (const auto* accepted = std::get_if<BackendAccepted>(&event)) {
    metrics_.prompt_tokens.Increment(static_cast<double>(accepted->prompt_tokens));
    metrics_.cached_tokens.Increment(static_cast<double>(accepted->cached_tokens));
  }
  if (std::holds_alternative<BackendRefused>(event)) metrics_.dispatches_refused.Increment();
  const auto* lost = std::get_if<BackendLost>(&event);
  if (lost != nullptr) metrics_.dispatches_lost.Increment();
  if (!active.is_engine) return;
  EngineOutcome outcome{active.slot, active.incarnation, OutcomeKind::Answered, Duration(0)};
  if (lost != nullptr) {
    outcome.kind = lost->bytes_sent ? OutcomeKind::Lost : OutcomeKind::ConnectFailed;
    callbacks_.on_outcome(outcome);
  } else if (std::holds_alternative<BackendPiece>(event) && !active.responded) {
    active.responded = true;
    outcome.lateness = now() - active.started_at - active.expected_first_token;
    callbacks_.on_outcome(outcome);
  }
}

/// The HTTP client does not report when the first byte is sent. Unless it has reported a failed connect,
/// bytes count as sent in every decision that could report "not run" to a caller.
void TrafficShard::reportSent(const std::string& request_id) {
  const auto [begin, end] = unreported_dispatches_.equal_range(request_id);
  std::vector<DispatchId> sent;
  for (auto entry = begin; entry != end; ++entry) sent.push_back(entry->second);
  unreported_dispatches_.erase(begin, end);
  for (const DispatchId id : sent) router_->onDispatchSent(id, now());
}

void TrafficShard::reportAllSent() {
  const auto unreported = std::exchange(unreported_dispatches_, {});
  for (const auto& [request_id, id] : unreported) router_->onDispatchSent(id, now());
}

void TrafficShard::removeUnreported(const std::string& request_id, DispatchId dispatch) {
  const auto [begin, end] = unreported_dispatches_.equal_range(request_id);
  const auto found =
      std::find_if(begin, end, [dispatch](const auto& item) { return item.second == dispatch; });
  if (found != end) unreported_dispatches_.erase(found);
}

void TrafficShard::callTable(const ClaimTableCall& call) {
  const std::uint64_t claim = call.claim;
  if (!table_) {
    thread_.post([this, claim] {
      router_->onClaimFailed(claim, now());
      executeActions();
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
  executeActions();
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
  executeActions();
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
    reportAllSent();
    router_->onTimer(now());
    executeActions();
  });
}

}  // namespace crankspur
