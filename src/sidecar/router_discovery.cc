#include "sidecar/router_discovery.h"

#include <utility>

namespace crankspur {

RouterDiscovery::RouterDiscovery(const boost::asio::any_io_executor& executor, const std::string& address,
                                 Duration interval, std::uint64_t random_seed, EventLog& log, Handler handler)
    : timer_(executor),
      interval_(interval),
      random_(random_seed),
      log_(log),
      handler_(std::move(handler)),
      client_(http::makeClient(executor)) {
  ServiceOptions options;
  options.address = address;
  list_ = makeMachineListClient(executor, *client_, clock_, options);
}

void RouterDiscovery::start() {
  read();
}

void RouterDiscovery::read() {
  list_->fetch([this](const MachineListResult& result) { onResult(result); });
  const double jitter = 0.5 + random_.unit();
  timer_.expires_after(Duration(static_cast<Duration::rep>(static_cast<double>(interval_.count()) * jitter)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) read();
  });
}

void RouterDiscovery::onResult(const MachineListResult& result) {
  const auto* list = std::get_if<MachineList>(&result);
  if ((list != nullptr) != available_) {
    available_ = list != nullptr;
    log_.write(available_ ? EventId::SidecarMachineListBack : EventId::SidecarMachineListLost, {});
  }
  if (list == nullptr) return;
  std::vector<MemberRecord> routers;
  for (const Machine& machine : list->machines) {
    if (machine.role != MachineRole::Router) continue;
    const MemberState state =
        machine.state == MachineState::Leaving ? MemberState::Leaving : MemberState::Alive;
    routers.push_back({machine.name, machine.address, machine.zone, machine.region, 0, state, 0});
  }
  handler_(std::move(routers));
}

}  // namespace crankspur
