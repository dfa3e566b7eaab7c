#pragma once
/// @file The decisions of a gateway over the lifetime of client requests: checks, placement, dispatch,
/// responses, failures. Pure decision code without I/O: it takes (event, now) and returns actions. One
/// instance per traffic thread; not thread-safe.

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/fleet_quotas.h"
#include "base/random.h"
#include "gateway/backend_limits.h"
#include "gateway/backend_notices.h"
#include "gateway/backend_table.h"
#include "gateway/brittle_backends.h"
#include "gateway/build_confirmations.h"
#include "gateway/crash_suspects.h"
#include "gateway/drain_policy.h"
#include "gateway/engine_choice.h"
#include "gateway/event_boundary.h"
#include "gateway/gateway_actions.h"
#include "gateway/gateway_settings.h"
#include "gateway/named_weights.h"
#include "gateway/peer_relay.h"
#include "gateway/recent_gateways.h"
#include "gateway/recent_stream_routes.h"
#include "gateway/request_check.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_observer.h"
#include "gateway/retry_budget.h"
#include "gateway/route_shares.h"
#include "gateway/run_times.h"
#include "gateway/slack_share.h"
#include "gateway/stream_cursor.h"
#include "gateway/stream_origins.h"
#include "http/message.h"

namespace crankspur::gateway {

/// Counts since the process started.
struct GatewayCounters {
  std::uint64_t requests = 0;    ///< Received from clients.
  std::uint64_t dispatches = 0;  ///< Sent to back ends.
  std::uint64_t repeats = 0;     ///< Dispatches beyond the first of a request.
  std::uint64_t refused = 0;     ///< Refused by the gateway as not run.
  std::uint64_t failed = 0;      ///< Failed as possibly run, or aborted.
  std::uint64_t abandoned = 0;   ///< Clients that disconnected before the end.
};

/// See the file comment. Events change the state and append to the actions that takeActions() returns.
class Gateway {
public:
  /// @param observer is notified of each decision; it must outlive the gateway.
  Gateway(const GatewaySettings& settings, std::uint64_t random_seed,
          RequestObserver& observer = noopObserver());
  Gateway(const Gateway&) = delete;  // Members hold references to random_.
  Gateway& operator=(const Gateway&) = delete;

  void onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot, TimePoint now);
  void onCachedParts(const CachedPartsUpdate& update, TimePoint now) { choice_.onCachedParts(update, now); }

  /// Another gateway reported the requests that it has at each engine.
  void onPeerLoad(const std::string& sender, const LoadDigest& digest, TimePoint now) {
    choice_.onPeerLoad(sender, digest, now);
    quotas_.onReport(sender, digest.tenants, now);
    recordReportedLimits(digest, now);
  }
  /// @return the requests that this gateway has at each engine and its use of quotas, to send to the other
  /// gateways.
  LoadDigest ownLoadDigest(TimePoint now);
  /// @return whether digests have to be sent although this gateway has no load: it takes part in the division
  /// of the limits of back ends.
  bool hasBackendLimits() const { return limits_.any(); }
  /// Another gateway reported which back ends crashed while they ran which requests.
  void onCrashUpdate(const CrashUpdate& update, TimePoint now);
  /// @return what this gateway observed of such requests since the last call, to send to the other gateways.
  CrashUpdate takeCrashUpdate() { return suspects_.takeUpdate(); }
  bool hasCrashUpdate() const { return suspects_.hasUpdate(); }
  /// The platform responded to a ConfirmBuilds action, or did not. The snapshot as of the response was
  /// published before.
  void onBuildsConfirmed(const ConfirmedBuilds& confirmed, TimePoint now);
  /// Another gateway told or asked which builds began streams, or answered.
  void onStreamOrigins(const std::string& sender, const StreamOrigins& message, TimePoint now);
  /// @return messages to other gateways about such streams since the last call.
  std::vector<StreamOriginMessage> takeStreamOrigins() { return origins_.takeMessages(); }
  bool hasStreamOrigins() const { return origins_.hasMessages(); }
  /// @return the number of other gateways that place requests.
  std::uint32_t peerCount() const { return snapshot_ == nullptr ? 0 : snapshot_->peer_count; }

  void onRequest(ClientId client, IncomingRequest request, TimePoint now);
  /// @return whether the configuration allows the request, by its head.
  CheckedRequest check(const IncomingRequest& request, TimePoint now) const {
    return checkRequest(request, snapshot_.get(), now);
  }
  /// The driver responded to a request itself: it could not read it completely, or was at a limit of its own.
  /// @param request_id empty if it was not read.
  /// @param status of the response that the driver sent to the client.
  void onUnreadableRequest(const std::string& request_id, int status, http::RejectionReason reason,
                           TimePoint now);
  void onClientDisconnected(ClientId client, TimePoint now);

  /// The head of a response was received. The driver buffers the body until ForwardHead.
  void onHead(ExchangeId exchange, int status, const BackendResponse& response, TimePoint now);
  /// Body bytes were received of a response for which streamsBody() is true.
  void onBytes(ExchangeId exchange, std::string_view bytes, TimePoint now);
  /// @return whether the driver passes body bytes to onBytes(); otherwise it buffers them.
  bool streamsBody(ExchangeId exchange) const;
  /// The body exceeds the driver's buffer limit.
  void onBodyBufferFull(ExchangeId exchange, TimePoint now);
  /// @return bytes of an incomplete event that are kept until it is complete.
  std::size_t incompleteEventBytes(ExchangeId exchange) const;
  /// The driver has no room for what it would have to hold of the response.
  void onNoMemory(ExchangeId exchange, TimePoint now);
  /// The driver stopped reading the response, because the client does not read, or continues.
  void onReadingPaused(ExchangeId exchange, bool paused, TimePoint now);
  /// The response is complete.
  void onEnd(ExchangeId exchange, TimePoint now);
  /// The exchange failed: no connection could be made, or it broke.
  /// @param sent whether the back end may have received any byte of the request.
  void onLost(ExchangeId exchange, bool sent, TimePoint now);
  /// The exchange failed: the back end sent bytes that are no response, or exceed the limits of one.
  void onUnreadableResponse(ExchangeId exchange, TimePoint now);

  /// Only the first result of a probe counts.
  void onProbeResult(std::uint64_t probe, ProbeOutcome outcome, TimePoint now);

  /// Open connections to several peers have gone silent permanently, while new ones may work. Repeatable
  /// requests in progress are retried on another back end if nothing is received for them for some time after
  /// this.
  void onConnectionsSilent(TimePoint now);

  /// The process stops: requests that would not end in time are refused from now on. May be called again.
  void onDrain(const DrainTimes& times, TimePoint now);
  /// @return whether the request will be refused when it is complete, since the process stops.
  bool isTooLate(const IncomingRequest& request, TimePoint now);
  /// Withdraws the requests that no back end has received yet, which are then refused.
  void recallUnsent();
  /// @return when a client may retry a request that is refused because the process stops.
  Duration retryAfterStop(TimePoint now);
  /// Ends all requests in progress, since the process is about to end.
  void endRequests(TimePoint now);

  void onTimer(TimePoint now);
  /// @return when onTimer() is due next; empty: no timer is set.
  std::optional<TimePoint> nextTimer() const;
  /// @return the actions since the last call, in the order in which they are to be executed.
  std::vector<GatewayAction> takeActions() { return std::exchange(actions_, {}); }
  const GatewayCounters& counters() const { return counters_; }

private:
  /// The exchange in progress of a request; exchange 0: none.
  struct ActiveExchange {
    ExchangeId exchange = 0;
    EngineSlot slot = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t build = 0;  ///< See buildId().
    TimePoint sent_at{};
    TimePoint last_received_at{};
    Duration expected{0};
    std::optional<std::uint64_t> weights;      ///< That the back end was expected to have.
    TimePoint start_by = TimePoint::max();     ///< It may not start later, since its weights are superseded.
    TimePoint complete_by = TimePoint::max();  ///< Limit of an error response that is to be forwarded.
    DispatchedPrompt prompt;
    bool first_byte = false;
    bool body_began = false;       ///< Bytes of the body were received, and passed to onBytes().
    bool reading_paused = false;   ///< Nothing is received because the client does not read.
    bool streams_body = false;     ///< Body bytes are forwarded as they are received.
    bool server_error = false;     ///< The response has a 5xx status.
    bool recalled = false;         ///< RecallUnsent was requested.
    bool limited = false;          ///< It counts towards a limit that the back end named.
    bool relayed = false;          ///< To another gateway; slot, incarnation and prompt have no meaning.
    bool refused_by_peer = false;  ///< The other gateway responded that the request was not run.
    int status = 0;                ///< Of the response; 0: none received yet.
    http::BodyFraming framing = http::BodyFraming::Length;  ///< Of the response.
    std::optional<EventBoundary> events;                    ///< Of a response that is an event stream.

    bool isInsideEvent() const { return events && events->isInsideEvent(); }
    ResponseBodyState bodyState() const {
      if (status == 0) return {};
      return {framing, isInsideEvent()};
    }
  };
  /// Back ends of a pool that were not compared for a request.
  struct PassedOver {
    std::uint32_t backends = 0;
    std::uint32_t paused = 0;  ///< The others' limits have no room.
    Duration time_left{0};     ///< Until the first of them takes requests again.
  };
  /// What back ends may have done with a request, in ascending order.
  enum class Delivery {
    none,          ///< No back end can have received it.
    arrived,       ///< A back end received it and did not run it.
    may_have_run,  ///< A back end may have run it.
  };
  /// A client request in progress.
  struct Entry {
    ClientId id = 0;
    ClientRequest client;
    RequestFingerprint fingerprint;
    std::vector<RequestFingerprint> parts;  ///< Of its prompt, but for the last, which is its own.
    std::shared_ptr<const Configuration> configuration;  ///< Keeps `route` alive.
    const Route* route = nullptr;
    const Pool* pool = nullptr;
    std::string tenant;
    std::string isolated_tenant;
    std::uint32_t priority = 0;
    TimePoint arrived_at{};
    TimePoint deadline{};                   ///< The earlier of the client's and the route's.
    TimePoint queued_until{};               ///< Valid while waiting.
    TimePoint timer_at = TimePoint::max();  ///< Its key in timers_; max: none.
    std::vector<EngineSlot> failed;         ///< Back ends that failed the request.
    double quota_units = 0;                 ///< Charged to the tenant's quota.
    /// The fingerprint, or parts, because of which back ends may have crashed. While there are any, the
    /// request runs isolated.
    std::vector<RequestFingerprint> suspected;
    TimePoint quarantined_until{};       ///< Set when a quarantine prevents its dispatch.
    Duration expected_wait{0};           ///< At the best back end, if that is why it was refused.
    PassedOver passed_over;              ///< At the last placement.
    std::uint32_t backends_reached = 0;  ///< Limited by the route's max_attempts.
    std::uint32_t dispatches = 0;
    bool waiting = false;  ///< Queued for a back end with capacity.
    Delivery delivery = Delivery::none;
    /// Pool in whose retry budget a repeat is reserved, which was decided and not sent yet.
    std::optional<std::string> reserved_retry;
    RetryBudget::Original original = RetryBudget::Original::ended;  ///< The dispatch before that repeat.
    bool head_forwarded = false;
    http::BodyFraming head_framing = http::BodyFraming::Length;  ///< Of the forwarded head.
    std::optional<StreamCursor> cursor;                          ///< Of a resumable stream.
    PoolIds origin_pools;                 ///< That may have begun the stream which the request resumes.
    std::optional<std::uint64_t> origin;  ///< Build that began the stream; empty: no event yet, or any may.
    /// The only build that had served when the stream was resumed: one that is listed later did not begin it.
    std::optional<std::uint64_t> sole_build;
    bool list_confirmed =
        false;  ///< The list of back ends is not older than the request, which resumes a stream.
    ActiveExchange active;
    std::string last_backend;                 ///< Id of the back end that it was sent to last.
    bool from_peer = false;                   ///< Another gateway relayed it to this one.
    std::vector<std::string> relayed_to;      ///< Names of the gateways that it was relayed to.
    RequestCause cause = RequestCause::none;  ///< Of the last failure, wait or refusal.
    std::optional<TimePoint> first_byte_at;   ///< When the first response byte was received.

    void recordDelivery(Delivery latest) { delivery = std::max(delivery, latest); }
    /// @return whether a further dispatch is a repeat.
    bool mayHaveArrived() const { return delivery != Delivery::none; }
    bool mayHaveRun() const { return delivery == Delivery::may_have_run; }
  };

  /// A health request to a back end that may have crashed.
  struct Probe {
    /// Requests that ran at the back end when the connection broke, and their parts.
    std::vector<RequestFingerprint> suspects;
    std::vector<UnobservedEnd> unobserved;  ///< Ends that are evidence if it does not respond.
    std::string request_id;                 ///< Of the first request.
    std::string backend;
    std::string pool;
    std::uint64_t incarnation = 0;
    TimePoint sent_at{};
  };

  // Requests and the queue (gateway.cc).
  void setQuotas(const Configuration& configuration, TimePoint now);
  void admit(Entry& entry, const CheckedRequest& checked, TimePoint now);
  static TimePoint deadlineOf(const Route& route, const ClientRequest& client, TimePoint now);
  bool checkQuota(Entry& entry, const GatewayTenant& tenant, TimePoint now);
  void refundQuota(const Entry& entry, TimePoint now);
  void place(Entry& entry, TimePoint now);
  std::optional<RequestCause> reasonNotToDispatch(Entry& entry, const Choice& choice, TimePoint now) const;
  bool wouldStartTooLate(const Entry& entry, const Choice& choice, TimePoint now) const;
  Choice choose(Entry& entry, TimePoint now);
  ChoiceRequest choiceRequest(const Entry& entry, const Pool& pool, TimePoint now);
  void placeLater(Entry& entry, bool at_capacity, TimePoint now);
  void wait(Entry& entry, TimePoint now);
  void serveQueue(TimePoint now);
  void dispatch(Entry& entry, const Choice& choice, TimePoint now);
  ForwardTerms forwardTerms(const Entry& entry, const Choice& choice, TimePoint now) const;
  void refuse(Entry& entry, TimePoint now);
  void refuseInadmissible(ClientId client, const IncomingRequest& request, const CheckedRequest& checked,
                          TimePoint now);
  Duration retryAfter(const Entry& entry, TimePoint now);
  void finish(Entry& entry);
  void giveUpFor(Entry& entry, RequestCause cause, TimePoint now);
  void scheduleTimer(Entry& entry, TimePoint when);
  void onRequestTimer(Entry& entry, TimePoint now);
  void expire(Entry& entry, TimePoint now);
  Entry* findClient(ClientId client);
  RetryBudget& budgetOf(const std::string& pool);

  // Graceful stop (gateway_drain.cc).
  bool isTooLate(const Route& route, TimePoint deadline, TimePoint now);
  DrainingRequest drainingRequest(const Route& route, TimePoint deadline, TimePoint now);
  void refreshRunning(TimePoint now);

  // Requests that may crash back ends (gateway_suspects.cc).
  bool checkQuarantine(Entry& entry, TimePoint now);
  bool hasConcurrentAttempt(const Entry& entry);
  std::vector<EngineSlot> slotsOfIsolatedRequests();
  std::vector<CrashEvidence> accusedBy(const Entry& entry, const ActiveExchange& active) const;
  TimePoint releaseOf(const RequestFingerprint& part, const CrashVerdict& verdict) const;
  void recordCrash(const Entry& entry, const ActiveExchange& active, TimePoint now);
  void recordUnobservedEnd(const Entry& entry, const ActiveExchange& active, RequestCause cause,
                           TimePoint now);
  void reportConfirmedEnds(TimePoint now);
  void reportSuspected(const Entry& entry, const ActiveExchange& active, const CrashEvidence& evidence,
                       TimePoint now);
  void reportSuspected(RequestSuspected record, const CrashEvidence& evidence, TimePoint now);
  void probeUnobservedEnds(const Entry& entry, const ActiveExchange& active, TimePoint now);
  Probe* sendProbe(const Entry& entry, const ActiveExchange& active, TimePoint now);
  void confirmByProbe(const Probe& probe, TimePoint now);
  bool isProbing(const RequestFingerprint& request, TimePoint now) const;
  void recordSignOfLife(const Entry& entry, TimePoint now);
  void recordCompleteResponse(const Entry& entry, TimePoint now);
  void recordBodyBegin(Entry& entry, TimePoint now);
  void recordPartsAnswered(const Entry& entry, TimePoint now);
  void reportCleared(const Entry& entry, const RequestFingerprint& suspect);

  // Requests relayed through other gateways (gateway_relay.cc).
  PoolReach reachOf(const Pool& pool, TimePoint now) const;
  bool isPartitioned(const Pool& pool, TimePoint now) const;
  bool seemsOutOfReach(const Backend& backend, const Pool& pool, TimePoint now) const;
  void recordUnreached(const Pool& pool, const ActiveExchange& active, TimePoint now);
  bool relay(Entry& entry, TimePoint now);
  void onRelayedHead(Entry& entry, int status, const BackendResponse& response, TimePoint now);
  void onPeerOutOfReach(Entry& entry, TimePoint now);
  void onRelayLost(Entry& entry, bool sent, TimePoint now);
  void probeReach(const Pool& pool, TimePoint now);
  void sendReachProbes(const std::string& pool, const std::string& path, std::size_t count, TimePoint now);
  bool onReachProbeResult(std::uint64_t probe, bool responded, TimePoint now);

  // Builds that began streams (gateway_streams.cc).
  bool resolveOrigin(Entry& entry, TimePoint now);
  void awaitOrigin(Entry& entry, TimePoint now);
  void confirmBuilds(TimePoint now);
  bool needsConfirmation(const Entry& entry, TimePoint now) const;
  bool isOriginDecidable(const Entry& entry, TimePoint now) const;
  void decideAwaitedOrigins(TimePoint now);
  void checkAwaitedOrigin(Entry& entry, TimePoint now);
  void reportOrigin(const Entry& entry, const StreamOrigin& origin, TimePoint now);
  bool applyOrigin(Entry& entry, const StreamOrigin& origin, TimePoint now);
  void onOriginDecided(Entry& entry, TimePoint now);
  void recordOrigin(Entry& entry, TimePoint now);
  void forgetOrigin(const Entry& entry);
  bool isBuildServed(const Entry& entry, std::uint64_t build, bool may_return) const;
  bool isOriginServed(const Entry& entry) const;
  static RequestCause causeOfUnserved(const Entry& entry);

  // Reports to the observer (gateway_records.cc).
  void reportAdmitted(const Entry& entry, TimePoint now);
  void reportPlaced(const Entry& entry, const Choice& choice, TimePoint now);
  void reportWaiting(const Entry& entry, TimePoint now);
  void reportMoved(const Entry& entry, const ActiveExchange& active, int status, RepeatDecision repeat,
                   TimePoint now);
  void reportEnded(const Entry& entry, RequestOutcome outcome, int status, Duration retry_after,
                   TimePoint now);

  // What back ends state of themselves (gateway_notices.cc).
  void recordStatements(const Entry& entry, const BackendResponse& response, TimePoint now);
  void recordPause(const Entry& entry, const BackendResponse& response, TimePoint now);
  void recordDeparture(const Entry& entry, const BackendResponse& response, TimePoint now);
  void recordBrittleness(const Entry& entry, const BackendResponse& response, TimePoint now);
  std::shared_ptr<const GatewaySnapshot> withStatedDepartures(
      std::shared_ptr<const GatewaySnapshot> listed) const;
  Choice chooseAccepting(Entry& entry, const Pool& pool, TimePoint now);
  bool acceptsRequests(const Backend& backend, TimePoint now);
  void passOver(Entry& entry, const Backend& backend, TimePoint now);
  Duration pauseOfRoute(const Entry& entry, TimePoint now) const;

  // Limits that back ends name (gateway_limits.cc).
  void recordLimit(const Entry& entry, const BackendResponse& response, TimePoint now);
  void recordReportedLimits(const LoadDigest& digest, TimePoint now);
  void updateListedLimits(const GatewaySnapshot& next, TimePoint now);
  void reportLimit(const GatewaySnapshot* snapshot, std::uint64_t incarnation, const LimitChange& change,
                   std::string_view source, TimePoint now);

  // Retries (gateway_retries.cc).
  RepeatDecision decideRepeat(Entry& entry, TimePoint now);
  bool mayRepeat(const Entry& entry) const;
  bool reserveRetry(Entry& entry, TimePoint now);
  bool moveReservedRetry(Entry& entry, const std::string& pool, TimePoint now);
  void countSentRetry(Entry& entry, TimePoint now);
  void retryOrGiveUp(Entry& entry, const ActiveExchange& failed, int status, TimePoint now);
  void retryElsewhere(Entry& entry, const ActiveExchange& failed, int status, RepeatDecision repeat,
                      TimePoint now);

  // Responses and failures (gateway_responses.cc).
  Entry* findExchange(ExchangeId exchange);
  const Entry* findExchange(ExchangeId exchange) const;
  void onNotRun(Entry& entry, int status, const BackendResponse& response, TimePoint now);
  void onWrongBackend(Entry& entry, int status, const BackendResponse& response, TimePoint now);
  void onErrorResponse(Entry& entry, int status, TimePoint now);
  void limitErrorResponse(Entry& entry, TimePoint now);
  void onEndlessEvent(Entry& entry, TimePoint now);
  void forwardHead(Entry& entry);
  bool stopsWithinEvent(const Entry& entry) const;
  bool canForwardEnd(const Entry& entry) const;
  void onUnprovenEnd(Entry& entry, TimePoint now);
  static RequestOutcome outcomeOf(const ActiveExchange& active);
  void onInvalidResponse(Entry& entry, int status, TimePoint now);
  void endExchange(Entry& entry, DispatchOutcome outcome, TimePoint now);
  void cancelExchange(Entry& entry, DispatchOutcome outcome, TimePoint now, bool timed_out = false);
  void discardResponse(Entry& entry, DispatchOutcome outcome, TimePoint now);
  void giveUp(Entry& entry, TimePoint now);
  void recordFirstByte(Entry& entry, TimePoint now);
  TimePoint silenceDeadline(const ActiveExchange& active, TimePoint now) const;
  bool mayBeOnSilentConnection(const ActiveExchange& active) const;
  Duration silenceLimit(const ActiveExchange& active, TimePoint now) const;
  void checkSilence(Entry& entry, TimePoint now);
  void limitStart(Entry& entry, TimePoint now);
  void limitStarts(TimePoint now);
  void withdraw(Entry& entry, TimePoint now);
  void recheckUnresponsiveBackends(TimePoint now);
  void recallFromLeavingBackends();
  void recallFromPausedBackend(std::uint64_t incarnation);
  void recall(ActiveExchange& active);
  void onRecalled(Entry& entry, TimePoint now);

  GatewaySettings settings_;
  RandomSource random_;
  RequestObserver& observer_;
  std::shared_ptr<const GatewaySnapshot> snapshot_;  ///< With the departures that back ends stated.
  BackendTable table_;
  EngineChoice choice_;
  RouteShares shares_;
  DrainPolicy drain_;
  RunTimes run_times_;
  /// While the process stops: the longest time for which a request in progress has run, by route.
  absl::flat_hash_map<std::string, Duration> longest_running_;
  TimePoint running_refreshed_at_{};
  WeightsClock weights_;
  FleetQuotas quotas_;
  BackendLimits limits_;
  BackendNotices notices_;
  RecentGateways recent_gateways_;
  BrittleBackends brittle_{recent_gateways_};
  CrashSuspects suspects_;
  StreamOriginTable origins_;
  BuildConfirmations confirmations_;
  /// What a request that resumes a stream waits for.
  struct AwaitedOrigin {
    std::uint64_t confirmation = 0;  ///< See BuildConfirmations::next().
    TimePoint answers_until{};       ///< Of other gateways.
    TimePoint until{};
  };
  RecentStreamRoutes stream_routes_;
  std::map<ClientId, AwaitedOrigin> awaiting_origin_;
  std::map<std::uint64_t, Probe> probes_;
  std::uint64_t next_probe_ = 1;
  /// Health requests to the back ends of a pool that are not known to be in reach.
  struct ReachProbes {
    TimePoint sent_at{};   ///< The last ones.
    std::size_t sent = 0;  ///< Their number, to probe all back ends in turn.
  };
  /// A health request of these that is pending.
  struct ReachProbe {
    std::string pool;
    EngineSlot slot = 0;
    std::uint64_t incarnation = 0;
  };
  absl::flat_hash_map<std::string, ReachProbes> reach_probes_;  ///< By pool.
  absl::flat_hash_map<std::uint64_t, ReachProbe> pending_reach_probes_;
  PeerRelay peers_{random_};
  SlackShare slack_share_;
  absl::flat_hash_map<std::string, RetryBudget> budgets_;
  absl::flat_hash_map<ClientId, std::unique_ptr<Entry>> entries_;
  /// Ordered, since actions are made while iterating: a seed has to replay them.
  std::map<ExchangeId, ClientId> exchanges_;
  std::set<std::pair<TimePoint, ClientId>> timers_;
  std::set<std::pair<std::uint32_t, ClientId>> queue_;  ///< Waiting requests, most urgent first.
  ExchangeId next_exchange_ = 1;
  std::vector<GatewayAction> actions_;
  GatewayCounters counters_;
  TimePoint connections_silent_at_{};  ///< Time of the last onConnectionsSilent().
};

}  // namespace crankspur::gateway
