#include "router_process/order_dispatcher.h"

#include <utility>

#include "table_service/row_codec.h"

namespace crankspur {

namespace {

constexpr Duration kLeaseLifetime = std::chrono::seconds(15);
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
constexpr char kLeaseName[] = "fleet_orders";

EngineOrderRequest callFor(const FleetOrder& order, std::uint64_t token) {
  EngineOrderRequest call;
  call.token = token;
  const bool weights = order.kind == FleetOrderKind::LoadWeights;
  call.kind = weights ? EngineOrderKind::LoadWeights : EngineOrderKind::LoadAdapter;
  call.model = order.model;
  call.weights_version = order.weights_version;
  call.adapter = order.adapter;
  call.expect_incarnation = order.incarnation;
  return call;
}

}  // namespace

OrderDispatcher::OrderDispatcher(const boost::asio::any_io_executor& executor, std::string holder,
                                 const std::string& table_address, EngineClient& engines,
                                 OrderDispatcherCallbacks callbacks, EventLog& log, std::uint64_t random_seed)
    : engines_(engines),
      callbacks_(std::move(callbacks)),
      log_(log),
      http_(http::makeClient(executor)),
      lease_(makeLease(std::move(holder), kLeaseLifetime, random_seed)),
      timer_(executor) {
  if (table_address.empty()) return;
  ServiceOptions service;
  service.address = table_address;
  table_ = makeTableClient(executor, *http_, clock_, service);
}

OrderDispatcher::~OrderDispatcher() = default;

void OrderDispatcher::start() {
  if (table_) tick();
}

void OrderDispatcher::tick() {
  const TimePoint now = clock_.now();
  if (holding_ || callbacks_.may_contend()) pollLease(now);
  updateHolding(now);
  sendOrders(now);
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void OrderDispatcher::pollLease(TimePoint now) {
  const std::optional<LeaseAction> action = lease_->poll(now);
  if (!action) return;
  const std::string key = leaseRowKey(kLeaseName);
  if (action->kind == LeaseAction::Kind::Read) {
    table_->read(key, [this](const ReadResult& result) { onRead(result); });
    return;
  }
  const LeaseRow written = action->write;
  table_->compareAndSet(key, action->expected_version, encodeLeaseRow(written),
                        [this, written](const TransactionResult& result) { onWritten(result, written); });
}

void OrderDispatcher::onRead(const ReadResult& result) {
  const auto* row = std::get_if<TableRow>(&result);
  const auto decoded = row != nullptr ? decodeLeaseRow(*row) : std::nullopt;
  if (decoded) {
    lease_->onRead(*decoded, clock_.now());
  } else {
    lease_->onFailed(clock_.now());
  }
}

void OrderDispatcher::onWritten(const TransactionResult& result, LeaseRow written) {
  const TimePoint now = clock_.now();
  const auto* committed = std::get_if<TransactionCommitted>(&result);
  const auto* conflict = std::get_if<TransactionConflict>(&result);
  if (committed != nullptr && !committed->versions.empty()) {
    written.row_version = committed->versions.front().version;
    return lease_->onWritten(true, written, now);
  }
  const auto current =
      conflict != nullptr && !conflict->rows.empty() ? decodeLeaseRow(conflict->rows.front()) : std::nullopt;
  if (current) {
    lease_->onWritten(false, *current, now);
  } else {
    lease_->onFailed(now);
  }
}

void OrderDispatcher::updateHolding(TimePoint now) {
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (token.has_value() == holding_) return;
  holding_ = token.has_value();
  orders_.reset();
  log_.write(holding_ ? EventId::OrderLeaseTaken : EventId::OrderLeaseLost, {{"token", token.value_or(0)}});
}

void OrderDispatcher::sendOrders(TimePoint now) {
  const std::shared_ptr<const Bundle> bundle = callbacks_.bundle();
  const std::optional<std::uint64_t> token = lease_->heldToken(now);
  if (!token || bundle == nullptr) return;
  for (const FleetOrder& order : orders_.due(*bundle, callbacks_.engines(), now)) send(order, *token);
}

void OrderDispatcher::send(const FleetOrder& order, std::uint64_t token) {
  log_.write(EventId::OrderSent, {{"engine", order.engine},
                                  {"model", order.model},
                                  {"weights_version", order.weights_version},
                                  {"adapter", order.adapter},
                                  {"token", token}});
  engines_.sendOrder(order.address, callFor(order, token), [this, order](std::error_code error) {
    if (!error) return;
    orders_.onFailed(order);
    log_.write(EventId::OrderFailed, {{"engine", order.engine}, {"reason", error.message()}});
  });
}

}  // namespace crankspur
