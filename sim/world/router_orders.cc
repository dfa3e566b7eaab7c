/// @file The order lease of a simulated router, and the orders its holder gives to engines.

#include "sim/world/bundle_maker.h"
#include "sim/world/engine_node.h"
#include "sim/world/router_node.h"
#include "sim/world/table_rows.h"

namespace crankspur::sim {

namespace {
constexpr Duration kOrderTimeout = std::chrono::seconds(1);
/// Longest time between the decision for an order and its sending.
constexpr double kOrderPreparation = 20'000;
}  // namespace

void RouterNode::pumpLease() {
  const std::optional<LeaseAction> action = process_->lease->poll(now());
  if (!action) return;
  PlatformNode& platform = context_.directory.platform();
  if (action->kind == LeaseAction::Kind::Read) {
    platform.readRow(host_, kOrderLeaseKey, [this, action = *action](std::optional<TableRow> row) {
      leaseAnswered(action, row, std::nullopt);
    });
    return;
  }
  platform.writeRow(host_, kOrderLeaseKey, action->expected_version, encodeLeaseRow(action->write),
                    [this, action = *action](std::optional<WriteAnswer> answer) {
                      leaseAnswered(action, std::nullopt, answer);
                    });
}

void RouterNode::leaseAnswered(const LeaseAction&, const std::optional<TableRow>& read,
                               const std::optional<WriteAnswer>& written) {
  if (read) {
    process_->lease->onRead(decodeLeaseRow(*read), now());
  } else if (written) {
    process_->lease->onWritten(written->committed, decodeLeaseRow(written->row), now());
  } else {
    process_->lease->onFailed(now());
  }
  pumpLease();
}

/// Gives the order to load the bundle's weights to engines that have others, a few at a time.
void RouterNode::sendOrders() {
  const std::optional<std::uint64_t> token = process_->lease->heldToken(now());
  const auto current = process_->bundles->current();
  if (!token || !current || !process_->snapshot) return;
  const ModelPolicy* model = current->bundle->findModel(kModel);
  std::size_t loading = 0;
  for (const EngineView& view : process_->snapshot->engines) {
    if (view.state == EngineState::Live && view.weightsOf(kModel).empty()) ++loading;
  }
  for (const EngineView& view : process_->snapshot->engines) {
    if (loading + process_->orders_running.size() >= current->bundle->knobs.parallel_weight_loads) return;
    const std::string weights = view.weightsOf(kModel);
    if (view.state != EngineState::Live || weights.empty() || weights == model->weights_version) continue;
    if (!process_->orders_running.insert(view.name).second) continue;
    standin::EngineOrder order;
    order.token = *token;
    order.kind = standin::OrderKind::LoadWeights;
    order.model = kModel;
    order.weights_version = model->weights_version;
    const auto preparation = Duration(static_cast<std::int64_t>(context_.random.unit() * kOrderPreparation));
    host_.post(preparation, [this, name = view.name, order] { sendOrder(name, order); });
  }
}

void RouterNode::sendOrder(const std::string& engine_name, const standin::EngineOrder& order) {
  EngineNode* engine = context_.directory.engine(engine_name);
  context_.trace.note(host_.name(), "orders {} to load {} with token {}", engine_name, order.weights_version,
                      order.token);
  call<ErrorCode>(
      context_, host_, engine->host(), kOrderTimeout,
      [engine, order](std::function<void(ErrorCode)> answer) { answer(engine->order(order)); },
      [this, engine_name](std::optional<ErrorCode>) { process_->orders_running.erase(engine_name); });
}

}  // namespace crankspur::sim
