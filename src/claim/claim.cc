#include "claim/claim.h"

#include <algorithm>

#include "base/random.h"

namespace crankspur {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backoff after a call without a response; doubles up to the maximum.
constexpr Duration kInitialBackoff = milliseconds(50);
constexpr Duration kMaxBackoff = seconds(5);
/// Interval between reads while another attempt holds the claim.
constexpr Duration kHolderPollInterval = milliseconds(250);
/// Time to wait for the holder's recorded response before the outcome is HeldByOther.
constexpr Duration kHolderWait = seconds(2);
/// Time after which the write of a result or a release is abandoned.
constexpr Duration kFinishTimeout = hours(2);

/// Claim on one table row. Each step towards `goal_` either reads the row or writes it with compare-and-set.
/// The effect of a write without a response is unknown until the row has been read.
class TableClaim : public Claim {
public:
  TableClaim(std::string key, std::string token, TimePoint deadline, std::uint64_t seed,
             std::string body_hash, bool lookup_only)
      : key_(std::move(key)),
        token_(std::move(token)),
        body_hash_(std::move(body_hash)),
        deadline_(deadline),
        random_(seed),
        must_read_(lookup_only),
        lookup_only_(lookup_only) {}

  std::optional<ClaimAction> poll(TimePoint now) override {
    expire(now);
    if (goal_ == Goal::None || outstanding_ || now < next_step_) return std::nullopt;
    ClaimAction action;
    action.key = key_;
    if (!must_read_) {
      action.kind = ClaimAction::Kind::CompareAndSet;
      action.write = rowToWrite();
      action.expected_version = row_version_;
      written_phase_ = action.write.phase;
      if (written_phase_ == ClaimRow::Phase::Claimed) claim_may_commit_ = true;
    }
    outstanding_ = action.kind;
    return action;
  }

  void onRead(const ClaimRow& row, TimePoint now) override {
    if (outstanding_ != ClaimAction::Kind::Read) return;
    outstanding_.reset();
    backoff_ = kInitialBackoff;
    switch (goal_) {
      case Goal::Acquire:
        return readWhileAcquiring(row, now);
      case Goal::Complete:
        return readWhileCompleting(row);
      case Goal::Release:
        return readWhileReleasing(row);
      case Goal::None:
        return;
    }
  }

  void onWritten(bool committed, TimePoint now, std::uint64_t row_version) override {
    if (outstanding_ != ClaimAction::Kind::CompareAndSet) return;
    outstanding_.reset();
    backoff_ = kInitialBackoff;
    if (!committed) {
      must_read_ = true;
      return;
    }
    if (written_phase_ != ClaimRow::Phase::Claimed) {
      finish();
      return;
    }
    row_version_ = row_version;
    must_read_ = row_version == 0;
    if (goal_ == Goal::Acquire) grantUnlessExpired(now);
  }

  void onFailed(TimePoint now) override {
    if (!outstanding_) return;
    outstanding_.reset();
    must_read_ = true;
    next_step_ =
        now +
        Duration(static_cast<Duration::rep>(random_.uniform(static_cast<std::uint64_t>(backoff_.count() / 2),
                                                            static_cast<std::uint64_t>(backoff_.count()))));
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    expire(now);
  }

  std::optional<ClaimOutcome> outcome() const override { return outcome_; }

  void complete(std::string result, TimePoint now) override {
    if (!outcome_ || outcome_->kind != ClaimOutcome::Kind::Granted || closed_) return;
    result_ = std::move(result);
    startGoal(Goal::Complete, now);
  }

  void release(TimePoint now) override {
    if (closed_) return;
    if (!outcome_) outcome_ = ClaimOutcome{ClaimOutcome::Kind::Unavailable, {}};
    if (!claim_may_commit_) {
      closed_ = true;
      finish();
      return;
    }
    startGoal(Goal::Release, now);
  }

  void grantWithoutTable(TimePoint) override {
    const bool undecided = !outcome_ || outcome_->kind == ClaimOutcome::Kind::Unavailable;
    if (closed_ || lookup_only_ || !undecided) return;
    decide(ClaimOutcome::Kind::Granted);
    must_read_ = true;
    claim_may_commit_ = true;
  }

  bool isFinished() const override { return goal_ == Goal::None && !outstanding_; }

  TimePoint nextTimer() const override {
    if (goal_ == Goal::None) return TimePoint::max();
    const TimePoint limit = goal_ == Goal::Acquire ? deadline_ : finish_by_;
    return outstanding_ ? limit : std::min(next_step_, limit);
  }

private:
  enum class Goal { Acquire, None, Complete, Release };

  ClaimRow rowToWrite() const {
    ClaimRow row;
    row.token = token_;
    row.body_hash = body_hash_;
    row.phase = ClaimRow::Phase::Claimed;
    if (goal_ == Goal::Release) row.phase = ClaimRow::Phase::Released;
    if (goal_ == Goal::Complete) {
      row.phase = ClaimRow::Phase::Done;
      row.result = result_;
    }
    return row;
  }

  bool isOwnClaim(const ClaimRow& row) const {
    return row.row_version != 0 && row.phase == ClaimRow::Phase::Claimed && row.token == token_;
  }

  void writeNext(std::uint64_t expected_version) {
    row_version_ = expected_version;
    must_read_ = false;
  }

  void readWhileAcquiring(const ClaimRow& row, TimePoint now) {
    const bool free = row.row_version == 0 || row.phase == ClaimRow::Phase::Released;
    if (free) return lookup_only_ ? waitForHolder(now) : writeNext(row.row_version);
    if (isOwnClaim(row)) {
      writeNext(row.row_version);
      return grantUnlessExpired(now);
    }
    // The row has moved past every version this claim wrote against, so its unanswered writes can never
    // commit.
    claim_may_commit_ = false;
    if (row.body_hash != body_hash_) return decide(ClaimOutcome::Kind::KeyReused);
    if (row.phase == ClaimRow::Phase::Done) return decide(ClaimOutcome::Kind::AlreadyDone, row.result);
    waitForHolder(now);
  }

  void waitForHolder(TimePoint now) {
    if (!holder_wait_until_) holder_wait_until_ = std::min(deadline_, now + kHolderWait);
    if (now + kHolderPollInterval >= *holder_wait_until_) return decide(ClaimOutcome::Kind::HeldByOther);
    must_read_ = true;
    next_step_ = now + kHolderPollInterval;
  }

  void readWhileCompleting(const ClaimRow& row) {
    // A claim that was granted without the table may find a released row of an earlier attempt.
    if (isOwnClaim(row) || row.row_version == 0 || mayBecomeOwnClaim(row)) {
      return writeNext(row.row_version);
    }
    finish();
  }

  void readWhileReleasing(const ClaimRow& row) {
    // An absent row is written as Released too, so that a claim write still in flight fails its condition.
    if (isOwnClaim(row) || row.row_version == 0 || mayBecomeOwnClaim(row)) {
      return writeNext(row.row_version);
    }
    finish();
  }

  /// @return whether the row is a released one of an earlier attempt that an in-flight write may replace.
  bool mayBecomeOwnClaim(const ClaimRow& row) const {
    return row.phase == ClaimRow::Phase::Released && row.token != token_ && claim_may_commit_;
  }

  /// A process that was suspended past the deadline must not dispatch: its caller already received a failure.
  void grantUnlessExpired(TimePoint now) {
    decide(now < deadline_ ? ClaimOutcome::Kind::Granted : ClaimOutcome::Kind::Unavailable);
  }

  void decide(ClaimOutcome::Kind kind, std::string result = {}) {
    outcome_ = ClaimOutcome{kind, std::move(result)};
    goal_ = Goal::None;
  }

  void startGoal(Goal goal, TimePoint now) {
    closed_ = true;
    goal_ = goal;
    next_step_ = now;
    finish_by_ = now + kFinishTimeout;
  }

  void finish() { goal_ = Goal::None; }

  void expire(TimePoint now) {
    if (goal_ == Goal::Acquire && now >= deadline_) decide(ClaimOutcome::Kind::Unavailable);
    if ((goal_ == Goal::Complete || goal_ == Goal::Release) && now >= finish_by_) {
      outstanding_.reset();
      finish();
    }
  }

  std::string key_;
  std::string token_;
  std::string body_hash_;
  std::string result_;
  TimePoint deadline_;
  TimePoint next_step_{};
  TimePoint finish_by_ = TimePoint::max();
  std::optional<TimePoint> holder_wait_until_;
  Duration backoff_ = kInitialBackoff;
  RandomSource random_;
  Goal goal_ = Goal::Acquire;
  std::optional<ClaimOutcome> outcome_;
  std::optional<ClaimAction::Kind> outstanding_;
  ClaimRow::Phase written_phase_ = ClaimRow::Phase::Claimed;
  std::uint64_t row_version_ = 0;  ///< Expected version of the next write.
  bool must_read_;                 ///< The row's version is unknown; it is read before the next write.
  bool claim_may_commit_ = false;  ///< A claim write of this object has committed or may still commit.
  bool lookup_only_;               ///< Never writes.
  bool closed_ = false;            ///< complete() or release() was called.
};

}  // namespace

std::string claimKey(const std::string& tenant, const std::string& idempotency_key) {
  std::string key = "crankspur/claim/";
  for (const char character : tenant) {
    if (character == '/') {
      key += "%2F";
    } else if (character == '%') {
      key += "%25";
    } else {
      key += character;
    }
  }
  return key + '/' + idempotency_key;
}

std::unique_ptr<Claim> makeClaim(std::string key, std::string token, TimePoint deadline,
                                 std::uint64_t random_seed, std::string body_hash) {
  return std::make_unique<TableClaim>(std::move(key), std::move(token), deadline, random_seed,
                                      std::move(body_hash), false);
}

std::unique_ptr<Claim> makeClaimLookup(std::string key, TimePoint deadline, std::uint64_t random_seed,
                                       std::string body_hash) {
  return std::make_unique<TableClaim>(std::move(key), std::string(), deadline, random_seed,
                                      std::move(body_hash), true);
}

}  // namespace crankspur
