#include "gateway_control/rollout_coordinator.h"

#include <algorithm>
#include <utility>

namespace crankspur::gateway {

namespace {

std::string_view nameOf(OrderResponse response) {
  switch (response) {
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

RolloutCoordinator::RolloutCoordinator(const boost::asio::any_io_executor& executor,
                                       RolloutCoordinatorOptions options, PlatformLink& platform,
                                       RolloutCoordinatorCallbacks callbacks, EventLog& log)
    : options_(std::move(options)),
      platform_(platform),
      callbacks_(std::move(callbacks)),
      log_(log),
      timer_(executor),
      lease_(makeLease(options_.holder, kLeaseLifetime, options_.random_seed)),
      rollout_(options_.rollout) {}

bool RolloutCoordinator::onNamed(const NamedWeights& named) {
  const bool is_new = rollout_.onNamed(named, clock_.now());
  if (is_new) wake();
  return is_new;
}

void RolloutCoordinator::wake() {
  if (ticking_ || stopped_ || !rollout_.pending(callbacks_.backends())) return;
  ticking_ = true;
  tick();
}

void RolloutCoordinator::stop() {
  stopped_ = true;
  timer_.cancel();
  const std::optional<LeaseAction> action = lease_->release(clock_.now());
  if (!action) return;
  platform_.writeLease(kLeaseName, action->write, action->expected_version,
                       [](bool, const std::optional<LeaseRow>&) {});
}

void RolloutCoordinator::tick() {
  const TimePoint now = clock_.now();
  contention_.onPendingWork(rollout_.pendingSince(callbacks_.backends()), now);
  if (!rollout_.pending(callbacks_.backends()) && !rollout_.busy()) {
    ticking_ = false;
    return;
  }
  if (holding_ || contention_.contends(callbacks_.rank(), now)) pollLease(now);
  updateHolding(now);
  sendOrders(now);
  timer_.expires_after(kRolloutTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) tick();
  });
}

void RolloutCoordinator::pollLease(TimePoint now) {
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

/// The lease table can be unreachable while the platform's feeds still respond.
void RolloutCoordinator::recordLeaseResponse(bool responded, TimePoint now) {
  if (responded == lease_reachable_) return;
  lease_reachable_ = responded;
  if (!responded) {
    lease_lost_at_ = now;
    log_.write(EventId::PlatformUnreachable, {{"service", "lease"}, {"reason", "no response, or rejected"}});
    return;
  }
  const auto lost_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - lease_lost_at_);
  log_.write(EventId::PlatformReachable, {{"service", "lease"}, {"unreachable_ms", lost_for.count()}});
}

void RolloutCoordinator::onLeaseRead(const std::optional<LeaseRow>& row) {
  const TimePoint now = clock_.now();
  recordLeaseResponse(row.has_value(), now);
  if (!row) return lease_->onFailed(now);
  recordRow(*row, now);
  lease_->onRead(*row, now);
}

void RolloutCoordinator::onLeaseWritten(bool written, const std::optional<LeaseRow>& row) {
  const TimePoint now = clock_.now();
  recordLeaseResponse(row.has_value(), now);
  if (!row) return lease_->onFailed(now);
  recordRow(*row, now);
  lease_->onWritten(written, *row, now);
}

void RolloutCoordinator::recordRow(const LeaseRow& row, TimePoint now) {
  const bool renewed = row.row_version != row_.row_version;
  row_ = row;
  const bool other = !row.holder.empty() && row.holder != options_.holder;
  if (!other || !renewed) return;
  other_holder_ = row.holder;
  // Without an age the renewal may be as recent as this response.
  other_renewed_at_ = now - row.age.value_or(Duration(0));
}

/// A holder may send orders until its lease runs out; one that is known not to be live sends none.
bool RolloutCoordinator::othersMayOrder(TimePoint now) const {
  if (other_holder_.empty() || !callbacks_.holder_is_live(other_holder_)) return false;
  return now < other_renewed_at_ + kLeaseLifetime + options_.takeover_delay;
}

void RolloutCoordinator::updateHolding(TimePoint now) {
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (token.has_value() == holding_) return;
  holding_ = token.has_value();
  rollout_.reset();
  log_.write(holding_ ? EventId::OrderLeaseTaken : EventId::OrderLeaseLost, {{"token", token.value_or(0)}});
}

void RolloutCoordinator::sendOrders(TimePoint now) {
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (!token || othersMayOrder(now)) return;
  for (const RolloutAction& action : rollout_.due(callbacks_.backends(), now)) execute(action, *token);
}

void RolloutCoordinator::execute(const RolloutAction& action, std::uint64_t token) {
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
  platform_.sendOrder(order, [this, backend](OrderResponse response) {
    const bool failed = response == OrderResponse::Refused || response == OrderResponse::Fenced;
    if (failed) {
      log_.write(EventId::OrderFailed, {{"engine", backend}, {"reason", nameOf(response)}});
    } else {
      log_.write(EventId::OrderAnswered, {{"engine", backend}, {"answer", nameOf(response)}});
    }
    rollout_.onOrderResponse(backend, response, clock_.now());
  });
}

}  // namespace crankspur::gateway
