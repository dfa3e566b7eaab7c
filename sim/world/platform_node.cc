#include "sim/world/platform_node.h"

#include <utility>

namespace crankspur::sim {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr Duration kServiceTime = std::chrono::milliseconds(3);
/// Uncontended transfer of one model's weights takes 2 s, so that roll-outs fit into a run.
constexpr std::uint64_t kWeightsBytes = 4'000'000'000;

standin::PlatformOptions options() {
  standin::PlatformOptions platform;
  platform.machine_list_lag = std::chrono::seconds(1);
  platform.weights_bytes = kWeightsBytes;
  return platform;
}

}  // namespace

PlatformNode::PlatformNode(Context& context, Host& host, std::uint64_t seed)
    : context_(context), host_(host), model_(options(), seed) {
  host_.start();
}

void PlatformNode::serve(Host& client, const standin::PlatformCall& platform_call,
                         std::function<void(std::optional<standin::PlatformResponse>)> done) {
  call<standin::PlatformResponse>(
      context_, client, host_, kCallTimeout,
      [this, platform_call](const std::function<void(standin::PlatformResponse)>& respond) {
        standin::PlatformCallOutcome reply = model_.call(platform_call, context_.queue.now());
        const auto* transaction = std::get_if<TableTransaction>(&platform_call);
        const bool committed = std::holds_alternative<TransactionCommitted>(reply.response);
        if (transaction != nullptr && committed && write_observer_) {
          for (const RowWrite& write : transaction->writes) write_observer_(model_.row(write.key));
        }
        if (reply.lost) return;
        host_.post(kServiceTime + reply.delay, [respond, reply] { respond(reply.response); });
      },
      std::move(done));
}

template <typename Response>
void PlatformNode::serveFor(Host& client, const standin::PlatformCall& platform_call,
                            ResponseCallback<Response> done) {
  serve(client, platform_call, [done = std::move(done)](std::optional<standin::PlatformResponse> response) {
    Response* typed = response ? std::get_if<Response>(&*response) : nullptr;
    done(typed ? std::optional<Response>(std::move(*typed)) : std::nullopt);
  });
}

void PlatformNode::readRow(Host& client, const std::string& key, ResponseCallback<TableRow> done) {
  serveFor<TableRow>(client, standin::ReadRow{key}, std::move(done));
}

void PlatformNode::writeRow(Host& client, const std::string& key, std::uint64_t expected_version,
                            std::string value, ResponseCallback<WriteResponse> done,
                            const std::string& absent_key) {
  TableTransaction transaction;
  transaction.conditions.push_back({key, expected_version});
  transaction.writes.push_back({key, value});
  const bool unconditional = context_.without(Mechanism::BundleCompareAndSet) && key == "crankspur/bundle";
  if (unconditional) transaction.conditions.clear();
  if (!absent_key.empty()) transaction.conditions.push_back({absent_key, 0});
  serve(client, transaction,
        [key, value, done = std::move(done)](std::optional<standin::PlatformResponse> response) {
          if (!response) return done(std::nullopt);
          if (const auto* committed = std::get_if<TransactionCommitted>(&*response)) {
            return done(WriteResponse{true, {key, committed->versions.front().version, value}, false});
          }
          if (const auto* conflict = std::get_if<TransactionConflict>(&*response)) {
            const bool fenced = conflict->rows.size() > 1 && conflict->rows.back().version != 0;
            return done(WriteResponse{false, conflict->rows.front(), fenced});
          }
          done(std::nullopt);
        });
}

void PlatformNode::putObject(Host& client, const std::string& key, std::string value,
                             ResponseCallback<standin::ObjectStored> done) {
  serveFor<standin::ObjectStored>(client, standin::PutObject{key, std::move(value)}, std::move(done));
}

void PlatformNode::getObject(Host& client, const std::string& key,
                             ResponseCallback<standin::ObjectFound> done) {
  serveFor<standin::ObjectFound>(client, standin::GetObject{key}, std::move(done));
}

void PlatformNode::listMachines(Host& client, ResponseCallback<MachineList> done) {
  serveFor<MachineList>(client, standin::ListMachines{}, std::move(done));
}

void PlatformNode::loadWeights(Host& client, const std::string& model, const std::string& weights,
                               ResponseCallback<WeightsTransfer> done) {
  serveFor<WeightsTransfer>(client, standin::LoadWeights{model, weights}, std::move(done));
}

TimePoint PlatformNode::markLeaving(const std::string& machine) {
  for (Machine& entry : machines_) {
    if (entry.name != machine) continue;
    entry.state = MachineState::Leaving;
    model_.putMachine(entry, context_.queue.now());
  }
  return context_.queue.now() + list_lag_;
}

void PlatformNode::setMachines(std::vector<Machine> machines) {
  machines_ = machines;
  model_.setInitialMachines(std::move(machines));
}

void PlatformNode::setListLag(Duration lag) {
  list_lag_ = lag;
  model_.setMachineListLag(lag);
}

void PlatformNode::setStoreBehaviour(const standin::ServiceBehaviour& behaviour) {
  model_.setBehaviour(standin::PlatformService::Table, behaviour);
  model_.setBehaviour(standin::PlatformService::Objects, behaviour);
}

void PlatformNode::setStoreRateLimit(RateLimit limit) {
  model_.setRateLimit(standin::PlatformService::Table, limit);
  model_.setRateLimit(standin::PlatformService::Objects, limit);
}

}  // namespace crankspur::sim
