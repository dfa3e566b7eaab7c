#include "lease/lease.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "base/hash.h"
#include "base/random.h"

namespace crankspur {

namespace {

namespace front = boost::msm::front;

/// A holder renews the row, and other contenders read it, this many times within a lifetime.
constexpr int kChecksPerLifetime = 3;
/// After a call without a response the row is read back after the lifetime divided by this.
constexpr int kRetriesPerLifetime = 10;

struct CallStarted {};
struct SeenFree {};
struct SeenOwn {};
struct SeenOther {};
struct CallFailed {};

/// State machine of a contender. `Watching` reads the row periodically; `Claiming` and `Holding` write it
/// when due; `Unsure` reads it back before any other operation, because the result of the last write is
/// unknown.
/// `SeenOwn` is the only way into `Holding`, and a row of anybody else the way out of it: a holder that made
/// no call while its lease ran out may find the released row of a successor, whose token it must not renew.
struct LeaseTable : front::state_machine_def<LeaseTable> {
  struct Watching : front::state<> {};
  struct Claiming : front::state<> {};
  struct Holding : front::state<> {};
  struct Unsure : front::state<> {};
  using initial_state = Watching;

  template <typename Source, typename Event, typename Target>
  using Row = front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector<
      Row<Watching, SeenFree,   Claiming>,
      Row<Watching, SeenOwn,    Holding>,
      Row<Watching, SeenOther,  Watching>,
      Row<Watching, CallFailed, Watching>,
      Row<Claiming, SeenFree,   Claiming>,
      Row<Claiming, SeenOwn,    Holding>,
      Row<Claiming, SeenOther,  Watching>,
      Row<Claiming, CallFailed, Unsure>,
      Row<Holding,  SeenFree,   Claiming>,
      Row<Holding,  SeenOwn,    Holding>,
      Row<Holding,  SeenOther,  Watching>,
      Row<Holding,  CallFailed, Unsure>,
      Row<Unsure,   SeenFree,   Claiming>,
      Row<Unsure,   SeenOwn,    Holding>,
      Row<Unsure,   SeenOther,  Watching>,
      Row<Unsure,   CallFailed, Unsure>
  > {};
  // clang-format on
};

using Machine = boost::msm::back::state_machine<LeaseTable>;

class TableLease : public Lease {
public:
  TableLease(std::string holder, Duration lifetime, std::uint64_t random_seed)
      : holder_(std::move(holder)),
        writer_(combineHashes(hashBytes(holder_), random_seed)),
        lifetime_(lifetime),
        random_(random_seed) {
    machine_.start();
  }

  std::optional<LeaseAction> poll(TimePoint now) override {
    if (outstanding_ || now < next_at_) return std::nullopt;
    outstanding_ = true;
    LeaseAction action;
    const bool writes = is<LeaseTable::Claiming>() || is<LeaseTable::Holding>();
    if (!writes) return action;
    action.kind = LeaseAction::Kind::CompareAndSet;
    action.expected_version = row_.row_version;
    action.write = is<LeaseTable::Holding>() ? renewal() : claim();
    last_renewal_ = action.write.renewal;
    sent_at_ = now;
    return action;
  }

  void onRead(const LeaseRow& row, TimePoint now) override {
    outstanding_ = false;
    observe(row, now);
  }

  void onWritten(bool committed, const LeaseRow& row, TimePoint now) override {
    outstanding_ = false;
    if (!committed) return observe(row, now);
    row_ = row;
    highest_token_ = std::max(highest_token_, row.token);
    becomeHolder(now);
  }

  void onFailed(TimePoint now) override {
    outstanding_ = false;
    machine_.process_event(CallFailed{});
    next_at_ = now + jitteredPart(kRetriesPerLifetime);
  }

  std::optional<std::uint64_t> heldToken(TimePoint now) const override {
    if (token_ == 0 || now >= valid_until_) return std::nullopt;
    return token_;
  }

  std::optional<LeaseAction> release(TimePoint now) const override {
    if (!heldToken(now) || !isOwn(row_)) return std::nullopt;
    LeaseAction action;
    action.kind = LeaseAction::Kind::CompareAndSet;
    action.expected_version = row_.row_version;
    action.write = nextRow("", row_.token);
    return action;
  }

  TimePoint nextTimer() const override { return outstanding_ ? TimePoint::max() : next_at_; }

private:
  template <typename State>
  bool is() const {
    return machine_.current_state()[0] == boost::msm::back::get_state_id<Machine::stt, State>::value;
  }

  LeaseRow claim() const { return nextRow(holder_, highest_token_ + 1); }
  LeaseRow renewal() const { return nextRow(holder_, row_.token); }

  /// Two writes based on the same row get different numbers: after a write without a response the first one
  /// may take effect late, and must not be mistaken for the second.
  LeaseRow nextRow(const std::string& holder, std::uint64_t token) const {
    LeaseRow row;
    row.holder = holder;
    row.token = token;
    row.renewal = std::max(row_.renewal, last_renewal_) + 1;
    row.writer = writer_;
    return row;
  }

  bool isOwn(const LeaseRow& row) const {
    return row.row_version != 0 && row.holder == holder_ && row.writer == writer_;
  }

  /// Handles a row as read from the table.
  void observe(const LeaseRow& row, TimePoint now) {
    const bool changed = row.row_version != row_.row_version || !seen_;
    if (changed) unchanged_since_ = now;
    seen_ = true;
    row_ = row;
    highest_token_ = std::max(highest_token_, row.token);
    if (isOwn(row)) {
      // The write whose response was lost took effect, not before it was sent.
      const bool newest = row.renewal == last_renewal_;
      if (newest) return becomeHolder(now);
      machine_.process_event(SeenOwn{});
      next_at_ = now;
      return;
    }
    token_ = 0;
    // The holder counts its lease from when it sent the row, so a row of at least this age has expired.
    const bool expired =
        row.age.value_or(now - unchanged_since_) >= lifetime_ || now - unchanged_since_ >= lifetime_;
    const bool free = row.row_version == 0 || row.holder.empty() || expired;
    if (free) {
      machine_.process_event(SeenFree{});
      next_at_ =
          now + Duration(static_cast<Duration::rep>(random_.unit() * 0.02 * toMicroseconds(lifetime_)));
    } else {
      machine_.process_event(SeenOther{});
      next_at_ = now + jitteredPart(kChecksPerLifetime);
    }
  }

  void becomeHolder(TimePoint now) {
    machine_.process_event(SeenOwn{});
    token_ = row_.token;
    valid_until_ = sent_at_ + lifetime_;
    unchanged_since_ = now;
    seen_ = true;
    next_at_ = sent_at_ + jitteredPart(kChecksPerLifetime);
  }

  static double toMicroseconds(Duration duration) { return static_cast<double>(duration.count()); }

  /// @return the lifetime divided by `parts`, jittered by up to 20% either way.
  Duration jitteredPart(int parts) {
    const double factor = (0.8 + 0.4 * random_.unit()) / parts;
    return Duration(static_cast<Duration::rep>(toMicroseconds(lifetime_) * factor));
  }

  std::string holder_;
  std::uint64_t writer_;
  Duration lifetime_;
  RandomSource random_;
  Machine machine_;
  LeaseRow row_;
  std::uint64_t last_renewal_ = 0;  ///< Of the newest write of this process.
  std::uint64_t highest_token_ =
      0;  ///< Read or written so far; a new token exceeds it, also if the row is lost.
  bool seen_ = false;
  bool outstanding_ = false;
  std::uint64_t token_ = 0;
  TimePoint sent_at_{};
  TimePoint valid_until_{};
  TimePoint unchanged_since_{};
  TimePoint next_at_{};
};

}  // namespace

std::unique_ptr<Lease> makeLease(std::string holder, Duration lifetime, std::uint64_t random_seed) {
  return std::make_unique<TableLease>(std::move(holder), lifetime, random_seed);
}

}  // namespace crankspur
