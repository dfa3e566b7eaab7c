/// @file Order lease of a simulated router, and the orders that the lease holder sends to engines.

#include "sim/world/engine_node.h"
#include "sim/world/router_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {
constexpr Duration kOrderTimeout = std::chrono::seconds(1);
/// Maximum delay between the decision to send an order and its transmission.
constexpr double kMaxOrderPreparationMicros = 20'000;
/// Limit on parallel weight loads when WeightWaves is disabled; larger than any site.
constexpr std::uint32_t kUnlimitedParallelLoads = 1000;

}  // namespace

void RouterNode::executeLeaseAction() {
  const std::optional<LeaseAction> action = process_->lease->poll(now());
  if (!action) return;
  PlatformNode& platform = context_.directory.platform();
  if (action->kind == LeaseAction::Kind::Read) {
    platform.readRow(host_, kOrderLeaseKey, [this, action = *action](const std::optional<TableRow>& row) {
      onLeaseResponse(action, row, std::nullopt);
    });
    return;
  }
  platform.writeRow(host_, kOrderLeaseKey, action->expected_version, encodeLeaseRow(action->write),
                    [this, action = *action](const std::optional<WriteResponse>& response) {
                      onLeaseResponse(action, std::nullopt, response);
                    });
}

void RouterNode::onLeaseResponse(const LeaseAction&, const std::optional<TableRow>& read,
                                 const std::optional<WriteResponse>& written) {
  if (read) {
    process_->lease->onRead(decodeLeaseRow(*read), now());
  } else if (written) {
    process_->lease->onWritten(written->committed, decodeLeaseRow(written->row), now());
  } else {
    process_->lease->onFailed(now());
  }
  executeLeaseAction();
}

void RouterNode::sendOrders() {
  const std::optional<std::uint64_t> token = process_->lease->heldToken(now());
  const auto current = process_->bundles->current();
  if (!token || !current || !process_->snapshot) {
    process_->orders.reset();
    return;
  }
  Bundle bundle = *current->bundle;
  if (context_.without(Mechanism::WeightWaves)) bundle.knobs.parallel_weight_loads = kUnlimitedParallelLoads;
  for (const FleetOrder& order : process_->orders.due(bundle, process_->snapshot->engines, now())) {
    // The delay lets a fault suspend the process between decision and transmission.
    const auto preparation =
        Duration(static_cast<std::int64_t>(context_.random.unit() * kMaxOrderPreparationMicros));
    ++process_->unsent_orders;
    host_.post(preparation, [this, order, token = *token] {
      --process_->unsent_orders;
      sendOrder(order, token);
    });
  }
}

void RouterNode::sendOrder(const FleetOrder& fleet_order, std::uint64_t token) {
  EngineNode* engine = context_.directory.engine(fleet_order.engine);
  context_.trace.note(host_.name(), "orders {} to load {}{} with token {}", fleet_order.engine,
                      fleet_order.weights_version, fleet_order.adapter, token);
  standin::EngineOrder order;
  order.token = token;
  order.kind = fleet_order.kind == FleetOrderKind::LoadWeights ? standin::OrderKind::LoadWeights
                                                               : standin::OrderKind::LoadAdapter;
  order.model = fleet_order.model;
  order.weights_version = fleet_order.weights_version;
  order.adapter = fleet_order.adapter;
  order.expect_incarnation = fleet_order.incarnation;
  call<ErrorCode>(
      context_, host_, engine->host(), kOrderTimeout,
      [engine, order](const std::function<void(ErrorCode)>& respond) { respond(engine->order(order)); },
      [this, fleet_order](std::optional<ErrorCode> code) {
        if (!code || *code != ErrorCode::Ok) process_->orders.onFailed(fleet_order);
      });
}

}  // namespace crankspur::sim
