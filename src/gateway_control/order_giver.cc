#include "gateway_control/order_giver.h"

#include <algorithm>
#include <utility>

namespace crankspur::gateway {

namespace {

std::string_view nameOf(OrderResponse answer) {
  switch (answer) {
    case OrderResponse::Begun:
      return "begun";
    case OrderResponse::InEffect:
      return "in_effect";
    case OrderResponse::Conflict:
      return "conflict";
    case OrderResponse::Fenced:
      return "fenced";
    case OrderResponse::Refused:
      return "refused";
    case OrderResponse::Unknown:
      return "unknown";
  }
  return "unknown";
}

constexpr char kLeaseName[] = "weights";
constexpr Duration kLeaseLifetime = std::chrono::milliseconds(1'500);

}  // namespace

OrderGiver::OrderGiver(const boost::asio::any_io_executor& executor, OrderGiverOptions options,
                       PlatformLink& platform, OrderGiverCallbacks callbacks, EventLog& log)
    : options_(std::move(options)),
      platform_(platform),
      callbacks_(std::move(callbacks)),
      log_(log),
      timer_(executor),
      lease_(makeLease(options_.holder, kLeaseLifetime, options_.random_seed)),
      rollout_(options_.rollout) {}

bool OrderGiver::onNamed(const NamedWeights& named) {
  const bool news = rollout_.onNamed(named, clock_.now());
  if (news) wake();
  return news;
}

void OrderGiver::wake() {
  if (ticking_ || stopped_ || !rollout_.pending(callbacks_.backends())) return;
  ticking_ = true;
  tick();
}

void OrderGiver::stop() {
  stopped_ = true;
  timer_.cancel();
  if (!holding_) return;
  const LeaseRow released{"", row_.token, row_.renewal + 1};
  platform_.writeLease(kLeaseName, released, row_.row_version, [](bool, const std::optional<LeaseRow>&) {});
}

void OrderGiver::tick() {
  const TimePoint now = clock_.now();
  contention_.onWork(rollout_.pendingSince(callbacks_.backends()), now);
  if (!rollout_.pending(callbacks_.backends()) && !rollout_.busy()) {
    ticking_ = false;
    return;
  }
  if (holding_ || contention_.contends(callbacks_.rank(), now)) pollLease(now);
  noteHolding(now);
  giveOrders(now);
  timer_.expires_after(kRolloutTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) tick();
  });
}

void OrderGiver::pollLease(TimePoint now) {
  const std::optional<LeaseAction> action = lease_->poll(now);
  if (!action) return;
  if (action->kind == LeaseAction::Kind::Read) {
    platform_.readLease(kLeaseName, [this](const std::optional<LeaseRow>& row) { onLeaseRead(row); });
    return;
  }
  platform_.writeLease(
      kLeaseName, action->write, action->expected_version,
      [this](bool written, const std::optional<LeaseRow>& row) { onLeaseWritten(written, row); });
}

/// The table of leases can be lost while the platform's feeds are answered.
void OrderGiver::noteLeaseAnswer(bool answered, TimePoint now) {
  if (answered == lease_answers_) return;
  lease_answers_ = answered;
  if (!answered) {
    lease_lost_at_ = now;
    log_.write(EventId::PlatformUnreachable, {{"service", "lease"}, {"reason", "no answer, or turned away"}});
    return;
  }
  const auto lost_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - lease_lost_at_);
  log_.write(EventId::PlatformReachable, {{"service", "lease"}, {"unreachable_ms", lost_for.count()}});
}

void OrderGiver::onLeaseRead(const std::optional<LeaseRow>& row) {
  const TimePoint now = clock_.now();
  noteLeaseAnswer(row.has_value(), now);
  if (!row) return lease_->onFailed(now);
  noteRow(*row, now);
  lease_->onRead(*row, now);
}

void OrderGiver::onLeaseWritten(bool written, const std::optional<LeaseRow>& row) {
  const TimePoint now = clock_.now();
  noteLeaseAnswer(row.has_value(), now);
  if (!row) return lease_->onFailed(now);
  noteRow(*row, now);
  lease_->onWritten(written, *row, now);
}

void OrderGiver::noteRow(const LeaseRow& row, TimePoint now) {
  const bool renewed = row.row_version != row_.row_version;
  row_ = row;
  const bool other = !row.holder.empty() && row.holder != options_.holder;
  if (!other || !renewed) return;
  other_holder_ = row.holder;
  // Without an age the renewal may be as young as this look at it.
  other_renewed_at_ = now - row.age.value_or(Duration(0));
}

/// A holder may give orders until its lease runs out; one that is known to be gone gives none.
bool OrderGiver::othersMayOrder(TimePoint now) const {
  if (other_holder_.empty() || !callbacks_.holder_alive(other_holder_)) return false;
  return now < other_renewed_at_ + kLeaseLifetime + options_.rest;
}

void OrderGiver::noteHolding(TimePoint now) {
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (token.has_value() == holding_) return;
  holding_ = token.has_value();
  rollout_.reset();
  log_.write(holding_ ? EventId::OrderLeaseTaken : EventId::OrderLeaseLost, {{"token", token.value_or(0)}});
}

void OrderGiver::giveOrders(TimePoint now) {
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (!token || othersMayOrder(now)) return;
  for (const RolloutAction& action : rollout_.due(callbacks_.backends(), now)) perform(action, *token);
}

void OrderGiver::perform(const RolloutAction& action, std::uint64_t token) {
  const std::string backend = action.backend;
  if (action.kind == RolloutAction::Kind::Report) {
    platform_.readWeights(action.address, [this, backend](const std::optional<WeightsReport>& report) {
      rollout_.onReport(backend, report, clock_.now());
      if (report) callbacks_.on_report(backend, *report, rollout_.isLoading(backend));
    });
    return;
  }
  WeightsOrder order;
  order.address = action.address;
  order.backend = backend;
  order.model = action.model;
  order.version = action.version;
  order.expected_orders_taken = action.expected_orders_taken;
  order.holder = options_.holder;
  order.fencing_token = token;
  log_.write(EventId::OrderSent, {{"engine", backend},
                                  {"model", order.model},
                                  {"weights_version", order.version},
                                  {"adapter", ""},
                                  {"token", token}});
  ++orders_sent_;
  callbacks_.on_loading(backend);
  platform_.sendOrder(order, [this, backend](OrderResponse answer) {
    const bool failed = answer == OrderResponse::Refused || answer == OrderResponse::Fenced;
    if (failed) {
      log_.write(EventId::OrderFailed, {{"engine", backend}, {"reason", nameOf(answer)}});
    } else {
      log_.write(EventId::OrderAnswered, {{"engine", backend}, {"answer", nameOf(answer)}});
    }
    rollout_.onAnswer(backend, answer, clock_.now());
  });
}

}  // namespace crankspur::gateway
