#pragma once
/// @file At-most-once claims for work that must not be repeated. Decision logic only, without I/O.
/// A claim row is inserted in the table service before dispatch, keyed by tenant and idempotency key. When
/// the response to a write is lost, the attempt token distinguishes this attempt's claim from that of
/// another.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace crankspur {

/// Content of a claim row.
struct ClaimRow {
  enum class Phase { Claimed, Done, Released } phase = Phase::Claimed;
  std::string token;              ///< Attempt token of the claimant.
  std::string body_hash;          ///< Distinguishes requests with different content under one key.
  std::string result;             ///< The recorded response when Done.
  std::uint64_t row_version = 0;  ///< 0 when the row is absent.
};

/// Table operation that a claim requests from its driver.
struct ClaimAction {
  enum class Kind { Read, CompareAndSet } kind = Kind::Read;
  std::string key;  ///< Key of the table row.
  ClaimRow write;
  std::uint64_t expected_version = 0;  ///< 0: the row must be absent.
};

/// How a claim attempt ended.
struct ClaimOutcome {
  enum class Kind {
    Granted,      ///< Dispatch may begin, once.
    AlreadyDone,  ///< The work is done; `result` holds the recorded response.
    HeldByOther,  ///< Another attempt holds the claim; whether its work ran is unknown.
    KeyReused,    ///< The key belongs to a request with different content; nothing was dispatched.
    Unavailable,  ///< The table did not decide in time; nothing was dispatched.
  } kind = Kind::Unavailable;
  std::string result;
};

/// One claim attempt: acquire, then complete() after the work, or release() only when the work did not run.
class Claim {
public:
  virtual ~Claim() = default;
  /// @return the table operation that is due now, if any; at most one is outstanding.
  virtual std::optional<ClaimAction> poll(TimePoint now) = 0;
  virtual void onRead(const ClaimRow& row, TimePoint now) = 0;
  /// @param row_version the row's version after a committed write; 0 when unknown to the driver.
  virtual void onWritten(bool committed, TimePoint now, std::uint64_t row_version = 0) = 0;
  /// The table did not respond. A write may have taken effect, so the row is read before any further step.
  virtual void onFailed(TimePoint now) = 0;
  /// @return the outcome once decided.
  virtual std::optional<ClaimOutcome> outcome() const = 0;
  /// The work ran; records its response.
  virtual void complete(std::string result, TimePoint now) = 0;
  /// The work did not run and never will under this claim; lets a later attempt claim again. Must also be
  /// called after Unavailable, since a write without a response may have taken effect or may do so later.
  virtual void release(TimePoint now) = 0;
  /// The claim group granted the claim, which requires no decision of the table. The claim counts as Granted
  /// from now on unless the table has already decided otherwise.
  virtual void grantWithoutTable(TimePoint now) = 0;
  /// @return whether nothing remains to be written.
  virtual bool isFinished() const = 0;
  /// @return when poll() is due next; TimePoint::max() when no operation is planned.
  virtual TimePoint nextTimer() const = 0;
};

/// @return the key of the table row for a tenant's idempotency key. Distinct pairs have distinct keys.
std::string claimKey(const std::string& tenant, const std::string& idempotency_key);

/// @param key key of the table row; see claimKey().
/// @param token unique to this claim object across all routers and their restarts.
/// @param deadline time after which an undecided claim is Unavailable.
/// @param body_hash hash of the request's content; a row with a different hash results in KeyReused.
std::unique_ptr<Claim> makeClaim(std::string key, std::string token, TimePoint deadline,
                                 std::uint64_t random_seed, std::string body_hash = {});

/// Reads the row without writing, for a key whose claim the claim group granted to another attempt. The
/// outcome is never Granted.
std::unique_ptr<Claim> makeClaimLookup(std::string key, TimePoint deadline, std::uint64_t random_seed,
                                       std::string body_hash);

}  // namespace crankspur
