#pragma once
/// @file The decisions of a gateway over the life of client requests: checks, placement, dispatch, answers,
/// failure. Pure decision code: it takes (event, now) and returns actions. One instance per traffic thread;
/// not thread-safe.

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "gateway/backend_table.h"
#include "gateway/crash_suspects.h"
#include "gateway/engine_choice.h"
#include "gateway/gateway_actions.h"
#include "gateway/gateway_settings.h"
#include "gateway/named_weights.h"
#include "gateway/repeat_budget.h"
#include "gateway/request_check.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_observer.h"
#include "gateway/route_shares.h"
#include "gateway/stream_cursor.h"

namespace crankspur::gateway {

/// Counts since the start.
struct GatewayCounters {
  std::uint64_t requests = 0;    ///< Read from clients.
  std::uint64_t dispatches = 0;  ///< Sent to back ends.
  std::uint64_t repeats = 0;     ///< Of these, beyond the first of a request.
  std::uint64_t refused = 0;     ///< Answered as not run.
  std::uint64_t failed = 0;      ///< Answered by the gateway as possibly run, or cut.
  std::uint64_t abandoned = 0;   ///< Clients that left before the end.
};

/// See the file comment. Events change the state and add to the actions that takeActions() hands out.
class Gateway {
public:
  /// @param observer hears of each decision; it must outlive the gateway.
  Gateway(const GatewaySettings& settings, std::uint64_t random_seed,
          RequestObserver& observer = noopObserver());
  Gateway(const Gateway&) = delete;  // Its parts share its random source.
  Gateway& operator=(const Gateway&) = delete;

  void onSnapshot(std::shared_ptr<const GatewaySnapshot> snapshot, TimePoint now);
  void onCachedParts(const CachedPartsNews& news, TimePoint now) { choice_.onCachedParts(news, now); }

  /// Another gateway told what it has at each engine.
  void onPeerWork(const std::string& teller, const LoadDigest& digest, TimePoint now) {
    choice_.onPeerWork(teller, digest, now);
  }
  /// @return what this gateway has at each engine, for the others.
  LoadDigest ownWork() const { return choice_.ownWork(); }
  /// Another gateway told which back ends ended under which requests.
  void onCrashUpdate(const CrashUpdate& news, TimePoint now) { suspects_.merge(news, now); }
  /// @return what this gateway learnt of such requests since the last call, for the others.
  CrashUpdate takeCrashUpdate() { return suspects_.takeUpdate(); }
  bool hasCrashUpdate() const { return suspects_.hasUpdate(); }
  /// @return the other gateways that place requests too.
  std::uint32_t peerCount() const { return snapshot_ == nullptr ? 0 : snapshot_->peer_count; }

  void onRequest(ClientId client, IncomingRequest request, TimePoint now);
  /// The driver answered a request itself that could not be read whole, or had no connection left for it.
  /// @param request_id as far as it was read; may be empty.
  /// @param status that the client got.
  void onUnreadableRequest(const std::string& request_id, int status, TimePoint now);
  void onClientGone(ClientId client, TimePoint now);

  /// The head of an answer came. Until ForwardHead the driver keeps what comes of the body.
  void onHead(ExchangeId exchange, int status, const BackendAnswer& answer, TimePoint now);
  /// Bytes came of an answer for which streamsBody() holds.
  void onBytes(ExchangeId exchange, std::string_view bytes, TimePoint now);
  /// @return whether the driver gives the body's bytes to onBytes(); otherwise it keeps them.
  bool streamsBody(ExchangeId exchange) const;
  /// The body has become larger than the driver keeps.
  void onBodyBufferFull(ExchangeId exchange, TimePoint now);
  /// The answer is complete.
  void onEnd(ExchangeId exchange, TimePoint now);
  /// The exchange broke.
  /// @param sent whether the back end may have got any byte of the request.
  void onLost(ExchangeId exchange, bool sent, TimePoint now);

  /// @param answered whether the back end answered, whatever it said.
  void onProbeResult(std::uint64_t probe, bool answered, TimePoint now);

  /// Open connections to several peers have gone silent for good, while new ones may work. Requests under way
  /// that may be repeated move once they have heard nothing for a while after this.
  void onConnectionsSilent(TimePoint now);

  void onTimer(TimePoint now);
  /// @return when onTimer() has work; empty: not until another event.
  std::optional<TimePoint> nextTimer() const;
  /// @return actions since the last call.
  std::vector<GatewayAction> takeActions() { return std::exchange(actions_, {}); }
  const GatewayCounters& counters() const { return counters_; }

private:
  /// The exchange that a request has under way; exchange 0: none.
  struct ActiveExchange {
    ExchangeId exchange = 0;
    EngineSlot slot = 0;
    std::uint64_t incarnation = 0;
    TimePoint sent_at{};
    TimePoint last_received_at{};
    Duration expected{0};
    DispatchedPrompt prompt;
    bool first_byte = false;
    bool streams_body = false;  ///< Bytes go on as they come.
    bool error_answer = false;
    int status = 0;  ///< Of the answer; 0: none came yet.
  };
  struct Entry {
    ClientId id = 0;
    ClientRequest client;
    RequestFingerprint fingerprint;
    std::shared_ptr<const Configuration> configuration;  ///< Keeps `route` alive.
    const Route* route = nullptr;
    const Pool* pool = nullptr;
    std::string tenant;
    std::string isolated_tenant;
    std::uint32_t priority = 0;
    TimePoint arrived_at{};
    TimePoint deadline{};      ///< When the client or the route waits no longer.
    TimePoint queued_until{};  ///< Set while it waits for a place.
    TimePoint timer_at = TimePoint::max();
    std::vector<EngineSlot> failed;      ///< Back ends that failed it.
    bool isolated = false;               ///< Back ends may have ended because of it.
    TimePoint quarantined_until{};       ///< Set once it is given up for that.
    std::uint32_t backends_reached = 0;  ///< Back ends that it reached.
    std::uint32_t dispatches = 0;
    bool waiting = false;
    bool may_have_run = false;
    bool may_have_arrived = false;  ///< Some back end may have got it: a further dispatch is a repeat.
    bool head_forwarded = false;
    std::optional<StreamCursor> cursor;  ///< Of a resumable stream.
    ActiveExchange active;
    std::string last_backend;                 ///< Id of the one that it was sent to last.
    RequestCause cause = RequestCause::none;  ///< Of the last thing that went wrong.
    std::optional<TimePoint> first_byte_at;   ///< Set once a back end's answer began.
  };

  // Requests and the queue (gateway.cc).
  void admit(Entry& entry, const CheckedRequest& checked, TimePoint now);
  void place(Entry& entry, TimePoint now);
  Choice choose(Entry& entry, TimePoint now);
  ChoiceRequest choiceRequest(const Entry& entry, const Pool& pool);
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
  RepeatBudget& budgetOf(const std::string& pool);

  // Requests that end back ends (gateway_suspects.cc).
  bool checkQuarantine(Entry& entry, TimePoint now);
  bool hasConcurrentAttempt(const Entry& entry);
  std::vector<EngineSlot> slotsOfIsolatedRequests();
  void recordCrash(const Entry& entry, const ActiveExchange& active, TimePoint now);
  void probe(const Entry& entry, const ActiveExchange& active, TimePoint now);
  bool isProbing(const RequestFingerprint& request, TimePoint now) const;
  void recordSignOfLife(const Entry& entry, TimePoint now);
  void recordCompleteResponse(const Entry& entry, TimePoint now);

  // Records for the observer (gateway_records.cc).
  void reportAdmitted(const Entry& entry, TimePoint now);
  void reportPlaced(const Entry& entry, const Choice& choice, TimePoint now);
  void reportWaiting(const Entry& entry, TimePoint now);
  void reportMoved(const Entry& entry, const ActiveExchange& active, int status, bool will_retry,
                   TimePoint now);
  void reportEnded(const Entry& entry, RequestOutcome outcome, int status, Duration retry_after,
                   TimePoint now);

  // Answers and failures (gateway_answers.cc).
  Entry* findExchange(ExchangeId exchange);
  const Entry* findExchange(ExchangeId exchange) const;
  void onNotRun(Entry& entry, int status, const BackendAnswer& answer, TimePoint now);
  void onWrongBackend(Entry& entry, int status, const BackendAnswer& answer, TimePoint now);
  void onErrorResponse(Entry& entry, int status, TimePoint now);
  void onInvalidResponse(Entry& entry, int status, TimePoint now);
  void endExchange(Entry& entry, DispatchOutcome outcome, TimePoint now);
  void cancelExchange(Entry& entry, DispatchOutcome outcome, TimePoint now, bool unanswered = false);
  void discardResponse(Entry& entry, DispatchOutcome outcome, TimePoint now);
  bool mayRepeat(const Entry& entry) const;
  bool consumeRepeatBudget(Entry& entry, TimePoint now);
  void retryOrGiveUp(Entry& entry, const ActiveExchange& failed, int status, TimePoint now);
  void retryElsewhere(Entry& entry, const ActiveExchange& failed, int status, TimePoint now);
  void giveUp(Entry& entry, TimePoint now);
  void recordFirstByte(Entry& entry, TimePoint now);
  TimePoint silenceDeadline(const ActiveExchange& active, TimePoint now) const;
  bool mayBeOnSilentConnection(const ActiveExchange& active) const;
  Duration silenceLimit(const ActiveExchange& active, TimePoint now) const;
  void checkSilence(Entry& entry, TimePoint now);
  void recheckUnresponsiveBackends(TimePoint now);

  GatewaySettings settings_;
  RandomSource random_;
  RequestObserver& observer_;
  std::shared_ptr<const GatewaySnapshot> snapshot_;
  BackendTable table_;
  EngineChoice choice_;
  RouteShares shares_;
  WeightsClock weights_;
  CrashSuspects suspects_;
  /// A question to a back end that broke off.
  struct Probe {
    std::vector<RequestFingerprint> requests;  ///< That it had.
    std::string request_id;                    ///< Of one of them.
    std::string backend;
    std::uint64_t incarnation = 0;
    TimePoint sent_at{};
  };
  std::map<std::uint64_t, Probe> probes_;
  std::uint64_t next_probe_ = 1;
  absl::flat_hash_map<std::string, RepeatBudget> budgets_;
  absl::flat_hash_map<ClientId, std::unique_ptr<Entry>> entries_;
  absl::flat_hash_map<ExchangeId, ClientId> exchanges_;
  std::set<std::pair<TimePoint, ClientId>> timers_;
  std::set<std::pair<std::uint32_t, ClientId>> queue_;  ///< Those that wait, the most urgent first.
  ExchangeId next_exchange_ = 1;
  std::vector<GatewayAction> actions_;
  GatewayCounters counters_;
  TimePoint connections_silent_at_{};  ///< When that was noticed last.
};

}  // namespace crankspur::gateway
