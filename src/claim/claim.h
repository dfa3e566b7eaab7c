#pragma once
/// @file At-most-once claims for work that may not be repeated. Pure decision code.
/// A claim row is inserted in the table service before dispatch, keyed by tenant and idempotency key. The
/// attempt token tells one's own lost answer from another's claim.

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
  std::string body_hash;          ///< Tells the request's content from another one under the same key.
  std::string result;             ///< The recorded answer when Done.
  std::uint64_t row_version = 0;  ///< 0 when the row is absent.
};

/// What a claim wants done with the table.
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
    AlreadyDone,  ///< The work was done; `result` holds the recorded answer.
    HeldByOther,  ///< Another attempt holds the claim; whether it ran is unknown to this one.
    KeyReused,    ///< The key belongs to a request with other content; this one was not dispatched.
    Unavailable,  ///< The table did not decide in time; nothing was dispatched.
  } kind = Kind::Unavailable;
  std::string result;
};

/// One claim attempt: claim, then after the work complete or release (release only when truly not run).
class Claim {
public:
  virtual ~Claim() = default;
  /// @return the table action due now, if any; one is outstanding at a time.
  virtual std::optional<ClaimAction> poll(TimePoint now) = 0;
  virtual void onRead(const ClaimRow& row, TimePoint now) = 0;
  /// @param row_version the row's version after a committed write; 0 when the driver does not know it.
  virtual void onWritten(bool committed, TimePoint now, std::uint64_t row_version = 0) = 0;
  /// No answer: the write may have taken effect; the row is read back before anything else.
  virtual void onFailed(TimePoint now) = 0;
  /// @return the outcome once decided.
  virtual std::optional<ClaimOutcome> outcome() const = 0;
  /// The work ran; records its answer.
  virtual void complete(std::string result, TimePoint now) = 0;
  /// The work surely did not run and never will under this claim; lets a later attempt claim again. Also to
  /// be called after Unavailable, since a write without an answer may have taken effect or may do so later.
  virtual void release(TimePoint now) = 0;
  /// The claim group granted the claim, which needs no word of the table: counts as Granted from now on,
  /// unless the table has decided otherwise.
  virtual void grantWithoutTable(TimePoint now) = 0;
  /// @return true when nothing is left to write.
  virtual bool settled() const = 0;
  /// @return when poll() may have something to do; TimePoint::max() while an answer is awaited or none is
  /// due.
  virtual TimePoint nextTimer() const = 0;
};

/// @return the key of the table row for a tenant's idempotency key; different pairs give different keys.
std::string claimKey(const std::string& tenant, const std::string& idempotency_key);

/// @param key key of the table row; see claimKey().
/// @param token unique to this claim object over all routers and all their restarts.
/// @param deadline instant after which the claim is Unavailable.
/// @param body_hash hash of the request's content; a row with another one gives KeyReused.
std::unique_ptr<Claim> makeClaim(std::string key, std::string token, TimePoint deadline,
                                 std::uint64_t random_seed, std::string body_hash = {});

/// Reads the row and writes nothing: for a claim that the claim group gave to another. The outcome is never
/// Granted.
std::unique_ptr<Claim> makeClaimLookup(std::string key, TimePoint deadline, std::uint64_t random_seed,
                                       std::string body_hash);

}  // namespace crankspur
