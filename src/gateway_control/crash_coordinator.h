#pragma once
/// @file What the control side of a gateway does about poison requests: merges the evidence of its own
/// traffic, of other gateways and of the store's record, and tells it on. Pure decision code: (event, now) to
/// actions.

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

/// Tells this gateway's traffic what it did not know.
struct NotifyTraffic {
  CrashUpdate update;
};

/// Calls the store; answered by onRecordRead() or onRecordWritten().
struct CallStore {
  CrashRecordCall call;
};

using CrashAction = std::variant<SendCrashMessage, NotifyTraffic, CallStore>;

/// See the file comment. Not thread-safe.
class CrashCoordinator {
public:
  CrashCoordinator(std::uint64_t random_seed, TimePoint now, const CrashPolicy& policy = {});

  /// This gateway's traffic learnt something.
  /// @param members the other gateways that may have clients.
  void onOwnUpdate(const CrashUpdate& update, const std::vector<std::string>& members, TimePoint now);
  /// The control loop is running; to be told ten times a second.
  void onRunning(TimePoint now);
  /// Notes that may have waited to be read while this process stood still are dropped: their ages are of when
  /// they were sent. The digests bring them again.
  void onNotes(const CrashNotes& notes, TimePoint now);
  void onDigest(const std::string& sender, const CrashDigest& digest, TimePoint now);
  /// A gateway became known, or is back.
  void onMemberJoined(TimePoint now) { exchange_.onMemberJoined(now); }
  /// @param record empty: the store did not answer.
  void onRecordRead(const std::optional<StoredRecord>& record, TimePoint now);
  void onRecordWritten(bool written, TimePoint now);
  /// @param members as above.
  void onTimer(const std::vector<std::string>& members, TimePoint now);
  TimePoint nextTimer() const;

  /// @return actions since the last call, in their order.
  std::vector<CrashAction> takeActions() { return std::exchange(actions_, {}); }
  /// False: requests that the record quarantines may not be known yet, so that nothing is served.
  bool isReady(TimePoint now) const { return record_.isReady(now); }
  std::uint64_t digest() const { return exchange_.digest(); }

private:
  void take(CrashUpdate update, TimePoint now);
  void callStore(TimePoint now);

  CrashExchange exchange_;
  CrashRecord record_;
  TimePoint digest_at_;
  TimePoint ran_at_;           ///< When the control loop was last known to run.
  TimePoint reads_old_until_;  ///< After a stall: until what waited meanwhile has been read.
  std::vector<CrashAction> actions_;
};

}  // namespace crankspur::gateway
