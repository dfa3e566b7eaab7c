#pragma once
/// @file Handles poison requests on the control side of a gateway: merges the evidence of its own traffic, of
/// other gateways and of the store's record, and forwards it. Pure decision code: (event, now) to actions.

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway_control/crash_exchange.h"
#include "gateway_control/crash_record.h"

namespace crankspur::gateway {

/// Sends a datagram to a gateway; it may be lost.
struct SendCrashMessage {
  std::string member;
  Message message;
};

/// Forwards evidence that is new to this gateway's traffic.
struct NotifyTraffic {
  CrashUpdate update;
};

/// Calls the store; the response goes to onRecordRead() or onRecordWritten().
struct CallStore {
  RecordCall call;
};

using CrashAction = std::variant<SendCrashMessage, NotifyTraffic, CallStore>;

/// See the file comment. Not thread-safe.
class CrashCoordinator {
public:
  CrashCoordinator(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy = {});

  /// This gateway's traffic has new evidence.
  /// @param members the other gateways that may have clients.
  void onOwnUpdate(const CrashUpdate& update, const std::vector<std::string>& members, TimePoint now);
  /// The control loop is running; to be called ten times a second.
  void onRunning(TimePoint now);
  /// Drops notes that may have been queued while this process was stopped: the ages in them count from when
  /// they were sent. The exchange of digests brings their evidence again.
  void onNotes(const CrashNotes& notes, TimePoint now);
  void onDigest(const std::string& sender, const CrashDigest& digest, TimePoint now);
  /// A gateway joined or returned.
  void onMemberJoined(TimePoint now) { exchange_.onMemberJoined(now); }
  /// @param record empty: the store did not respond.
  void onRecordRead(const std::optional<StoredRecord>& record, TimePoint now);
  void onRecordWritten(bool written, TimePoint now);
  /// @param members as for onOwnUpdate().
  void onTimer(const std::vector<std::string>& members, TimePoint now);
  TimePoint nextTimer() const;

  /// @return the actions since the last call, in order.
  std::vector<CrashAction> takeActions() { return std::exchange(actions_, {}); }
  /// @return false: requests that the record quarantines may still be unknown, so that nothing is served.
  bool isReady(TimePoint now) const { return record_.isReady(now); }
  std::uint64_t digest() const { return exchange_.digest(); }

private:
  void merge(CrashUpdate update, TimePoint now);
  void callStore(TimePoint now);

  CrashExchange exchange_;
  CrashRecord record_;
  TimePoint digest_at_;
  TimePoint last_ran_at_;    ///< When the control loop was last known to run.
  TimePoint backlog_until_;  ///< After a stall: until datagrams queued meanwhile have been read.
  std::vector<CrashAction> actions_;
};

}  // namespace crankspur::gateway
